package sharing

const (
	// window bounds the looks that a fit remembers; a shorter one would forget
	// rare neighbours.
	window = 3000
	// ridge shrinks the effect of images that were hardly seen, in square shares of
	// a worker.
	ridge = 0.004
	// sweeps is how often the solver goes over all coefficients; with few
	// images it has settled by then.
	sweeps = 15
	// solveEvery is how many looks come between two solutions.
	solveEvery = 8
	// significance is by how many standard errors an effect must differ from
	// zero to count.
	significance = 2.5
	// knownShares is how many square shares of a worker make an effect known: a
	// dozen looks at a task of a sixteenth. The standard error of the effect of
	// such a task is then below 0.02.
	knownShares = 0.05
	// saturated is the pressure from which on a tail no longer tells how high the
	// pressure is: tails are bounded.
	saturated = 0.93
)

// fit is the regression for one serving image: what the load leaves unexplained
// of the pressure = sum of the effect of each filling image times the share of
// the worker's processors that it uses, with no effect below zero.
type fit struct {
	index map[string]int
	// products and targets are the sums of the normal equations.
	products [][]float64
	targets  []float64
	// looks is the weight of the looks, and squares the sum of the squares of
	// what is to be explained.
	looks, squares float64
	effects        []float64
	// variance is the mean square of what the solution leaves unexplained.
	variance float64
	fresh    int
}

func newFit() *fit { return &fit{index: map[string]int{}, variance: sampleVariance} }

// column returns the place of an image and makes it if needed.
func (f *fit) column(image string) int {
	if c, ok := f.index[image]; ok {
		return c
	}
	c := len(f.targets)
	f.index[image] = c
	for i := range f.products {
		f.products[i] = append(f.products[i], 0)
	}
	f.products = append(f.products, make([]float64, c+1))
	f.targets = append(f.targets, 0)
	f.effects = append(f.effects, 0)
	return c
}

// observe adds one look: the share that each filling image used, and the
// pressure that the load does not explain.
func (f *fit) observe(shares map[string]float64, unexplained float64) {
	if f.looks >= window {
		f.forget()
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
	f.looks++
	f.squares += unexplained * unexplained
	if f.fresh++; f.fresh >= solveEvery || f.looks < solveEvery {
		f.solve()
	}
}

// forget halves the weight of all looks so far.
func (f *fit) forget() {
	f.looks /= 2
	f.squares /= 2
	for i := range f.products {
		f.targets[i] /= 2
		for j := range f.products[i] {
			f.products[i][j] /= 2
		}
	}
}

// solve finds the effects by coordinate descent.
func (f *fit) solve() {
	f.fresh = 0
	for range sweeps {
		for i := range f.effects {
			f.solveOne(i)
		}
	}
	explained := 0.0
	for i, e := range f.effects {
		explained += e * f.targets[i]
	}
	f.variance = max(sampleVariance, (f.squares-explained)/max(1, f.looks))
}

func (f *fit) solveOne(i int) {
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
func (f *fit) effect(image string) float64 {
	c, ok := f.index[image]
	if !ok {
		return 0
	}
	if f.effects[c]*f.effects[c]*f.products[c][c] < significance*significance*f.variance {
		return 0
	}
	return f.effects[c]
}

// known reports whether the image was seen often enough.
func (f *fit) known(image string) bool {
	c, ok := f.index[image]
	return ok && f.products[c][c] >= knownShares
}
