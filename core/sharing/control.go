package sharing

import "time"

// Serving is a serving task on a worker with its newest tail latency.
type Serving struct {
	Image string
	// Tail is the tail latency; 0 if it is not known.
	Tail, Target time.Duration
	// OverFor is how long the tail has been over the target.
	OverFor time.Duration
}

// Filling is a filling task on a worker.
type Filling struct {
	Image string
	// Pace is its share of full speed in percent.
	Pace int
	// AtWork is how long it has been at work at this pace.
	AtWork time.Duration
	// Movable tells that it can be stopped without losing work.
	Movable bool
}

// Advice is what to do with a filling task.
type Advice struct {
	// Pace is the pace it should have.
	Pace int
	// Move tells that it should be stopped and started on another worker.
	Move bool
}

const (
	// settled is how long a filling task must have been at work at its pace
	// before a tail latency, which covers the last half second, tells about it.
	settled = 700 * time.Millisecond
	// nearTarget and calmTarget are the shares of the target at which a worker
	// slows filling tasks down, and lets them speed up again. The distance
	// between them damps.
	nearTarget = 0.9
	calmTarget = 0.6
	// allStop is how long a tail may be over its target before all filling
	// tasks stand still, whatever the model says: the platform bounds it to 4 s.
	allStop = 2 * time.Second
	// paceStep is by how much a filling task speeds up in each calm look.
	paceStep = 25
	fullPace = 100
)

// Learn lets the model learn from one look at a worker.
func (m *Model) Learn(serving []Serving, filling []Filling) {
	var fills []string
	for _, f := range filling {
		if f.Pace > 0 && f.AtWork >= settled {
			fills = append(fills, f.Image)
		} else if f.Pace > 0 {
			// The tail may be the newcomer's doing, so it shows nothing of
			// the others.
			return
		}
	}
	if len(fills) == 0 {
		return
	}
	for _, s := range serving {
		if s.Tail > 0 {
			m.Observe(s.Image, fills, s.Tail > s.Target)
		}
	}
}

// Control returns the advice for each filling task of a worker.
func (m *Model) Control(serving []Serving, filling []Filling) []Advice {
	images := make([]string, len(filling))
	out := make([]Advice, len(filling))
	calm := true
	for i, f := range filling {
		images[i] = f.Image
		out[i].Pace = f.Pace
	}
	for _, s := range serving {
		ratio := float64(s.Tail) / float64(s.Target)
		if ratio > calmTarget {
			calm = false
		}
		if ratio <= nearTarget {
			continue
		}
		for _, i := range m.yielding(s, images) {
			out[i].Pace = 0
			out[i].Move = filling[i].Movable && m.Harmful(images[i], s.Image)
		}
	}
	if calm {
		for i, f := range filling {
			out[i].Pace = min(fullPace, f.Pace+paceStep)
		}
	}
	return out
}

func (m *Model) yielding(s Serving, images []string) []int {
	if s.OverFor < allStop {
		return m.Suspects(s.Image, images)
	}
	all := make([]int, len(images))
	for i := range all {
		all[i] = i
	}
	return all
}

// Conflicts reports whether the filling image is known to disturb one of the
// serving images.
func (m *Model) Conflicts(fill string, serving func(yield func(image string) bool)) bool {
	for image := range serving {
		if m.Harmful(fill, image) {
			return true
		}
	}
	return false
}
