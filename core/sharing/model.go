package sharing

import "time"

// Model is what was learned of the loads and of all pairs of images.
type Model struct {
	fits  map[string]*fit
	loads *loads
}

// NewModel returns a model that has seen nothing.
func NewModel() *Model { return &Model{fits: map[string]*fit{}, loads: newLoads()} }

func (m *Model) fit(serve string) *fit {
	f := m.fits[serve]
	if f == nil {
		f = newFit()
		m.fits[serve] = f
	}
	return f
}

const (
	// harmless is the pressure of a filling task that does not count when serving
	// tasks are placed.
	harmless = 0.07
	// settled is how long ago the last end of a filling task on a worker must be
	// before its tails tell about those that are left: a tail, like the use of a
	// filling task, covers the last half second.
	settled = 550 * time.Millisecond
	// tailLag is the age of the middle of that half second.
	tailLag = 250 * time.Millisecond
	// clean is the pressure of known neighbours up to which a look tells about
	// the load; above, their effect is not known well enough.
	clean = 0.1
	// unsureWeight is the weight of a look with neighbours whose effect is not
	// known.
	unsureWeight = 0.2
	// largestSurprise bounds by how much one look can differ from the forecast of
	// a load: a disturbance that no neighbour explains must not spoil the fit.
	largestSurprise = 0.25
)

// Learn lets the model learn from one look at a worker. SinceEnd is how long
// ago a filling task ended there.
func (m *Model) Learn(now Instant, serving []Serving, filling []Filling, sinceEnd time.Duration) {
	if sinceEnd < settled {
		return
	}
	shares := make(map[string]float64, len(filling))
	for _, f := range filling {
		shares[f.Image] += f.Used
	}
	for i := range serving {
		if s := &serving[i]; s.Tail > 0 {
			m.learnOne(now-tailLag, s, shares)
		}
	}
}

func (m *Model) learnOne(t Instant, s *Serving, shares map[string]float64) {
	f := m.fit(s.Image)
	explained, known := f.explained(shares)
	load, sure := m.loads.at(s.Step, t)
	// A saturated tail teaches only that the pressure is higher than expected.
	high := s.pressure() > saturated
	if sure && len(shares) > 0 && (!high || load+explained < s.pressure()) {
		f.observe(shares, s.pressure()-load)
	}
	own := s.pressure() - explained
	if sure {
		own = min(max(own, load-largestSurprise), load+largestSurprise)
	}
	weight := unsureWeight
	if known && explained <= clean && !high {
		weight = 1
	}
	m.loads.add(s.Step, t, own, weight)
}

// explained returns the pressure of the filling images that use the shares, and
// whether all of them are known.
func (f *fit) explained(shares map[string]float64) (pressure float64, known bool) {
	known = true
	for image, used := range shares {
		pressure += f.effect(image) * used
		known = known && f.known(image)
	}
	return pressure, known
}

// Harmless reports whether the filling task at full speed is known not to
// matter to the serving image.
func (m *Model) Harmless(f Filling, serve string) bool {
	fit := m.fits[serve]
	return fit != nil && fit.known(f.Image) && fit.effect(f.Image)*f.Share <= harmless
}

// Presses reports whether the filling task at full speed is known to put much
// pressure on the serving image.
func (m *Model) Presses(f Filling, serve string) bool {
	fit := m.fits[serve]
	return fit != nil && fit.effect(f.Image)*f.Share > harmless
}

// Effect is what was learned of a pair of images.
type Effect struct {
	Serving, Filling string
	// Pressure is that of the filling image on a whole worker.
	Pressure float64
	// Known tells that the pair was seen often enough.
	Known bool
}

// Effects returns what was learned, in no order.
func (m *Model) Effects() []Effect {
	var out []Effect
	for serve, f := range m.fits {
		for fill := range f.index {
			out = append(out, Effect{Serving: serve, Filling: fill, Pressure: f.effect(fill), Known: f.known(fill)})
		}
	}
	return out
}

// Load is what was learned of the users' load.
type Load struct {
	Period      time.Duration
	Mean, Swing float64
	// Steps counts the steps whose load is followed.
	Steps int
}

// Load returns what all loads have in common.
func (m *Model) Load() Load {
	l := m.loads
	return Load{Period: periods[l.period], Mean: l.usual.mean, Swing: l.usual.c, Steps: len(l.waves)}
}
