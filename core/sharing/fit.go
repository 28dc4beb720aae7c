package sharing

const (
	// maxWeight bounds the looks that a fit remembers; a shorter one would forget
	// rare neighbours.
	maxWeight = 3000
	// ridge shrinks the effect of images that were hardly seen, in square shares of
	// a worker.
	ridge = 0.004
	// solverSweeps is how often the solver goes over all coefficients; with few
	// images it has settled by then.
	solverSweeps = 15
	// solveEvery is how many looks come between two solutions.
	solveEvery = 8
	// significance is by how many standard errors an effect must differ from
	// zero to count.
	significance = 2.5
	// knownSquareShares is how many square shares of a worker make an effect known: a
	// dozen looks at a task of a sixteenth. The standard error of the effect of
	// such a task is then below 0.02.
	knownSquareShares = 0.05
	// saturatedUtilization is the pressure from which on a tail no longer tells how high the
	// pressure is: tails are bounded.
	saturatedUtilization = 0.93
)

// regression is the regression for one serving image: what the load leaves unexplained
// of the pressure = sum of the effect of each filling image times the share of
// the worker's processors that it uses, with no effect below zero.
type regression struct {
	columnByImage map[string]int
	// products and targets are the sums of the normal equations.
	products [][]float64
	targets  []float64
	// weight is the weight of the looks, and squares the sum of the squares of
	// what is to be explained.
	weight, sumSquares float64
	effects            []float64
	// variance is the mean square of what the solution leaves unexplained.
	variance          float64
	samplesSinceSolve int
}

func newRegression() *regression {
	return &regression{columnByImage: map[string]int{}, variance: sampleVariance}
}

// column returns the place of an image and makes it if needed.
func (f *regression) column(image string) int {
	if c, ok := f.columnByImage[image]; ok {
		return c
	}
	c := len(f.targets)
	f.columnByImage[image] = c
	for i := range f.products {
		f.products[i] = append(f.products[i], 0)
	}
	f.products = append(f.products, make([]float64, c+1))
	f.targets = append(f.targets, 0)
	f.effects = append(f.effects, 0)
	return c
}

// addSample adds one look: the share that each filling image used, and the
// pressure that the load does not explain.
func (f *regression) addSample(shares map[string]float64, unexplained float64) {
	if f.weight >= maxWeight {
		f.halveWeights()
	}
	columns := make([]int, 0, len(shares))
	values := make([]float64, 0, len(shares))
	for image, used := range shares {
		columns = append(columns, f.column(image))
		values = append(values, used)
	}
	for i, ci := range columns {
		for j, cj := range columns {
			f.products[ci][cj] += values[i] * values[j]
		}
		f.targets[ci] += values[i] * unexplained
	}
	f.weight++
	f.sumSquares += unexplained * unexplained
	if f.samplesSinceSolve++; f.samplesSinceSolve >= solveEvery || f.weight < solveEvery {
		f.solve()
	}
}

// halveWeights halves the weight of all looks so far.
func (f *regression) halveWeights() {
	f.weight /= 2
	f.sumSquares /= 2
	for i := range f.products {
		f.targets[i] /= 2
		for j := range f.products[i] {
			f.products[i][j] /= 2
		}
	}
}

// solve finds the effects by coordinate descent.
func (f *regression) solve() {
	f.samplesSinceSolve = 0
	for range solverSweeps {
		for i := range f.effects {
			f.solveEffect(i)
		}
	}
	explained := 0.0
	for i, e := range f.effects {
		explained += e * f.targets[i]
	}
	f.variance = max(sampleVariance, (f.sumSquares-explained)/max(1, f.weight))
}

func (f *regression) solveEffect(i int) {
	rest := f.targets[i]
	for j, e := range f.effects {
		if j != i {
			rest -= f.products[i][j] * e
		}
	}
	f.effects[i] = max(0, rest/(f.products[i][i]+ridge))
}

// effect returns the pressure of the image on a whole worker; 0 if it cannot be
// told from chance.
func (f *regression) effect(image string) float64 {
	c, ok := f.columnByImage[image]
	if !ok {
		return 0
	}
	if f.effects[c]*f.effects[c]*f.products[c][c] < significance*significance*f.variance {
		return 0
	}
	return f.effects[c]
}

// known reports whether the image was seen often enough.
func (f *regression) known(image string) bool {
	c, ok := f.columnByImage[image]
	return ok && f.products[c][c] >= knownSquareShares
}
