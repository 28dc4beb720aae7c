package admission

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/policy/bounded"
	"github.com/basilferry/basilferry/core/policy/quantile"
)

const (
	// serviceQuantile is the quantile of the service times of a class that must
	// fit the time left. With 0.9, one in ten requests admitted at the limit
	// misses its deadline.
	serviceQuantile = 0.9
	// minSamples is the number of measured service times of a class below which
	// they are ignored. A request is then admitted if the time left exceeds its
	// expected wait.
	minSamples = 10
	// probeInterval is the time without a start after which a request of a class
	// is admitted although the estimate exceeds the time left. Without it, a
	// class that was slow for a while would never be measured again.
	probeInterval = 2 * time.Second
	// maxClasses limits the memory use: a class takes about 2 KiB.
	maxClasses = 1024
	// serviceTimeResolution is the resolution of service times.
	serviceTimeResolution = 10 * time.Microsecond
	// maxRetryTokens is the maximum burst of retries after a time without any.
	maxRetryTokens = 10.0
	// intervalWeight is the weight of the newest interval between two successful
	// urgent requests in the moving average.
	intervalWeight = 0.1
)

// Controller holds the service times per class and a token bucket for retries. It
// is not safe for concurrent use.
type Controller struct {
	classes        *bounded.Map[domain.Class, *classStats]
	retryShare     float64
	retryTokens    float64
	lastFinish     time.Duration // when an urgent request last succeeded
	finishInterval time.Duration // moving average of the interval between them
}

type classStats struct {
	serviceTimes quantile.Sketch // in units of serviceTimeResolution
	cached       time.Duration   // the quantile serviceQuantile, unless stale
	stale        bool
	lastStart    time.Duration
}

// Request is an urgent request to decide on.
type Request struct {
	Class domain.Class
	// Budget is the time left until the client's deadline.
	Budget time.Duration
	// Wait is the expected time until the start.
	Wait time.Duration
	// Retry is true if a worker refused an earlier start of the request.
	Retry bool
}

// New returns a controller that has no measurements and allows no retries.
func New() *Controller {
	return &Controller{classes: bounded.New[domain.Class, *classStats](maxClasses)}
}

// SetRetryShare sets the number of retries allowed per first start of an urgent
// request, in [0, 1]. When the share changes from zero, the token bucket starts
// full.
func (c *Controller) SetRetryShare(share float64) {
	if c.retryShare == 0 && share > 0 {
		c.retryTokens = maxRetryTokens
	}
	if share == 0 {
		c.retryTokens = 0
	}
	c.retryShare = share
}

// Check returns an empty string if the request is admitted, otherwise the reason
// for the refusal as a short sentence.
func (c *Controller) Check(now time.Duration, r Request) string {
	if r.Retry && c.retryTokens < 1 {
		return fmt.Sprintf("the retry budget of %.0f%% of urgent starts is used up", c.retryShare*100)
	}
	if r.Budget <= 0 {
		return "the deadline has passed"
	}
	if r.Budget <= r.Wait {
		return fmt.Sprintf("the expected wait of %v does not fit the %v left until the deadline", round(r.Wait), round(r.Budget))
	}
	s, ok := c.classes.Get(r.Class)
	if !ok || s.serviceTimes.Count() < minSamples || now-s.lastStart >= probeInterval {
		return ""
	}
	need := r.Wait + s.serviceTime()
	if need <= r.Budget {
		return ""
	}
	return fmt.Sprintf("the expected wait and service time of the class are %v together, but only %v is left until the deadline", round(need), round(r.Budget))
}

// IsTooLate reports whether the service time of the class no longer fits the
// budget, so that waiting for a free worker cannot help. Like Check, it ignores too
// few measurements and the measurements of a class without a recent start.
func (c *Controller) IsTooLate(now time.Duration, r Request) bool {
	s, ok := c.classes.Get(r.Class)
	if !ok || s.serviceTimes.Count() < minSamples || now-s.lastStart >= probeInterval {
		return false
	}
	return s.serviceTime() > r.Budget
}

// RecordStart records the start of an urgent request. A first start adds the
// retry share to the retry tokens; a retry takes one token.
func (c *Controller) RecordStart(now time.Duration, class domain.Class, retry bool) {
	if retry {
		c.retryTokens = max(0, c.retryTokens-1)
	} else {
		c.retryTokens = min(maxRetryTokens, c.retryTokens+c.retryShare)
	}
	c.class(class).lastStart = now
}

// RecordServiceTime records the service time of an urgent request that succeeded,
// and the time since the previous one.
func (c *Controller) RecordServiceTime(now time.Duration, class domain.Class, took time.Duration) {
	s := c.class(class)
	s.serviceTimes.Add(int64(took / serviceTimeResolution))
	s.stale = true
	finishInterval := now - c.lastFinish
	c.lastFinish = now
	c.finishInterval += time.Duration(intervalWeight * float64(finishInterval-c.finishInterval))
}

// ExpectedWait returns the expected time until the next urgent request succeeds and
// frees its capacity. It is the expected wait while no worker has free capacity.
func (c *Controller) ExpectedWait() time.Duration { return c.finishInterval }

// ServiceTime returns the service time of the class that Check uses, or 0 if too
// few are measured.
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
