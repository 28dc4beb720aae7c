package fleet

import "time"

// Health rates a worker by how its attempts finish. A worker on which attempts
// fail or hang can look healthy in its registry entry; only the results of its
// attempts reveal the fault.
type Health struct {
	// consecutiveFailures counts the failed attempts since the last one that was
	// done.
	consecutiveFailures int
	// durationRatio is the smoothed ratio of the duration of attempts to that of such
	// attempts on other workers.
	durationRatio float64
}

const (
	// suspectAfterFailures is how many failed attempts in a row make a worker
	// suspect. 2% to 5% of all attempts fail through their own fault, so three
	// in a row on a healthy worker are rare.
	suspectAfterFailures = 3
	// suspectPause is how long a suspect worker gets no new attempts. After that
	// it gets attempts again, and each further failure starts another pause until
	// an attempt on it is done.
	suspectPause = 3 * time.Second
	// durationRatioWeight is the weight of a new sample in the smoothed ratio.
	durationRatioWeight = 0.3
	// maxDurationRatio bounds a sample. It is enough for a worker to come after all others.
	maxDurationRatio = 5.0
)

// RecordDone records an attempt that finished as done, with its actual duration and that
// of such attempts on other workers; 0 if the latter is not known.
func (h *Health) RecordDone(duration, elsewhere time.Duration) {
	h.consecutiveFailures = 0
	if elsewhere <= 0 {
		return
	}
	sample := min(maxDurationRatio, float64(duration)/float64(elsewhere))
	if h.durationRatio == 0 {
		h.durationRatio = sample
		return
	}
	h.durationRatio += durationRatioWeight * (sample - h.durationRatio)
}

// RecordFailure records a failed attempt. It returns how long the worker should
// get no new attempts; 0 if it need not be avoided.
func (h *Health) RecordFailure() time.Duration {
	h.consecutiveFailures++
	if h.consecutiveFailures < suspectAfterFailures {
		return 0
	}
	return suspectPause
}

// DurationRatio returns the smoothed ratio of the duration of attempts to that of such attempts
// on other workers; 0 if it is not known.
func (h *Health) DurationRatio() float64 { return h.durationRatio }
