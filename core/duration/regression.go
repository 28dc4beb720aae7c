package duration

import (
	"math"
	"time"
)

const (
	// priorSteps is how many steps the client's estimates count for: with as many
	// observed steps, a prediction is halfway between the estimate and the regression.
	priorSteps = 8
	// forgetting is the factor by which the weight of earlier steps shrinks with each
	// new one, so that the regression follows a load that changes. About 200 steps count.
	forgetting = 0.995
	// priorVariance is the variance of the logarithm of a duration for a given estimate
	// before steps were observed: a factor of about two.
	priorVariance = 0.5
	// minVariance bounds the trust in a regression whose steps happened to agree.
	minVariance = 0.01
)

// queue is what is known about the steps of one queue.
type queue struct {
	// stated are the steps with an estimate, and all are all steps.
	stated regression
	all    moments
	// line, mean and variance are the last fit: the line for steps with an estimate, and the
	// mean logarithm of the durations with its variance for others. observed is the line of
	// the observed steps alone, without the trust in estimates. generation is the number of the
	// fit, and unfitted the number of steps that were added since.
	line, observed line
	mean, variance float64
	generation     int
	unfitted       float64
}

// regression fits the logarithm of durations to that of estimates by weighted least
// squares.
type regression struct {
	// weight, x, y, xx, xy and yy are the weighted sums over the observed steps.
	weight, x, y, xx, xy, yy float64
}

// moments are the weighted sums of logarithms of durations and of their squares.
type moments struct{ weight, sum, squares float64 }

// line is y = intercept + slope*x, with the variance of y around it.
type line struct{ intercept, slope, variance float64 }

// identityLine predicts the estimates.
var identityLine = line{slope: 1, variance: priorVariance}

// refitShare is the share of new steps from which on the line is fitted anew. Predictions are
// read far more often than steps are added.
const refitShare = 0.05

// add adds a step with the logarithm of its duration, and of its estimate if it has one.
func (q *queue) add(estimate time.Duration, y float64) {
	q.all.add(y)
	if estimate > 0 {
		q.stated.add(logSeconds(estimate.Seconds()), y)
	}
	q.unfitted++
	if q.unfitted < refitShare*q.all.weight {
		return
	}
	q.unfitted = 0
	q.generation++
	q.mean, q.variance = q.all.fit()
	if q.stated.weight > 0 {
		q.line, q.observed = q.stated.fit()
	}
}

func (m *moments) add(y float64) {
	m.weight = forgetting*m.weight + 1
	m.sum = forgetting*m.sum + y
	m.squares = forgetting*m.squares + y*y
}

// fit returns the mean and the variance of the logarithm of a duration.
func (m *moments) fit() (mean, variance float64) {
	mean = m.sum / m.weight
	return mean, blendVariance(m.weight, max(0, m.squares/m.weight-mean*mean))
}

// blendVariance returns the variance that was observed over a number of steps, blended with
// that before steps were observed.
func blendVariance(steps, observed float64) float64 {
	trust := steps / (steps + priorSteps)
	return max(minVariance, trust*observed+(1-trust)*priorVariance)
}

func (r *regression) add(x, y float64) {
	for _, sum := range []*float64{&r.weight, &r.x, &r.y, &r.xx, &r.xy, &r.yy} {
		*sum *= forgetting
	}
	r.weight++
	r.x += x
	r.y += y
	r.xx += x * x
	r.xy += x * y
	r.yy += y * y
}

// fit returns the line for the observed steps, of which there must be at least one, blended
// with the estimates as long as there are few, and the line of the observed steps alone. The
// slope is from 0 to 1: a longer estimate never predicts a shorter task, and an estimate
// that is off by a factor does not predict more than that factor.
func (r *regression) fit() (blended, observed line) {
	meanX, meanY := r.x/r.weight, r.y/r.weight
	varX, varY := max(0, r.xx/r.weight-meanX*meanX), max(0, r.yy/r.weight-meanY*meanY)
	covariance := r.xy/r.weight - meanX*meanY
	slope := 1.0
	if varX > 0 {
		slope = min(1, max(0, covariance/varX))
	}
	residual := max(0, varY-2*slope*covariance+slope*slope*varX)
	observed = line{intercept: meanY - slope*meanX, slope: slope, variance: max(minVariance, residual)}
	trust := r.weight / (r.weight + priorSteps)
	slope = trust*slope + (1 - trust)
	blended = line{
		intercept: trust * (meanY - slope*meanX), slope: slope,
		variance: blendVariance(r.weight, residual),
	}
	return blended, observed
}

// Correction turns the estimates of a queue's clients into predictions. The zero value
// predicts 1 s for everything; use Identity for none.
type Correction struct {
	// Intercept and Slope are those of the logarithm of the duration in seconds over the
	// logarithm of the estimate in seconds.
	Intercept, Slope float64
}

// Identity predicts the estimates themselves.
var Identity = Correction{Slope: 1}

func (c Correction) log(x float64) float64 { return c.Intercept + c.Slope*x }

func logSeconds(seconds float64) float64 { return math.Log(max(minSeconds, seconds)) }

// minSeconds is the shortest duration that is told apart.
const minSeconds = 0.001
