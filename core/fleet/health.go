package fleet

import "time"

// Health rates a worker by the ends of its runs. Workers that fail or hang
// what they start look sound by their registry entry, so only the comparison
// of their ends with those of others shows them.
type Health struct {
	// consecutiveFailures counts failed ends since the last one that was done.
	consecutiveFailures int
	// durationRatio is the smoothed duration of runs against their estimate.
	durationRatio float64
}

const (
	// suspectAfterFailures is how many failed ends in a row make a worker suspect. Runs
	// fail by their own fault in 2% to 5% of all cases, so three in a row on a
	// sound worker are rare.
	suspectAfterFailures = 3
	// suspectPause keeps new runs away from a suspect worker; after it one run
	// probes it.
	suspectPause = 3 * time.Second
	// durationRatioWeight is the weight of a new duration in the smoothed ratio.
	durationRatioWeight = 0.3
)

// RecordDone takes note of a run that ended as done after took, against estimate.
func (h *Health) RecordDone(took, estimate time.Duration) {
	h.consecutiveFailures = 0
	if estimate <= 0 {
		return
	}
	sample := float64(took) / float64(estimate)
	if h.durationRatio == 0 {
		h.durationRatio = sample
		return
	}
	h.durationRatio += durationRatioWeight * (sample - h.durationRatio)
}

// RecordFailure takes note of a failed run and returns how long the worker should be
// avoided; 0 for not at all.
func (h *Health) RecordFailure() time.Duration {
	h.consecutiveFailures++
	if h.consecutiveFailures < suspectAfterFailures {
		return 0
	}
	return suspectPause
}

// DurationRatio returns the smoothed duration of runs against their estimate; 0 if
// none has ended.
func (h *Health) DurationRatio() float64 { return h.durationRatio }
