package sharing

const (
	// maxWeight is the total weight of samples at which all weights are halved. A
	// lower value would forget images that rarely share a worker.
	maxWeight = 3000
	// ridge shrinks the effects of rarely seen images toward zero. It is in
	// squared shares of a worker's processors.
	ridge = 0.004
	// solverSweeps is the number of passes over all coefficients; with few images
	// the solver converges within them.
	solverSweeps = 15
	// solveEvery is the number of samples between two runs of the solver.
	solveEvery = 8
	// significance is the number of standard errors by which an effect must
	// differ from zero to count.
	significance = 2.5
	// knownSquareShares is the sum of squared CPU shares from which on an effect
	// counts as known: about a dozen samples of a task that uses a sixteenth of a
	// worker. The standard error of the interference of such a task is then below
	// 0.02.
	knownSquareShares = 0.05
	// saturatedUtilization is the utilization above which a tail no longer shows
	// how high the utilization is, because tails are bounded.
	saturatedUtilization = 0.93
)

// regression is the linear regression for one serving image. The utilization
// that the user load does not explain is the sum, over the best-effort images,
// of the effect of the image times the share of the worker's processors that
// it uses. No effect is negative.
type regression struct {
	columnByImage map[string]int
	// products and targets are the sums of the normal equations.
	products [][]float64
	targets  []float64
	// weight is the total weight of the samples, and sumSquares the weighted sum
	// of the squares of the utilization to explain.
	weight, sumSquares float64
	effects            []float64
	// variance is the mean square of the residuals, at least sampleVariance.
	variance          float64
	samplesSinceSolve int
}

func newRegression() *regression {
	return &regression{columnByImage: map[string]int{}, variance: sampleVariance}
}

// column returns the column of an image and adds one if needed.
func (r *regression) column(image string) int {
	if c, ok := r.columnByImage[image]; ok {
		return c
	}
	c := len(r.targets)
	r.columnByImage[image] = c
	for i := range r.products {
		r.products[i] = append(r.products[i], 0)
	}
	r.products = append(r.products, make([]float64, c+1))
	r.targets = append(r.targets, 0)
	r.effects = append(r.effects, 0)
	return c
}

// addSample adds one sample: the share of the processors that each best-effort
// image used, and the utilization that the user load does not explain.
func (r *regression) addSample(cpuUsed map[string]float64, unexplained float64) {
	if r.weight >= maxWeight {
		r.halveWeights()
	}
	columns := make([]int, 0, len(cpuUsed))
	values := make([]float64, 0, len(cpuUsed))
	for image, used := range cpuUsed {
		columns = append(columns, r.column(image))
		values = append(values, used)
	}
	for i, ci := range columns {
		for j, cj := range columns {
			r.products[ci][cj] += values[i] * values[j]
		}
		r.targets[ci] += values[i] * unexplained
	}
	r.weight++
	r.sumSquares += unexplained * unexplained
	if r.samplesSinceSolve++; r.samplesSinceSolve >= solveEvery || r.weight < solveEvery {
		r.solve()
	}
}

// halveWeights halves the weight of all samples so far.
func (r *regression) halveWeights() {
	r.weight /= 2
	r.sumSquares /= 2
	for i := range r.products {
		r.targets[i] /= 2
		for j := range r.products[i] {
			r.products[i][j] /= 2
		}
	}
}

// solve finds the effects by coordinate descent.
func (r *regression) solve() {
	r.samplesSinceSolve = 0
	for range solverSweeps {
		for i := range r.effects {
			r.solveEffect(i)
		}
	}
	explained := 0.0
	for i, e := range r.effects {
		explained += e * r.targets[i]
	}
	r.variance = max(sampleVariance, (r.sumSquares-explained)/max(1, r.weight))
}

func (r *regression) solveEffect(i int) {
	rest := r.targets[i]
	for j, e := range r.effects {
		if j != i {
			rest -= r.products[i][j] * e
		}
	}
	r.effects[i] = max(0, rest/(r.products[i][i]+ridge))
}

// effect returns the interference that the image would cause if it used all
// processors of the worker; 0 if it is not significant.
func (r *regression) effect(image string) float64 {
	c, ok := r.columnByImage[image]
	if !ok {
		return 0
	}
	if r.effects[c]*r.effects[c]*r.products[c][c] < significance*significance*r.variance {
		return 0
	}
	return r.effects[c]
}

// effectKnown reports whether the image has been seen often enough for its
// effect to count as known.
func (r *regression) effectKnown(image string) bool {
	c, ok := r.columnByImage[image]
	return ok && r.products[c][c] >= knownSquareShares
}
