package fleet

import "time"

// Health rates a worker by the ends of its runs. Workers that fail or hang
// what they start look sound by their registry entry, so only the comparison
// of their ends with those of others shows them.
type Health struct {
	// streak counts failed ends since the last one that was done.
	streak int
	// ratio is the smoothed duration of runs against their estimate.
	ratio float64
}

const (
	// failStreak is how many failed ends in a row make a worker suspect. Runs
	// fail by their own fault in 2% to 5% of all cases, so three in a row on a
	// sound worker are rare.
	failStreak = 3
	// suspectPause keeps new runs away from a suspect worker; after it one run
	// probes it.
	suspectPause = 3 * time.Second
	// ratioWeight is the weight of a new duration in the smoothed ratio.
	ratioWeight = 0.3
)

// Done takes note of a run that ended as done after took, against estimate.
func (h *Health) Done(took, estimate time.Duration) {
	h.streak = 0
	if estimate <= 0 {
		return
	}
	sample := float64(took) / float64(estimate)
	if h.ratio == 0 {
		h.ratio = sample
		return
	}
	h.ratio += ratioWeight * (sample - h.ratio)
}

// Failed takes note of a failed run and returns how long the worker should be
// avoided; 0 for not at all.
func (h *Health) Failed() time.Duration {
	h.streak++
	if h.streak < failStreak {
		return 0
	}
	return suspectPause
}

// Ratio returns the smoothed duration of runs against their estimate; 0 if
// none has ended.
func (h *Health) Ratio() float64 { return h.ratio }
