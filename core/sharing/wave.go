package sharing

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which a load forgets its samples: two
	// swings of ten seconds, one of twenty.
	decayTime = 20 * time.Second
	// minSampleWeight and minPeriodShare are the weight of the samples, and the share
	// of a period that they must span, from which on a load is fitted by itself.
	// Before, its mean and swing are taken to be the usual ones.
	minSampleWeight = 12
	minPeriodShare  = 0.7
	// candidatePhases is how many phases are compared for a load with few samples.
	candidatePhases = 24
	// sampleVariance is the mean square of a sample's error: tails are rough by
	// a few percent and are given in whole milliseconds.
	sampleVariance = 0.004
	// plausibleVariances is by how many variances a phase may fit worse than the best one
	// and still count for the forecast.
	plausibleVariances = 6
	// meanRidge and amplitudeRidge keep a fit near the usual mean and near no swing
	// while it has few samples.
	meanRidge      = 0.5
	amplitudeRidge = 0.1
)

// sums are the weighted sums of one period that a fit needs: of the cosine c
// and the sine s of each sample's time, and of its pressure p.
type sums struct{ c, s, cc, ss, cs, pc, ps float64 }

// stepLoad is the load of one step: its samples, folded into sums for each period
// that is considered.
type stepLoad struct {
	first, last Instant
	n, p, pp    float64
	byPeriod    []sums
	// regressions are the solutions that are plausible, for the period for which they
	// were made; none if samples have come since.
	solutions    []harmonic
	solvedPeriod int
}

// harmonic is mean + c cos(2 pi t / period) + s sin(2 pi t / period).
type harmonic struct{ mean, c, s float64 }

func (h harmonic) valueAt(t Instant, period time.Duration) float64 {
	sin, cos := math.Sincos(angle(t, period))
	return h.mean + h.c*cos + h.s*sin
}

func angle(t Instant, period time.Duration) float64 {
	return 2 * math.Pi * float64(t%period) / float64(period)
}

func newStepLoad(at Instant) *stepLoad {
	return &stepLoad{first: at, last: at, byPeriod: make([]sums, len(periods)), solvedPeriod: -1}
}

// add takes a sample of the pressure that the load alone puts on.
func (w *stepLoad) add(t Instant, pressure, weight float64) {
	w.decaySamples(t)
	w.n += weight
	w.p += weight * pressure
	w.pp += weight * pressure * pressure
	for i, period := range periods {
		sin, cos := math.Sincos(angle(t, period))
		q := &w.byPeriod[i]
		q.c += weight * cos
		q.s += weight * sin
		q.cc += weight * cos * cos
		q.ss += weight * sin * sin
		q.cs += weight * cos * sin
		q.pc += weight * pressure * cos
		q.ps += weight * pressure * sin
	}
	w.solutions = w.solutions[:0]
	w.solvedPeriod = -1
}

// decaySamples reduces the weight of earlier samples.
func (w *stepLoad) decaySamples(t Instant) {
	if t <= w.last {
		return
	}
	keep := math.Exp(-float64(t-w.last) / float64(decayTime))
	w.last = t
	w.n *= keep
	w.p *= keep
	w.pp *= keep
	for i := range w.byPeriod {
		q := &w.byPeriod[i]
		q.c *= keep
		q.s *= keep
		q.cc *= keep
		q.ss *= keep
		q.cs *= keep
		q.pc *= keep
		q.ps *= keep
	}
}

// minSinceFinish reports whether the samples are enough for a fit with the period.
func (w *stepLoad) hasEnoughSamples(period time.Duration) bool {
	return w.n >= minSampleWeight && float64(w.last-w.first) >= minPeriodShare*float64(period)
}

// regression solves the normal equations for one period by elimination. The mean is
// drawn to the usual one.
func (w *stepLoad) fitPeriod(period int, usual harmonic) harmonic {
	q := w.byPeriod[period]
	m := [3][4]float64{
		{w.n + meanRidge, q.c, q.s, w.p + meanRidge*usual.mean},
		{q.c, q.cc + amplitudeRidge, q.cs, q.pc},
		{q.s, q.cs, q.ss + amplitudeRidge, q.ps},
	}
	for i := range m {
		for r := i + 1; r < len(m); r++ {
			factor := m[r][i] / m[i][i]
			for j := i; j < len(m[r]); j++ {
				m[r][j] -= factor * m[i][j]
			}
		}
	}
	var x [3]float64
	for i := len(x) - 1; i >= 0; i-- {
		x[i] = m[i][3]
		for j := i + 1; j < len(x); j++ {
			x[i] -= m[i][j] * x[j]
		}
		x[i] /= m[i][i]
	}
	return harmonic{mean: x[0], c: x[1], s: x[2]}
}

// residualSquares is the sum of the squares that a solution leaves unexplained.
func (w *stepLoad) residualSquares(period int, h harmonic) float64 {
	q := w.byPeriod[period]
	return w.pp - 2*(h.mean*w.p+h.c*q.pc+h.s*q.ps) + h.mean*h.mean*w.n +
		2*h.mean*(h.c*q.c+h.s*q.s) + h.c*h.c*q.cc + h.s*h.s*q.ss + 2*h.c*h.s*q.cs
}

// plausibleSolutions finds the plausible solutions for a period.
func (w *stepLoad) plausibleSolutions(period int, usual harmonic) []harmonic {
	if w.solvedPeriod == period {
		return w.solutions
	}
	w.solvedPeriod = period
	w.solutions = w.solutions[:0]
	if w.hasEnoughSamples(periods[period]) {
		w.solutions = append(w.solutions, w.fitPeriod(period, usual))
		return w.solutions
	}
	var all [candidatePhases]harmonic
	best := math.Inf(1)
	for i := range all {
		sin, cos := math.Sincos(2 * math.Pi * float64(i) / candidatePhases)
		swing := math.Hypot(usual.c, usual.s)
		all[i] = harmonic{mean: usual.mean, c: swing * cos, s: swing * sin}
		best = min(best, w.residualSquares(period, all[i]))
	}
	for _, h := range all {
		if w.residualSquares(period, h) <= best+plausibleVariances*sampleVariance {
			w.solutions = append(w.solutions, h)
		}
	}
	return w.solutions
}
