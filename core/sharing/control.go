package sharing

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/job"
)

const (
	// maxStoppedPerServingTask is how many filling tasks may stand still to keep one serving
	// task within its target for a while. The figure is from trials over fixed
	// seeds (docs/decisions.md); HARM bounds the time over it in any case.
	maxStoppedPerServingTask = 0.5
	// enforceTargetAfter is how long a tail may be near or over its target before it is
	// brought under it at any cost.
	enforceTargetAfter = 1500 * time.Millisecond
	// stopAllAfter is how long a tail may be near or over its target before all
	// filling tasks stand still, whatever the model says: the platform bounds
	// the time over it to 4 s.
	stopAllAfter = 2 * time.Second
	// minSpeedChangePercent is the smallest change of a pace that is worth an order.
	minSpeedChangePercent = 10
	// moveBelowSpeed is the expected speed below which a filling task moves.
	moveBelowSpeed = 0.4
	// lookahead is how long a pace has to suit: the next look comes after half a
	// second, and an order takes effect after a tenth.
	lookahead = 700 * time.Millisecond
	// relativeTailError is the relative error of a tail: the figure is that of half a
	// second and is rough. A pressure of p is known to within its share of 1 - p.
	relativeTailError = 0.06
	// suspiciousInterference is the pressure that no known neighbour explains from which on
	// neighbours that are not known are suspects.
	suspiciousInterference = 0.1
)

// Adjustments returns the advice for each filling task of a worker.
func (m *Model) Adjustments(now Instant, serving []ServingTask, filling []BestEffortTask) []Adjustment {
	c := adjuster{model: m, now: now, filling: filling, speeds: make([]float64, len(filling)), move: make([]bool, len(filling))}
	for i := range c.speeds {
		c.speeds[i] = 1
	}
	for _, group := range groupBySteps(serving) {
		c.limitForGroup(group.worst, group.tasks)
	}
	out := make([]Adjustment, len(filling))
	for i, f := range filling {
		out[i].SpeedPercent = dampSpeedPercent(f.SpeedPercent, int(c.speeds[i]*fullSpeedPercent))
		out[i].Move = c.move[i] && f.Movable
	}
	return out
}

// StartSpeedPercent returns the pace of the last filling task, which is about to start
// beside the others.
func (m *Model) StartSpeedPercent(now Instant, serving []ServingTask, filling []BestEffortTask) int {
	advice := m.Adjustments(now, serving, filling)
	return advice[len(advice)-1].SpeedPercent
}

// servingGroup is the serving tasks of one step on a worker.
type servingGroup struct {
	// worst is the task that has been near its target longest, or else has the
	// highest tail.
	worst *ServingTask
	tasks int
}

// groupBySteps groups the serving tasks of a worker, the largest group first.
func groupBySteps(serving []ServingTask) []servingGroup {
	var out []servingGroup
	for i := range serving {
		s := &serving[i]
		at := slices.IndexFunc(out, func(g servingGroup) bool { return g.worst.Step == s.Step && g.worst.Image == s.Image })
		if at < 0 {
			out = append(out, servingGroup{worst: s, tasks: 1})
			continue
		}
		out[at].tasks++
		if w := out[at].worst; s.CloseFor > w.CloseFor || (s.CloseFor == w.CloseFor && s.Tail > w.Tail) {
			out[at].worst = s
		}
	}
	slices.SortStableFunc(out, func(a, b servingGroup) int { return cmp.Compare(b.tasks, a.tasks) })
	return out
}

// dampSpeedPercent keeps a pace that would change little.
func dampSpeedPercent(now, want int) int {
	if want == 0 || want == fullSpeedPercent {
		return want
	}
	if change := want - now; change > -minSpeedChangePercent && change < minSpeedChangePercent {
		return now
	}
	return want
}

// adjuster works out the paces on one worker.
type adjuster struct {
	model   *Model
	now     Instant
	filling []BestEffortTask
	// speeds are the shares of full speed so far, and stop tells which tasks had
	// better run elsewhere.
	speeds []float64
	move   []bool
}

// limitForGroup lowers the paces to what the serving tasks of one step allow.
func (c *adjuster) limitForGroup(s *ServingTask, tasks int) {
	if s.CloseFor >= stopAllAfter {
		clear(c.speeds)
	}
	regression := c.model.regression(s.Image)
	unexplained := 0.0
	if s.Tail > 0 {
		unexplained = c.unexplained(s, regression)
	}
	over := s.Tail > s.Target
	if unexplained > suspiciousInterference && over {
		c.stopUnknown(regression)
	}
	peakLoad := c.model.peakLoad(s.Step, c.now)
	room := utilizationAtTarget - peakLoad - relativeTailError*(1-peakLoad) - unexplained
	if s.Tail > 0 && s.utilization() > saturatedUtilization {
		// The tail no longer tells how far the pressure is over the limit.
		room = 0
	}
	most := maxStoppedPerServingTask * float64(tasks)
	if s.CloseFor >= enforceTargetAfter {
		most = float64(len(c.filling))
	}
	c.reduceSpeeds(regression, room, most)
	if over {
		c.markSlowToMove(s, regression)
	}
}

// unexplained returns the pressure that neither the load nor the filling tasks
// explain, less what is within the error of the load.
func (c *adjuster) unexplained(s *ServingTask, regression *regression) float64 {
	t := c.now - tailLag
	expected := c.model.loads.forecast(s.Step, t)
	for _, f := range c.filling {
		expected += regression.effect(f.Image) * f.CPUUsed
	}
	return max(0, s.utilization()-expected-2*relativeTailError*(1-expected))
}

// peakLoad returns the highest pressure of the load until the next look.
func (m *Model) peakLoad(id job.StepID, now Instant) float64 {
	return max(m.loads.forecast(id, now), m.loads.forecast(id, now+lookahead/2), m.loads.forecast(id, now+lookahead))
}

// stopUnknown stops the tasks whose effect is not known.
func (c *adjuster) stopUnknown(regression *regression) {
	for i, f := range c.filling {
		if !regression.known(f.Image) {
			c.speeds[i] = 0
		}
	}
}

// reduceSpeeds lowers the paces until the pressure of all filling tasks fits into the
// room, first of those that press most, which costs the least work. If that
// would take the work of more than the given number of tasks, it changes none.
func (c *adjuster) reduceSpeeds(regression *regression, room, most float64) {
	order := make([]int, 0, len(c.filling))
	total := 0.0
	for i, f := range c.filling {
		if own := regression.effect(f.Image) * f.CPUShare * c.speeds[i]; own > 0 {
			order = append(order, i)
			total += own
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(regression.effect(c.filling[b].Image), regression.effect(c.filling[a].Image))
	})
	speeds := slices.Clone(c.speeds)
	lost := 0.0
	for _, i := range order {
		if total <= room || lost > most {
			break
		}
		full := regression.effect(c.filling[i].Image) * c.filling[i].CPUShare
		cut := min(full*speeds[i], total-room)
		speeds[i] -= cut / full
		lost += cut / full
		total -= cut
	}
	if lost <= most {
		c.speeds = speeds
	}
}

// markSlowToMove marks the tasks that can expect little speed beside a serving task
// that is over its target.
func (c *adjuster) markSlowToMove(s *ServingTask, regression *regression) {
	room := c.model.Headroom(c.now, []ServingTask{*s}, nil)
	for i, f := range c.filling {
		if regression.effect(f.Image)*f.CPUShare > harmlessInterference && room.ExpectedSpeed(f) < moveBelowSpeed {
			c.move[i] = true
		}
	}
}
