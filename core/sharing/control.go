package sharing

import (
	"math"
	"time"
)

// Serving is a serving task on a worker with its newest tail latency.
type Serving struct {
	Image string
	// Tail is the tail latency; 0 if it is not known.
	Tail, Target time.Duration
	// NearFor is how long the tail has been near or over the target.
	NearFor time.Duration
}

// Near reports whether the tail is near or over its target. The figure is
// rough, so one that was near must fall further than one that was not has to
// rise: a tail just over its target would else count as under it by turns.
func (s *Serving) Near(before bool) bool {
	if before {
		return s.ratio() > stillNear
	}
	return s.ratio() > nearTarget
}

// ratio returns the tail in multiples of the target.
func (s *Serving) ratio() float64 { return float64(s.Tail) / float64(s.Target) }

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
	fullPace = 100
	// settled is how long ago the last end of a filling task on a worker must be
	// before its tails tell about those that are left: a tail, like the use of a
	// filling task, covers the last half second.
	settled = 550 * time.Millisecond
	// allStop is how long a tail may be near or over its target before all
	// filling tasks stand still, whatever the model says: the platform bounds
	// the time over it to 4 s.
	allStop = 2 * time.Second
	// nearTarget and stillNear are the shares of the target from which on a tail
	// counts as near, and below which it no longer does.
	nearTarget = 0.95
	stillNear  = 0.8
	// saturated is the share of the way from the pressure at the target to 1
	// from which on the tail no longer tells how far the pressure is over.
	saturated = 0.6
	// speedUp is the share of the room that a look lets filling tasks take; the
	// rest damps.
	speedUp = 0.6
	// paceStep is the smallest change of a pace that is worth an order.
	paceStep = 10
	// moveSpeed is the expected speed below which a filling task moves.
	moveSpeed = 0.4
)

// Learn lets the model learn from one look at a worker. SinceEnd is how long
// ago a filling task ended there.
func (m *Model) Learn(serving []Serving, filling []Filling, sinceEnd time.Duration) {
	if sinceEnd < settled {
		return
	}
	cores := make(map[string]float64, len(filling))
	for _, f := range filling {
		cores[f.Image] += f.Used
	}
	for _, s := range serving {
		if s.Tail > 0 {
			m.fit(s.Image).observe(cores, s.ratio())
		}
	}
}

// Control returns the advice for each filling task of a worker.
func (m *Model) Control(serving []Serving, filling []Filling) []Advice {
	out := make([]Advice, len(filling))
	for i := range out {
		out[i].Pace = fullPace
	}
	for _, s := range serving {
		if s.Tail > 0 {
			m.limitBeside(s, filling, out)
		}
	}
	for i, f := range filling {
		out[i].Pace = damp(f.Pace, out[i].Pace)
	}
	return out
}

// damp keeps a pace that would change little.
func damp(now, want int) int {
	if want == 0 || want == fullPace {
		return want
	}
	if change := want - now; change > -paceStep && change < paceStep {
		return now
	}
	return want
}

// limitBeside lowers the paces in out to what one serving task allows.
func (m *Model) limitBeside(s Serving, filling []Filling, out []Advice) {
	fit := m.fit(s.Image)
	if s.NearFor >= allStop {
		for i := range out {
			out[i].Pace = 0
		}
	}
	look := fit.look(s.ratio(), filling)
	for i, f := range filling {
		out[i] = look.limit(f, out[i])
	}
}

// look is what one tail says about the pressure on a serving task.
type look struct {
	fit *fit
	// room is the pressure that is left; negative if the tail is near or over
	// the target.
	room float64
	// explained is the part of the pressure that known filling tasks put on.
	explained float64
	// unexplained tells that neither they nor a load peak explain the tail.
	unexplained bool
	// stuck tells that the tail is so high that it no longer tells how far the
	// pressure is over.
	stuck bool
	over  bool
}

func (f *fit) look(tail float64, filling []Filling) look {
	l := look{fit: f, over: tail > 1}
	for _, other := range filling {
		l.explained += f.effect(other.Image) * other.Used
	}
	pressure := f.pressure(tail)
	l.room = f.limit()*margin - pressure
	l.unexplained = pressure > f.base()+peak*math.Sqrt(f.variance)+l.explained
	l.stuck = pressure > f.limit()+saturated*(1-f.limit())
	return l
}

// limit lowers the advice for one filling task to what the look allows.
func (l look) limit(f Filling, before Advice) Advice {
	own := l.fit.effect(f.Image) * f.Cores
	if own <= harmless {
		if l.over && l.unexplained && !l.fit.known(f.Image) {
			before.Pace = 0
		}
		return before
	}
	before.Pace = min(before.Pace, l.pace(f, own))
	before.Move = before.Move || (f.Movable && l.over && l.fit.room()/own < moveSpeed)
	return before
}

// pace returns the pace at which a filling task with a known effect leaves no
// more than the room.
func (l look) pace(f Filling, own float64) int {
	if l.room >= 0 {
		return f.Pace + int(speedUp*l.room/own*fullPace)
	}
	if l.stuck || l.explained == 0 {
		return 0
	}
	return max(0, int((1+l.room/l.explained)*float64(f.Pace)))
}

// minStartPace is the slowest pace at which a filling task starts.
const minStartPace = 10

// StartPace returns the pace of a filling task that starts beside the serving
// and filling tasks.
func (m *Model) StartPace(serving []Serving, filling []Filling, f Filling) int {
	return max(minStartPace, int(fullPace*m.Speed(serving, filling, f)))
}
