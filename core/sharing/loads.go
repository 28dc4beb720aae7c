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
	// usualMean and usualSwing are the mean and the swing of a load before any
	// was seen: those of both deployments with which the model was made.
	usualMean  = 0.37
	usualSwing = 0.29
	// startPeriod is the period before any was seen.
	startPeriod = 14 * time.Second
	// usualWeight is the weight of the choice so far when the usual mean and
	// swing are worked out again.
	usualWeight = 2
)

// loads are the loads of all steps with what they have in common.
type loads struct {
	waves map[job.StepID]*wave
	// period is the index of the period that all share.
	period int
	// usual is the mean and the swing (in c) of a load.
	usual    harmonic
	chosenAt Instant
}

func newLoads() *loads {
	l := &loads{waves: map[job.StepID]*wave{}, usual: harmonic{mean: usualMean, c: usualSwing}}
	for i, p := range periods {
		if p <= startPeriod {
			l.period = i
		}
	}
	return l
}

// add takes a sample of a load.
func (l *loads) add(id job.StepID, t Instant, pressure, weight float64) {
	w := l.waves[id]
	if w == nil {
		w = newWave(t)
		l.waves[id] = w
	}
	w.add(t, pressure, weight)
	if t-l.chosenAt >= choosePeriodEvery {
		l.chosenAt = t
		l.drop(t)
		l.choose()
	}
}

func (l *loads) drop(t Instant) {
	for id, w := range l.waves {
		if t-w.last > dropAfter {
			delete(l.waves, id)
		}
	}
}

// choose takes the period that explains all loads best, and works out the
// usual mean and swing.
func (l *loads) choose() {
	squares := make([]float64, len(periods))
	seen := false
	for _, w := range l.waves {
		if !w.settled(periods[len(periods)/2]) {
			continue
		}
		seen = true
		for i := range periods {
			squares[i] += w.squares(i, w.fit(i, l.usual))
		}
	}
	if !seen {
		return
	}
	for i, s := range squares {
		if s < squares[l.period] {
			l.period = i
		}
	}
	l.average()
}

// average works out the usual mean and swing from the loads that are fitted by
// themselves.
func (l *loads) average() {
	mean, swing, n := l.usual.mean*usualWeight, l.usual.c*usualWeight, float64(usualWeight)
	for _, w := range l.waves {
		if w.settled(periods[l.period]) {
			h := w.fit(l.period, l.usual)
			mean += h.mean
			swing += math.Hypot(h.c, h.s)
			n++
		}
	}
	l.usual.mean, l.usual.c = mean/n, swing/n
}

// sure is by how much the plausible solutions may differ at a time for the load
// to count as known then.
const sure = 0.15

// at returns the pressure of a load at a time, and whether it is known.
func (l *loads) at(id job.StepID, t Instant) (pressure float64, known bool) {
	w := l.waves[id]
	if w == nil {
		return l.usual.mean, false
	}
	fits := w.solve(l.period, l.usual)
	lowest, highest, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, h := range fits {
		p := h.at(t, periods[l.period])
		lowest, highest, sum = min(lowest, p), max(highest, p), sum+p
	}
	return sum / float64(len(fits)), highest-lowest < sure
}

// forecast returns the highest pressure that the load can be expected to have
// at a time.
func (l *loads) forecast(id job.StepID, t Instant) float64 {
	w := l.waves[id]
	if w == nil {
		return l.usual.mean + l.usual.c
	}
	highest := math.Inf(-1)
	for _, h := range w.solve(l.period, l.usual) {
		highest = max(highest, h.at(t, periods[l.period]))
	}
	return highest
}
