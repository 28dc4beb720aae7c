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
	// Cores is what it uses at full speed, and Used what it used last.
	Cores, Used float64
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
	// settled is how long the filling tasks of a worker must have been the same,
	// at the same pace, before a tail latency tells about them: it covers the
	// last half second.
	settled = 700 * time.Millisecond
	// nearTarget and calmTarget are the shares of the target at which a worker
	// slows filling tasks down, and lets them speed up again. The distance
	// between them damps.
	nearTarget = 0.95
	calmTarget = 0.6
	// allStop is how long a tail may be over its target before all filling
	// tasks stand still, whatever the model says: the platform bounds it to 4 s.
	allStop = 2 * time.Second
	// slowStep is by how much a harmful filling task speeds up in a calm look.
	slowStep = 15
	fullPace = 100
)

// Learn lets the model learn from one look at a worker. Unchanged is how long
// the filling tasks have been the same.
func (m *Model) Learn(serving []Serving, filling []Filling, unchanged time.Duration) {
	if unchanged < settled {
		return
	}
	cores := make(map[string]float64, len(filling))
	for _, f := range filling {
		cores[f.Image] += f.Used
	}
	for _, s := range serving {
		if s.Tail > 0 {
			m.fit(s.Image).observe(cores, float64(s.Tail)/float64(s.Target))
		}
	}
}

// Control returns the advice for each filling task of a worker.
func (m *Model) Control(serving []Serving, filling []Filling) []Advice {
	out := make([]Advice, len(filling))
	for i, f := range filling {
		out[i].Pace = m.faster(serving, f)
	}
	for _, s := range serving {
		ratio := float64(s.Tail) / float64(s.Target)
		if ratio <= nearTarget {
			continue
		}
		for _, i := range m.yielding(s, filling) {
			out[i] = m.slower(s, filling[i], out[i], ratio)
		}
	}
	return out
}

// faster returns the pace of a filling task if nothing speaks against it:
// full speed beside tasks that it is known not to disturb, otherwise faster
// only while their tails are far from the target.
func (m *Model) faster(serving []Serving, f Filling) int {
	step := fullPace
	for _, s := range serving {
		if m.Harmless(f.Image, s.Image, f.Cores) {
			continue
		}
		if float64(s.Tail) > calmTarget*float64(s.Target) {
			return f.Pace
		}
		if m.Harmful(f.Image, s.Image, f.Cores) {
			step = slowStep
		}
	}
	return min(fullPace, f.Pace+step)
}

// slower returns the advice for a filling task that is suspected to bring a
// tail near or over its target.
func (m *Model) slower(s Serving, f Filling, before Advice, ratio float64) Advice {
	if ratio <= 1 {
		return Advice{Pace: min(before.Pace, f.Pace/2), Move: before.Move}
	}
	return Advice{Move: before.Move || (f.Movable && m.Harmful(f.Image, s.Image, f.Cores))}
}

// yielding returns the indexes of the filling tasks that should make way for a
// serving task: those that are known to matter, or, if none is, those of which
// too little is known.
func (m *Model) yielding(s Serving, filling []Filling) []int {
	var matter, unknown, all []int
	for i, f := range filling {
		all = append(all, i)
		switch {
		case m.Harmless(f.Image, s.Image, f.Cores):
		case m.rise(f.Image, s.Image, f.Cores) > harmlessRise:
			matter = append(matter, i)
		default:
			unknown = append(unknown, i)
		}
	}
	switch {
	case s.OverFor >= allStop:
		return all
	case len(matter) > 0:
		return matter
	}
	return unknown
}

// StartPace returns the pace of a filling task that starts beside the serving
// tasks: slow if it is known to disturb one of them.
func (m *Model) StartPace(serving []Serving, f Filling) int {
	for _, s := range serving {
		if m.Harmful(f.Image, s.Image, f.Cores) {
			return slowStep
		}
	}
	return fullPace
}
