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
	// serviceTimeResolution is the resolution of service times.
	serviceTimeResolution = 10 * time.Microsecond
	// maxRetryTokens bounds the retries in a burst after a quiet time.
	maxRetryTokens = 10.0
	// intervalWeight is the weight of the newest interval between completions in
	// their moving average.
	intervalWeight = 0.1
)

// Controller holds the service times per class and the retry tokens.
type Controller struct {
	classes        *bounded.Map[domain.Class, *classStats]
	retryShare     float64
	retryTokens    float64
	lastFinish     time.Duration
	finishInterval time.Duration
}

type classStats struct {
	serviceTimes quantile.Sketch
	cached       time.Duration
	stale        bool
	lastStart    time.Duration
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
	return &Controller{classes: bounded.New[domain.Class, *classStats](maxClasses)}
}

// SetRetryShare sets the share of urgent starts that may be retries, in
// [0, 1]. The first call gives the tokens for a burst.
func (c *Controller) SetRetryShare(share float64) {
	if c.retryShare == 0 && share > 0 {
		c.retryTokens = maxRetryTokens
	}
	if share == 0 {
		c.retryTokens = 0
	}
	c.retryShare = share
}

// Check returns an empty string if the request is admitted, otherwise the
// reason why not as a short sentence.
func (c *Controller) Check(now time.Duration, r Request) string {
	if r.Retry && c.retryTokens < 1 {
		return fmt.Sprintf("the retry budget of %.0f%% of urgent starts is used up", c.retryShare*100)
	}
	if r.Budget <= 0 {
		return "no time is left until the deadline"
	}
	if r.Budget <= r.Wait {
		return fmt.Sprintf("the expected wait of %v does not fit the %v left", round(r.Wait), round(r.Budget))
	}
	s, ok := c.classes.Get(r.Class)
	if !ok || s.serviceTimes.Count() < minSamples || now-s.lastStart >= probeInterval {
		return ""
	}
	need := r.Wait + s.serviceTime()
	if need <= r.Budget {
		return ""
	}
	return fmt.Sprintf("expected wait and service time of the class are %v, but only %v is left", round(need), round(r.Budget))
}

// IsTooLate reports whether the service time of the class does not fit the budget
// any more, so that waiting for a worker is of no use.
func (c *Controller) IsTooLate(now time.Duration, r Request) bool {
	s, ok := c.classes.Get(r.Class)
	if !ok || s.serviceTimes.Count() < minSamples || now-s.lastStart >= probeInterval {
		return false
	}
	return s.serviceTime() > r.Budget
}

// RecordStart records the start of an urgent request. A first try earns a part of
// a retry token, a retry spends one.
func (c *Controller) RecordStart(now time.Duration, class domain.Class, retry bool) {
	if retry {
		c.retryTokens = max(0, c.retryTokens-1)
	} else {
		c.retryTokens = min(maxRetryTokens, c.retryTokens+c.retryShare)
	}
	c.class(class).lastStart = now
}

// RecordServiceTime records the service time of an urgent request that ran to its end.
func (c *Controller) RecordServiceTime(now time.Duration, class domain.Class, took time.Duration) {
	s := c.class(class)
	s.serviceTimes.Add(int64(took / serviceTimeResolution))
	s.stale = true
	finishInterval := now - c.lastFinish
	c.lastFinish = now
	c.finishInterval += time.Duration(intervalWeight * float64(finishInterval-c.finishInterval))
}

// ExpectedWait returns the expected time until the next urgent request ends,
// which is the wait when no worker has room.
func (c *Controller) ExpectedWait() time.Duration { return c.finishInterval }

// ServiceTime returns the service time of the class that Check uses, and 0
// while too few were measured.
func (c *Controller) ServiceTime(class domain.Class) time.Duration {
	s, ok := c.classes.Get(class)
	if !ok || s.serviceTimes.Count() < minSamples {
		return 0
	}
	return s.serviceTime()
}

func (c *Controller) class(class domain.Class) *classStats {
	s, ok := c.classes.Get(class)
	if !ok {
		s = &classStats{}
		c.classes.Put(class, s)
	}
	return s
}

func (s *classStats) serviceTime() time.Duration {
	if s.stale {
		s.cached = time.Duration(s.serviceTimes.Quantile(serviceQuantile)) * serviceTimeResolution
		s.stale = false
	}
	return s.cached
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
