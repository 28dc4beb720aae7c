package sharing

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

// rise returns by how much a filling task lifts the tail of a serving image if
// it uses the given cores, in multiples of the target.
func (m *Model) rise(fill, serve string, cores float64) float64 {
	f := m.fits[serve]
	if f == nil {
		return 0
	}
	return f.effect(fill) * cores
}

const (
	// harmfulRise and harmlessRise are the shares of the target by which a task
	// at full speed lifts a tail. Harmful tasks lift it to a multiple of the
	// target, harmless ones by less than a tenth.
	harmfulRise  = 0.5
	harmlessRise = 0.1
)

// Harmful reports whether the filling task at full speed is known to bring the
// serving image over its target.
func (m *Model) Harmful(fill, serve string, cores float64) bool {
	return m.rise(fill, serve, cores) >= harmfulRise
}

// Harmless reports whether the filling task at full speed is known not to
// matter to the serving image.
func (m *Model) Harmless(fill, serve string, cores float64) bool {
	f := m.fits[serve]
	return f != nil && f.known(fill) && f.effect(fill)*cores <= harmlessRise
}

const (
	// riseBudget is the share of the target by which all filling tasks of a
	// worker together may lift the mean tail of a serving task. The load of
	// serving tasks swings by half of its mean, which doubles tails.
	riseBudget = 0.2
	// noRise is the share below which a task does not count.
	noRise = 0.02
)

// Fits reports whether a filling task can run at full speed on a worker beside
// its serving and filling tasks.
func (m *Model) Fits(serving []Serving, filling []Filling, image string, cores float64) bool {
	for _, s := range serving {
		f := m.fits[s.Image]
		if f == nil {
			continue
		}
		rise := f.effect(image) * cores
		if rise <= noRise {
			continue
		}
		for _, other := range filling {
			rise += f.effect(other.Image) * other.Cores * float64(other.Pace) / fullPace
		}
		if rise > riseBudget {
			return false
		}
	}
	return true
}
