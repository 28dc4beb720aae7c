package sharing

import "time"

// Model is what was learned of the loads and of all pairs of images.
type Model struct {
	regressions map[string]*regression
	loads       *loads
}

// NewModel returns a model that has seen nothing.
func NewModel() *Model { return &Model{regressions: map[string]*regression{}, loads: newLoads()} }

func (m *Model) regression(serve string) *regression {
	f := m.regressions[serve]
	if f == nil {
		f = newRegression()
		m.regressions[serve] = f
	}
	return f
}

const (
	// harmlessInterference is the pressure of a filling task that does not count when serving
	// tasks are placed.
	harmlessInterference = 0.07
	// minSinceFinish is how long ago the last end of a filling task on a worker must be
	// before its tails tell about those that are left: a tail, like the use of a
	// filling task, covers the last half second.
	minSinceFinish = 550 * time.Millisecond
	// tailLag is the age of the middle of that half second.
	tailLag = 250 * time.Millisecond
	// maxKnownInterference is the pressure of known neighbours up to which a look tells about
	// the load; above, their effect is not known well enough.
	maxKnownInterference = 0.1
	// unknownEffectWeight is the weight of a look with neighbours whose effect is not
	// known.
	unknownEffectWeight = 0.2
	// maxLoadDeviation bounds by how much one look can differ from the forecast of
	// a load: a disturbance that no neighbour explains must not spoil the fit.
	maxLoadDeviation = 0.25
)

// AddSample lets the model learn from one look at a worker. SinceEnd is how long
// ago a filling task ended there.
func (m *Model) AddSample(now Instant, serving []ServingTask, filling []BestEffortTask, sinceEnd time.Duration) {
	if sinceEnd < minSinceFinish {
		return
	}
	shares := make(map[string]float64, len(filling))
	for _, f := range filling {
		shares[f.Image] += f.CPUUsed
	}
	for i := range serving {
		if s := &serving[i]; s.Tail > 0 {
			m.addTailSample(now-tailLag, s, shares)
		}
	}
}

func (m *Model) addTailSample(t Instant, s *ServingTask, shares map[string]float64) {
	f := m.regression(s.Image)
	explained, known := f.explained(shares)
	load, sure := m.loads.valueAt(s.Step, t)
	// A saturated tail teaches only that the pressure is higher than expected.
	high := s.utilization() > saturatedUtilization
	if sure && len(shares) > 0 && (!high || load+explained < s.utilization()) {
		f.addSample(shares, s.utilization()-load)
	}
	own := s.utilization() - explained
	if sure {
		own = min(max(own, load-maxLoadDeviation), load+maxLoadDeviation)
	}
	weight := unknownEffectWeight
	if known && explained <= maxKnownInterference && !high {
		weight = 1
	}
	m.loads.add(s.Step, t, own, weight)
}

// explained returns the pressure of the filling images that use the shares, and
// whether all of them are known.
func (f *regression) explained(shares map[string]float64) (pressure float64, known bool) {
	known = true
	for image, used := range shares {
		pressure += f.effect(image) * used
		known = known && f.known(image)
	}
	return pressure, known
}

// IsHarmless reports whether the filling task at full speed is known not to
// matter to the serving image.
func (m *Model) IsHarmless(f BestEffortTask, serve string) bool {
	regression := m.regressions[serve]
	return regression != nil && regression.known(f.Image) && regression.effect(f.Image)*f.CPUShare <= harmlessInterference
}

// Interferes reports whether the filling task at full speed is known to put much
// pressure on the serving image.
func (m *Model) Interferes(f BestEffortTask, serve string) bool {
	regression := m.regressions[serve]
	return regression != nil && regression.effect(f.Image)*f.CPUShare > harmlessInterference
}

// Effect is what was learned of a pair of images.
type Effect struct {
	ServingImage, BestEffortImage string
	// Interference is that of the filling image on a whole worker.
	Interference float64
	// Known tells that the pair was seen often enough.
	Known bool
}

// Effects returns what was learned, in no order.
func (m *Model) Effects() []Effect {
	var out []Effect
	for serve, f := range m.regressions {
		for fill := range f.columnByImage {
			out = append(out, Effect{ServingImage: serve, BestEffortImage: fill, Interference: f.effect(fill), Known: f.known(fill)})
		}
	}
	return out
}

// Load is what was learned of the users' load.
type Load struct {
	Period          time.Duration
	Mean, Amplitude float64
	// Steps counts the steps whose load is followed.
	Steps int
}

// Load returns what all loads have in common.
func (m *Model) Load() Load {
	l := m.loads
	return Load{Period: periods[l.period], Mean: l.prior.mean, Amplitude: l.prior.c, Steps: len(l.byStep)}
}
