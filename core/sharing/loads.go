package sharing

import (
	"math"
	"time"

	"github.com/basilferry/basilferry/core/job"
)

// periods are the periods of the users' load that are considered: 5 to 30 s in
// steps of 6%. A step shifts the phase by a sixteenth of a swing within the
// memory of two swings.
var periods = makePeriods()

func makePeriods() []time.Duration {
	const shortest, longest, step = 5 * time.Second, 30 * time.Second, 1.06
	var out []time.Duration
	for p := float64(shortest); p <= float64(longest); p *= step {
		out = append(out, time.Duration(p).Truncate(time.Millisecond))
	}
	return out
}

const (
	// choosePeriodEvery is the time between two choices of the period, and
	// dropAfter how long a load without samples is kept.
	choosePeriodEvery = 2 * time.Second
	dropAfter         = 30 * time.Second
	// initialMean and initialAmplitude are the mean and the swing of a load before any
	// was seen: those of both deployments with which the model was made.
	initialMean      = 0.37
	initialAmplitude = 0.29
	// initialPeriod is the period before any was seen.
	initialPeriod = 14 * time.Second
	// priorWeight is the weight of the choice so far when the usual mean and
	// swing are worked out again.
	priorWeight = 2
)

// loads are the loads of all steps with what they have in common.
type loads struct {
	byStep map[job.StepID]*stepLoad
	// period is the index of the period that all share.
	period int
	// prior is the mean and the swing (in c) of a load.
	prior          harmonic
	periodChosenAt Instant
}

func newLoads() *loads {
	l := &loads{byStep: map[job.StepID]*stepLoad{}, prior: harmonic{mean: initialMean, c: initialAmplitude}}
	for i, p := range periods {
		if p <= initialPeriod {
			l.period = i
		}
	}
	return l
}

// add takes a sample of a load.
func (l *loads) add(id job.StepID, t Instant, pressure, weight float64) {
	w := l.byStep[id]
	if w == nil {
		w = newStepLoad(t)
		l.byStep[id] = w
	}
	w.add(t, pressure, weight)
	if t-l.periodChosenAt >= choosePeriodEvery {
		l.periodChosenAt = t
		l.dropStale(t)
		l.choosePeriod()
	}
}

func (l *loads) dropStale(t Instant) {
	for id, w := range l.byStep {
		if t-w.last > dropAfter {
			delete(l.byStep, id)
		}
	}
}

// choosePeriod takes the period that explains all loads best, and works out the
// usual mean and swing.
func (l *loads) choosePeriod() {
	residualSquares := make([]float64, len(periods))
	seen := false
	for _, w := range l.byStep {
		if !w.hasEnoughSamples(periods[len(periods)/2]) {
			continue
		}
		seen = true
		for i := range periods {
			residualSquares[i] += w.residualSquares(i, w.fitPeriod(i, l.prior))
		}
	}
	if !seen {
		return
	}
	for i, s := range residualSquares {
		if s < residualSquares[l.period] {
			l.period = i
		}
	}
	l.updatePrior()
}

// updatePrior works out the usual mean and swing from the loads that are fitted by
// themselves.
func (l *loads) updatePrior() {
	mean, swing, n := l.prior.mean*priorWeight, l.prior.c*priorWeight, float64(priorWeight)
	for _, w := range l.byStep {
		if w.hasEnoughSamples(periods[l.period]) {
			h := w.fitPeriod(l.period, l.prior)
			mean += h.mean
			swing += math.Hypot(h.c, h.s)
			n++
		}
	}
	l.prior.mean, l.prior.c = mean/n, swing/n
}

// maxSpread is by how much the plausible solutions may differ at a time for the load
// to count as known then.
const maxSpread = 0.15

// valueAt returns the pressure of a load at a time, and whether it is known.
func (l *loads) valueAt(id job.StepID, t Instant) (pressure float64, known bool) {
	w := l.byStep[id]
	if w == nil {
		return l.prior.mean, false
	}
	solutions := w.plausibleSolutions(l.period, l.prior)
	lowest, highest, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, h := range solutions {
		p := h.valueAt(t, periods[l.period])
		lowest, highest, sum = min(lowest, p), max(highest, p), sum+p
	}
	return sum / float64(len(solutions)), highest-lowest < maxSpread
}

// forecast returns the highest pressure that the load can be expected to have
// at a time.
func (l *loads) forecast(id job.StepID, t Instant) float64 {
	w := l.byStep[id]
	if w == nil {
		return l.prior.mean + l.prior.c
	}
	highest := math.Inf(-1)
	for _, h := range w.plausibleSolutions(l.period, l.prior) {
		highest = max(highest, h.valueAt(t, periods[l.period]))
	}
	return highest
}
