package admission

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/policy/bounded"
	"github.com/basilferry/basilferry/core/policy/quantile"
)

const (
	// serviceQuantile is the part of a class's service times that must fit.
	// With 0.9, one in ten requests admitted at the limit is late.
	serviceQuantile = 0.9
	// minSamples is the number of service times below which every request
	// with time left is admitted.
	minSamples = 10
	// probeInterval admits a request of a class against the estimate when none
	// was started for that long. Without it a class that was slow for a while
	// would never be measured again.
	probeInterval = 2 * time.Second
	// maxClasses bounds the memory: a class takes about 2 KiB.
	maxClasses = 1024
	// sampleUnit is the resolution of service times.
	sampleUnit = 10 * time.Microsecond
	// maxTokens bounds the retries in a burst after a quiet time.
	maxTokens = 10.0
	// gapWeight is the weight of the newest interval between completions in
	// their moving average.
	gapWeight = 0.1
)

// Controller holds the service times per class and the retry tokens.
type Controller struct {
	classes    *bounded.Map[domain.Class, *service]
	retryShare float64
	tokens     float64
	lastEnd    time.Duration
	gap        time.Duration
}

type service struct {
	times     quantile.Sketch
	cached    time.Duration
	stale     bool
	lastStart time.Duration
}

// Request is an urgent request to decide on.
type Request struct {
	Class domain.Class
	// Budget is the time left until the caller's deadline.
	Budget time.Duration
	// Wait is the expected time until the start.
	Wait time.Duration
	// Retry tells that a worker refused an earlier start.
	Retry bool
}

// New returns a controller without measurements and with no retry allowed.
func New() *Controller {
	return &Controller{classes: bounded.New[domain.Class, *service](maxClasses)}
}

// SetRetryShare sets the share of urgent starts that may be retries, in
// [0, 1]. The first call gives the tokens for a burst.
func (c *Controller) SetRetryShare(share float64) {
	if c.retryShare == 0 && share > 0 {
		c.tokens = maxTokens
	}
	if share == 0 {
		c.tokens = 0
	}
	c.retryShare = share
}

// Check returns an empty string if the request is admitted, otherwise the
// reason why not as a short sentence.
func (c *Controller) Check(now time.Duration, r Request) string {
	if r.Retry && c.tokens < 1 {
		return fmt.Sprintf("the retry budget of %.0f%% of urgent starts is used up", c.retryShare*100)
	}
	if r.Budget <= 0 {
		return "no time is left until the deadline"
	}
	if r.Budget <= r.Wait {
		return fmt.Sprintf("the expected wait of %v does not fit the %v left", round(r.Wait), round(r.Budget))
	}
	s, ok := c.classes.Get(r.Class)
	if !ok || s.times.Count() < minSamples || now-s.lastStart >= probeInterval {
		return ""
	}
	need := r.Wait + s.quantile()
	if need <= r.Budget {
		return ""
	}
	return fmt.Sprintf("expected wait and service time of the class are %v, but only %v is left", round(need), round(r.Budget))
}

// TooLate reports whether the service time of the class does not fit the budget
// any more, so that waiting for a worker is of no use.
func (c *Controller) TooLate(now time.Duration, r Request) bool {
	s, ok := c.classes.Get(r.Class)
	if !ok || s.times.Count() < minSamples || now-s.lastStart >= probeInterval {
		return false
	}
	return s.quantile() > r.Budget
}

// Started records the start of an urgent request. A first try earns a part of
// a retry token, a retry spends one.
func (c *Controller) Started(now time.Duration, class domain.Class, retry bool) {
	if retry {
		c.tokens = max(0, c.tokens-1)
	} else {
		c.tokens = min(maxTokens, c.tokens+c.retryShare)
	}
	c.class(class).lastStart = now
}

// Finished records the service time of an urgent request that ran to its end.
func (c *Controller) Finished(now time.Duration, class domain.Class, took time.Duration) {
	s := c.class(class)
	s.times.Add(int64(took / sampleUnit))
	s.stale = true
	gap := now - c.lastEnd
	c.lastEnd = now
	c.gap += time.Duration(gapWeight * float64(gap-c.gap))
}

// ExpectedWait returns the expected time until the next urgent request ends,
// which is the wait when no worker has room.
func (c *Controller) ExpectedWait() time.Duration { return c.gap }

// ServiceTime returns the service time of the class that Check uses, and 0
// while too few were measured.
func (c *Controller) ServiceTime(class domain.Class) time.Duration {
	s, ok := c.classes.Get(class)
	if !ok || s.times.Count() < minSamples {
		return 0
	}
	return s.quantile()
}

func (c *Controller) class(class domain.Class) *service {
	s, ok := c.classes.Get(class)
	if !ok {
		s = &service{}
		c.classes.Put(class, s)
	}
	return s
}

func (s *service) quantile() time.Duration {
	if s.stale {
		s.cached = time.Duration(s.times.Quantile(serviceQuantile)) * sampleUnit
		s.stale = false
	}
	return s.cached
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
