package sharing

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/job"
)

const (
	// worthOfServing is how many filling tasks may stand still to keep one serving
	// task within its target for a while. The figure is from trials over fixed
	// seeds (docs/decisions.md); HARM bounds the time over it in any case.
	worthOfServing = 0.5
	// strictAfter is how long a tail may be near or over its target before it is
	// brought under it at any cost.
	strictAfter = 1500 * time.Millisecond
	// allStop is how long a tail may be near or over its target before all
	// filling tasks stand still, whatever the model says: the platform bounds
	// the time over it to 4 s.
	allStop = 2 * time.Second
	// paceStep is the smallest change of a pace that is worth an order.
	paceStep = 10
	// moveSpeed is the expected speed below which a filling task moves.
	moveSpeed = 0.4
	// ahead is how long a pace has to suit: the next look comes after half a
	// second, and an order takes effect after a tenth.
	ahead = 700 * time.Millisecond
	// roughness is the relative error of a tail: the figure is that of half a
	// second and is rough. A pressure of p is known to within its share of 1 - p.
	roughness = 0.06
	// surprise is the pressure that no known neighbour explains from which on
	// neighbours that are not known are suspects.
	surprise = 0.1
)

// Control returns the advice for each filling task of a worker.
func (m *Model) Control(now Instant, serving []Serving, filling []Filling) []Advice {
	c := control{model: m, now: now, filling: filling, paces: make([]float64, len(filling)), stop: make([]bool, len(filling))}
	for i := range c.paces {
		c.paces[i] = 1
	}
	for _, group := range bySteps(serving) {
		c.limitBeside(group.worst, group.tasks)
	}
	out := make([]Advice, len(filling))
	for i, f := range filling {
		out[i].Pace = damp(f.Pace, int(c.paces[i]*fullPace))
		out[i].Move = c.stop[i] && f.Movable
	}
	return out
}

// StartPace returns the pace of the last filling task, which is about to start
// beside the others.
func (m *Model) StartPace(now Instant, serving []Serving, filling []Filling) int {
	advice := m.Control(now, serving, filling)
	return advice[len(advice)-1].Pace
}

// stepOn is the serving tasks of one step on a worker.
type stepOn struct {
	// worst is the task that has been near its target longest, or else has the
	// highest tail.
	worst *Serving
	tasks int
}

// bySteps groups the serving tasks of a worker, the largest group first.
func bySteps(serving []Serving) []stepOn {
	var out []stepOn
	for i := range serving {
		s := &serving[i]
		at := slices.IndexFunc(out, func(g stepOn) bool { return g.worst.Step == s.Step && g.worst.Image == s.Image })
		if at < 0 {
			out = append(out, stepOn{worst: s, tasks: 1})
			continue
		}
		out[at].tasks++
		if w := out[at].worst; s.NearFor > w.NearFor || (s.NearFor == w.NearFor && s.Tail > w.Tail) {
			out[at].worst = s
		}
	}
	slices.SortStableFunc(out, func(a, b stepOn) int { return cmp.Compare(b.tasks, a.tasks) })
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

// control works out the paces on one worker.
type control struct {
	model   *Model
	now     Instant
	filling []Filling
	// paces are the shares of full speed so far, and stop tells which tasks had
	// better run elsewhere.
	paces []float64
	stop  []bool
}

// limitBeside lowers the paces to what the serving tasks of one step allow.
func (c *control) limitBeside(s *Serving, tasks int) {
	if s.NearFor >= allStop {
		clear(c.paces)
	}
	fit := c.model.fit(s.Image)
	unexplained := 0.0
	if s.Tail > 0 {
		unexplained = c.unexplained(s, fit)
	}
	over := s.Tail > s.Target
	if unexplained > surprise && over {
		c.suspectUnknown(fit)
	}
	peak := c.model.peak(s.Step, c.now)
	room := limit - peak - roughness*(1-peak) - unexplained
	if s.Tail > 0 && s.pressure() > saturated {
		// The tail no longer tells how far the pressure is over the limit.
		room = 0
	}
	most := worthOfServing * float64(tasks)
	if s.NearFor >= strictAfter {
		most = float64(len(c.filling))
	}
	c.share(fit, room, most)
	if over {
		c.moveSlow(s, fit)
	}
}

// unexplained returns the pressure that neither the load nor the filling tasks
// explain, less what is within the error of the load.
func (c *control) unexplained(s *Serving, fit *fit) float64 {
	t := c.now - tailLag
	expected := c.model.loads.forecast(s.Step, t)
	for _, f := range c.filling {
		expected += fit.effect(f.Image) * f.Used
	}
	return max(0, s.pressure()-expected-2*roughness*(1-expected))
}

// peak returns the highest pressure of the load until the next look.
func (m *Model) peak(id job.StepID, now Instant) float64 {
	return max(m.loads.forecast(id, now), m.loads.forecast(id, now+ahead/2), m.loads.forecast(id, now+ahead))
}

// suspectUnknown stops the tasks whose effect is not known.
func (c *control) suspectUnknown(fit *fit) {
	for i, f := range c.filling {
		if !fit.known(f.Image) {
			c.paces[i] = 0
		}
	}
}

// share lowers the paces until the pressure of all filling tasks fits into the
// room, first of those that press most, which costs the least work. If that
// would take the work of more than the given number of tasks, it changes none.
func (c *control) share(fit *fit, room, most float64) {
	order := make([]int, 0, len(c.filling))
	total := 0.0
	for i, f := range c.filling {
		if own := fit.effect(f.Image) * f.Share * c.paces[i]; own > 0 {
			order = append(order, i)
			total += own
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(fit.effect(c.filling[b].Image), fit.effect(c.filling[a].Image))
	})
	paces := slices.Clone(c.paces)
	lost := 0.0
	for _, i := range order {
		if total <= room || lost > most {
			break
		}
		full := fit.effect(c.filling[i].Image) * c.filling[i].Share
		cut := min(full*paces[i], total-room)
		paces[i] -= cut / full
		lost += cut / full
		total -= cut
	}
	if lost <= most {
		c.paces = paces
	}
}

// moveSlow marks the tasks that can expect little speed beside a serving task
// that is over its target.
func (c *control) moveSlow(s *Serving, fit *fit) {
	room := c.model.Room(c.now, []Serving{*s}, nil)
	for i, f := range c.filling {
		if fit.effect(f.Image)*f.Share > harmless && room.Speed(f) < moveSpeed {
			c.stop[i] = true
		}
	}
}
