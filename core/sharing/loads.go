package sharing

import (
	"math"
	"time"

	"github.com/basilferry/basilferry/core/job"
)

// periods are the candidate periods of the user load: 5 to 30 s in steps of
// 6%. Over two periods, about the time for which samples count, an error of
// one step shifts the phase by a sixteenth of a period to either side of the
// middle.
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
	// dropAfter the time without samples after which a load is dropped.
	choosePeriodEvery = 2 * time.Second
	dropAfter         = 30 * time.Second
	// initialMean and initialAmplitude are the mean and the amplitude of a load
	// before any samples. They are typical of both known deployments.
	initialMean      = 0.37
	initialAmplitude = 0.29
	// initialPeriod is the period before any samples.
	initialPeriod = 14 * time.Second
	// priorWeight is the weight of the previous prior when the prior is updated,
	// as a number of loads.
	priorWeight = 2
)

// loads holds the user loads of all steps and what they have in common.
type loads struct {
	byStep map[job.StepID]*stepLoad
	// period is the index in periods of the period that all loads share.
	period int
	// prior holds the mean and, in c, the amplitude of a typical load.
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

// add adds a sample of the load of a step.
func (l *loads) add(id job.StepID, t Instant, utilization, weight float64) {
	load := l.byStep[id]
	if load == nil {
		load = newStepLoad(t)
		l.byStep[id] = load
	}
	load.add(t, utilization, weight)
	if t-l.periodChosenAt >= choosePeriodEvery {
		l.periodChosenAt = t
		l.dropStale(t)
		l.choosePeriod()
	}
}

func (l *loads) dropStale(t Instant) {
	for id, load := range l.byStep {
		if t-load.last > dropAfter {
			delete(l.byStep, id)
		}
	}
}

// choosePeriod chooses the period that explains all loads best and updates the
// prior.
func (l *loads) choosePeriod() {
	residualSquares := make([]float64, len(periods))
	fitted := false
	for _, load := range l.byStep {
		if !load.hasEnoughSamples(periods[len(periods)/2]) {
			continue
		}
		fitted = true
		for i := range periods {
			residualSquares[i] += load.residualSquares(i, load.fitPeriod(i, l.prior))
		}
	}
	if !fitted {
		return
	}
	for i, s := range residualSquares {
		if s < residualSquares[l.period] {
			l.period = i
		}
	}
	l.updatePrior()
}

// updatePrior sets the prior to the mean of the previous prior, with weight
// priorWeight, and the loads that have enough samples for a fit of their own.
func (l *loads) updatePrior() {
	mean, amplitude, n := l.prior.mean*priorWeight, l.prior.c*priorWeight, float64(priorWeight)
	for _, load := range l.byStep {
		if load.hasEnoughSamples(periods[l.period]) {
			h := load.fitPeriod(l.period, l.prior)
			mean += h.mean
			amplitude += math.Hypot(h.c, h.s)
			n++
		}
	}
	l.prior.mean, l.prior.c = mean/n, amplitude/n
}

// maxSpread is the largest difference between the plausible solutions at a
// time up to which the load at that time counts as known.
const maxSpread = 0.15

// valueAt returns the estimated utilization by the user load of a step at a
// time, and whether the estimate is close enough to count as known.
func (l *loads) valueAt(id job.StepID, t Instant) (utilization float64, known bool) {
	load := l.byStep[id]
	if load == nil {
		return l.prior.mean, false
	}
	solutions := load.plausibleSolutions(l.period, l.prior)
	lowest, highest, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, h := range solutions {
		p := h.valueAt(t, periods[l.period])
		lowest, highest, sum = min(lowest, p), max(highest, p), sum+p
	}
	return sum / float64(len(solutions)), highest-lowest < maxSpread
}

// forecastHorizon returns the forecasts of a step's user load at the points of the
// horizon that starts now. A planning round asks for it once for each worker that
// serves the step, so the result is kept until the time or the load's samples change.
func (l *loads) forecastHorizon(id job.StepID, now Instant) [forecastPoints]float64 {
	var out [forecastPoints]float64
	load := l.byStep[id]
	if load != nil && load.horizonKnown && load.horizonAt == now && load.solvedPeriod == l.period {
		return load.horizon
	}
	for k := range out {
		out[k] = l.forecast(id, now+horizon*time.Duration(k)/forecastPoints)
	}
	if load != nil {
		load.horizon, load.horizonAt, load.horizonKnown = out, now, true
	}
	return out
}

// forecast returns the highest utilization that the user load of a step can be
// expected to cause at a time.
func (l *loads) forecast(id job.StepID, t Instant) float64 {
	load := l.byStep[id]
	if load == nil {
		return l.prior.mean + l.prior.c
	}
	highest := math.Inf(-1)
	for _, h := range load.plausibleSolutions(l.period, l.prior) {
		highest = max(highest, h.valueAt(t, periods[l.period]))
	}
	return highest
}
