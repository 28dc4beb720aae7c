package duration

import "math"

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

// regression fits the logarithm of durations to that of estimates by weighted least
// squares.
type regression struct {
	// weight, x, y, xx, xy and yy are the weighted sums over the observed steps.
	weight, x, y, xx, xy, yy float64
	// line is the last fit, generation its number, and unfitted the number of steps that
	// were added since.
	line       line
	generation int
	unfitted   float64
}

// line is y = intercept + slope*x, with the variance of y around it.
type line struct{ intercept, slope, variance float64 }

// refitShare is the share of new steps from which on the line is fitted anew. Predictions are
// read far more often than steps are added.
const refitShare = 0.05

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
	r.unfitted++
	if r.unfitted >= refitShare*r.weight {
		r.line, r.unfitted = r.fit(), 0
		r.generation++
	}
}

// fit returns the line for the observed steps, of which there must be at least one. The
// slope is from 0 to 1: a longer estimate never predicts a shorter task, and an estimate
// that is off by a factor does not predict more than that factor.
func (r *regression) fit() line {
	meanX, meanY := r.x/r.weight, r.y/r.weight
	varX, varY := max(0, r.xx/r.weight-meanX*meanX), max(0, r.yy/r.weight-meanY*meanY)
	covariance := r.xy/r.weight - meanX*meanY
	slope := 1.0
	if varX > 0 {
		slope = min(1, max(0, covariance/varX))
	}
	residual := max(0, varY-2*slope*covariance+slope*slope*varX)
	trust := r.weight / (r.weight + priorSteps)
	slope = trust*slope + (1 - trust)
	return line{
		intercept: trust * (meanY - slope*meanX), slope: slope,
		variance: max(minVariance, trust*residual+(1-trust)*priorVariance),
	}
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
