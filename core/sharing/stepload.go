package sharing

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which the weight of samples decays: two
	// periods of ten seconds, or one of twenty.
	decayTime = 20 * time.Second
	// minSampleWeight is the total weight of the samples, and minPeriodShare the
	// share of a period they must span, from which on a load is fitted with a
	// mean and an amplitude of its own. Below, those of the prior are used.
	minSampleWeight = 12
	minPeriodShare  = 0.7
	// candidatePhases is the number of phases that are compared for a load with
	// few samples.
	candidatePhases = 24
	// sampleVariance is the mean square error of a sample: tails have an error of
	// a few percent and are reported in whole milliseconds.
	sampleVariance = 0.004
	// plausibleVariances limits the phases that are plausible for a load with few
	// samples: the weighted sum of the squared residuals of a phase may exceed
	// that of the best phase by this many times sampleVariance.
	plausibleVariances = 6
	// meanRidge and amplitudeRidge keep a fit with few samples near the mean of
	// the prior and near an amplitude of zero.
	meanRidge      = 0.5
	amplitudeRidge = 0.1
)

// sums holds the weighted sums that a fit to one period needs: those of the
// cosine c and the sine s at each sample's time, of their products, and of
// their products with the sample's utilization u.
type sums struct{ c, s, cc, ss, cs, uc, us float64 }

// stepLoad is the user load of one step. Its samples are kept as weighted sums
// for each candidate period.
type stepLoad struct {
	first, last Instant
	// n, u and uu are the weighted sums of 1, the utilization and its square.
	n, u, uu float64
	byPeriod []sums
	// solutions are the plausible solutions for the period with index
	// solvedPeriod. They are cleared and solvedPeriod is -1 after a new sample.
	solutions    []harmonic
	solvedPeriod int
	// horizon is the latest result of loads.forecastHorizon, and horizonAt the time
	// that it is for. horizonKnown is false after a new sample.
	horizon      [forecastPoints]float64
	horizonAt    Instant
	horizonKnown bool
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

// add adds a sample of the utilization that the user load alone causes.
func (l *stepLoad) add(t Instant, utilization, weight float64) {
	l.decaySamples(t)
	l.n += weight
	l.u += weight * utilization
	l.uu += weight * utilization * utilization
	for i, period := range periods {
		sin, cos := math.Sincos(angle(t, period))
		q := &l.byPeriod[i]
		q.c += weight * cos
		q.s += weight * sin
		q.cc += weight * cos * cos
		q.ss += weight * sin * sin
		q.cs += weight * cos * sin
		q.uc += weight * utilization * cos
		q.us += weight * utilization * sin
	}
	l.solutions = l.solutions[:0]
	l.solvedPeriod = -1
	l.horizonKnown = false
}

// decaySamples reduces the weight of earlier samples.
func (l *stepLoad) decaySamples(t Instant) {
	if t <= l.last {
		return
	}
	keep := math.Exp(-float64(t-l.last) / float64(decayTime))
	l.last = t
	l.n *= keep
	l.u *= keep
	l.uu *= keep
	for i := range l.byPeriod {
		q := &l.byPeriod[i]
		q.c *= keep
		q.s *= keep
		q.cc *= keep
		q.ss *= keep
		q.cs *= keep
		q.uc *= keep
		q.us *= keep
	}
}

// hasEnoughSamples reports whether the samples are enough for a fit to the
// period.
func (l *stepLoad) hasEnoughSamples(period time.Duration) bool {
	return l.n >= minSampleWeight && float64(l.last-l.first) >= minPeriodShare*float64(period)
}

// fitPeriod fits the load to the period with the given index. It solves the
// normal equations by Gaussian elimination. The mean is drawn toward that of
// the prior.
func (l *stepLoad) fitPeriod(period int, prior harmonic) harmonic {
	q := l.byPeriod[period]
	m := [3][4]float64{
		{l.n + meanRidge, q.c, q.s, l.u + meanRidge*prior.mean},
		{q.c, q.cc + amplitudeRidge, q.cs, q.uc},
		{q.s, q.cs, q.ss + amplitudeRidge, q.us},
	}
	for i := range m {
		for k := i + 1; k < len(m); k++ {
			factor := m[k][i] / m[i][i]
			for j := i; j < len(m[k]); j++ {
				m[k][j] -= factor * m[i][j]
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

// residualSquares returns the weighted sum of the squared residuals of a
// solution for the period with the given index.
func (l *stepLoad) residualSquares(period int, h harmonic) float64 {
	q := l.byPeriod[period]
	return l.uu - 2*(h.mean*l.u+h.c*q.uc+h.s*q.us) + h.mean*h.mean*l.n +
		2*h.mean*(h.c*q.c+h.s*q.s) + h.c*h.c*q.cc + h.s*h.s*q.ss + 2*h.c*h.s*q.cs
}

// plausibleSolutions returns the plausible solutions for the period with the
// given index: the fit if there are enough samples, otherwise the load of the
// prior at each phase that the samples do not rule out.
func (l *stepLoad) plausibleSolutions(period int, prior harmonic) []harmonic {
	if l.solvedPeriod == period {
		return l.solutions
	}
	l.solvedPeriod = period
	l.solutions = l.solutions[:0]
	if l.hasEnoughSamples(periods[period]) {
		l.solutions = append(l.solutions, l.fitPeriod(period, prior))
		return l.solutions
	}
	var all [candidatePhases]harmonic
	best := math.Inf(1)
	for i := range all {
		sin, cos := math.Sincos(2 * math.Pi * float64(i) / candidatePhases)
		amplitude := math.Hypot(prior.c, prior.s)
		all[i] = harmonic{mean: prior.mean, c: amplitude * cos, s: amplitude * sin}
		best = min(best, l.residualSquares(period, all[i]))
	}
	for _, h := range all {
		if l.residualSquares(period, h) <= best+plausibleVariances*sampleVariance {
			l.solutions = append(l.solutions, h)
		}
	}
	return l.solutions
}
