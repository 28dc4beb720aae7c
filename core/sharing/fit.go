package sharing

const (
	// window bounds the observations that a fit remembers: a few seconds of
	// looks at the tasks of one serving image would forget rare neighbours.
	window = 3000
	// ridge shrinks the effect of images that were hardly seen, in square cores.
	ridge = 4
	// sweeps is how often the solver goes over all coefficients; with few
	// images it has settled by then.
	sweeps = 15
	// solveEvery is how many observations come between two solutions.
	solveEvery = 8
	// significance is by how many standard errors an effect must differ from
	// zero to count.
	significance = 2.5
	// knownCores is how many square cores of observations make an effect known:
	// about eight looks at two cores.
	knownCores = 30
)

// fit is the regression for one serving image: pressure = base + sum of the
// effect of each filling image times the cores that it uses, with no effect
// below zero.
type fit struct {
	index map[string]int
	// products and targets are the sums of the normal equations; row and column
	// 0 belong to the constant.
	products [][]float64
	targets  []float64
	// squares is the sum of the squares of the pressures.
	squares float64
	// effects are the solution; effects[0] is the base.
	effects []float64
	// variance is the mean square of what the solution leaves unexplained.
	variance float64
	fresh    int
	// floor is the smallest tail that was seen, in multiples of the target.
	floor float64
}

func newFit() *fit {
	return &fit{
		index: map[string]int{}, products: [][]float64{{0}}, targets: []float64{0}, effects: []float64{0}, floor: startFloor,
	}
}

// startFloor is the floor before any look, in multiples of the target: targets
// are several times the tail of an idle worker.
const startFloor = 0.5

// pressure returns the pressure of a tail in multiples of the target.
func (f *fit) pressure(tail float64) float64 { return max(0, 1-f.floor/tail) }

// limit is the pressure at which the tail reaches its target.
func (f *fit) limit() float64 { return 1 - f.floor }

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

// observe adds one look: the cores that each filling image used, and the tail
// in multiples of the target.
func (f *fit) observe(cores map[string]float64, tail float64) {
	f.floor = min(f.floor, tail)
	if f.products[0][0] >= window {
		f.forget()
	}
	pressure := f.pressure(tail)
	columns := make([]int, 1, len(cores)+1)
	values := make([]float64, 1, len(cores)+1)
	values[0] = 1
	for image, used := range cores {
		columns = append(columns, f.column(image))
		values = append(values, used)
	}
	for i, ci := range columns {
		for j, cj := range columns {
			f.products[ci][cj] += values[i] * values[j]
		}
		f.targets[ci] += values[i] * pressure
	}
	f.squares += pressure * pressure
	if f.fresh++; f.fresh >= solveEvery {
		f.solve()
	}
}

// forget halves the weight of all observations so far.
func (f *fit) forget() {
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
	f.variance = max(0, f.squares-explained) / f.products[0][0]
}

func (f *fit) solveOne(i int) {
	rest := f.targets[i]
	for j, e := range f.effects {
		if j != i {
			rest -= f.products[i][j] * e
		}
	}
	weight := f.products[i][i]
	if i > 0 {
		weight += ridge
	}
	if weight > 0 {
		f.effects[i] = max(0, rest/weight)
	}
}

// base is the mean pressure without filling tasks.
func (f *fit) base() float64 { return f.effects[0] }

// effect returns the pressure of one core of the image; 0 if it cannot be told
// from chance.
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
	return ok && f.products[c][c] >= knownCores
}
