package sharing

const (
	// window bounds the observations that a fit remembers: a few seconds of
	// looks at the tasks of one serving image would forget rare neighbours.
	window = 3000
	// ridge shrinks the effect of images that were hardly seen, in square cores.
	ridge = 2
	// sweeps is how often the solver goes over all coefficients; with few
	// images it has settled by then.
	sweeps = 15
	// solveEvery is how many observations come between two solutions.
	solveEvery = 8
	// clipTail bounds a tail latency, in multiples of its target, so that a
	// single outlier does not decide a coefficient.
	clipTail = 6
)

// fit is the regression for one serving image: tail = base + sum of the effect
// of each filling image times the cores that it uses, with no effect below
// zero. Tails are in multiples of the target.
type fit struct {
	index map[string]int
	// products and targets are the sums of the normal equations; row and column
	// 0 belong to the constant.
	products [][]float64
	targets  []float64
	// effects are the solution; effects[0] is the base.
	effects []float64
	fresh   int
}

func newFit() *fit {
	return &fit{index: map[string]int{}, products: [][]float64{{0}}, targets: []float64{0}, effects: []float64{0}}
}

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

// observe adds one look: the cores that each filling image used, and the tail.
func (f *fit) observe(cores map[string]float64, tail float64) {
	if f.products[0][0] >= window {
		f.forget()
	}
	tail = min(tail, clipTail)
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
		f.targets[ci] += values[i] * tail
	}
	if f.fresh++; f.fresh >= solveEvery {
		f.solve()
	}
}

// forget halves the weight of all observations so far.
func (f *fit) forget() {
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
	}
}

// effect returns by how many targets the tail rises for each core of the
// image.
func (f *fit) effect(image string) float64 {
	if c, ok := f.index[image]; ok {
		return f.effects[c]
	}
	return 0
}

// knownCores is how many square cores of observations make an effect known:
// about eight looks at two cores.
const knownCores = 30

// known reports whether the image was seen often enough.
func (f *fit) known(image string) bool {
	c, ok := f.index[image]
	return ok && f.products[c][c] >= knownCores
}
