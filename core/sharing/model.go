package sharing

import "math"

// Model is what was learned of all serving images.
type Model struct{ fits map[string]*fit }

// NewModel returns a model that has seen nothing.
func NewModel() *Model { return &Model{fits: map[string]*fit{}} }

func (m *Model) fit(serve string) *fit {
	f := m.fits[serve]
	if f == nil {
		f = newFit()
		m.fits[serve] = f
	}
	return f
}

const (
	// harmless is the pressure of a filling task that does not count: it brings a
	// tail over its target in a small part of the time only, and slowing it down
	// then costs more than it gains (trials in docs/decisions.md).
	harmless = 0.07
	// margin is the share of the pressure at the target that may be used: the
	// load of a serving task moves between two looks.
	margin = 0.95
	// peak is how many standard deviations above the mean pressure a load peak
	// lies; the load swings like a wave, whose peak is 1.4 of them.
	peak = 1.4
)

// Harmless reports whether the filling task at full speed is known not to
// matter to the serving image.
func (m *Model) Harmless(f Filling, serve string) bool {
	fit := m.fits[serve]
	return fit != nil && fit.known(f.Image) && fit.effect(f.Image)*f.Cores <= harmless
}

// room is the pressure that filling tasks may add, so that a peak of the
// serving task's load still stays within the target.
func (f *fit) room() float64 { return f.limit()*margin - f.base() - peak*math.Sqrt(f.variance) }

// Speed returns the share of full speed, from 0 to 1, that a filling task can
// be expected to reach on a worker beside its serving and filling tasks.
func (m *Model) Speed(serving []Serving, filling []Filling, f Filling) float64 {
	speed := 1.0
	for _, s := range serving {
		fit := m.fits[s.Image]
		if fit == nil {
			continue
		}
		own := fit.effect(f.Image) * f.Cores
		if own <= harmless {
			continue
		}
		room := fit.room()
		for _, other := range filling {
			room -= fit.effect(other.Image) * other.Cores * float64(other.Pace) / fullPace
		}
		speed = min(speed, max(0, room)/own)
	}
	return speed
}

// Effect is what was learned of a pair of images.
type Effect struct {
	Serving, Filling string
	// Pressure is that of one core of the filling image.
	Pressure float64
	// Known tells that the pair was seen often enough.
	Known bool
}

// Effects returns what was learned, in no order, and the base of each serving
// image as an Effect without a filling image.
func (m *Model) Effects() []Effect {
	var out []Effect
	for serve, f := range m.fits {
		out = append(out, Effect{Serving: serve, Pressure: f.base(), Known: true})
		for fill := range f.index {
			out = append(out, Effect{Serving: serve, Filling: fill, Pressure: f.effect(fill), Known: f.known(fill)})
		}
	}
	return out
}
