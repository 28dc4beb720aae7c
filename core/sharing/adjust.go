package sharing

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/job"
)

const (
	// maxStoppedPerServingTask is how much best-effort work may be stopped for a
	// while to keep one serving task within its target, in best-effort tasks at
	// full speed. enforceTargetAfter and stopAllAfter bound the time over the
	// target in any case.
	maxStoppedPerServingTask = 0.5
	// enforceTargetAfter is how long a tail may be close to or over its target
	// before it is brought under the target regardless of how much best-effort
	// work that stops.
	enforceTargetAfter = 1500 * time.Millisecond
	// stopAllAfter is how long a tail may be close to or over its target before
	// all best-effort tasks are stopped, whatever the model says. The platform
	// limits the time over the target to 4 s.
	stopAllAfter = 2 * time.Second
	// minSpeedChangePercent is the smallest change of a speed limit that is worth
	// a command to the worker.
	minSpeedChangePercent = 10
	// moveBelowSpeed is the expected share of full speed below which a
	// best-effort task moves to another worker.
	moveBelowSpeed = 0.4
	// lookahead is how far ahead the user load is considered when a speed limit
	// is set: the next sample comes after 500 ms, and a command takes effect after
	// 100 ms.
	lookahead = 700 * time.Millisecond
	// relativeTailError is the relative error of a tail, which covers only half a
	// second. A utilization of u therefore has an error of
	// relativeTailError*(1-u).
	relativeTailError = 0.06
	// suspiciousInterference is the unexplained utilization above which colocated
	// images of unknown effect are suspected of interference.
	suspiciousInterference = 0.1
)

// Adjustments returns the adjustment of each best-effort task on a worker, in
// the order of bestEffort.
func (m *Model) Adjustments(now Instant, serving []ServingTask, bestEffort []BestEffortTask) []Adjustment {
	a := adjuster{
		model: m, now: now, bestEffort: bestEffort,
		speeds: make([]float64, len(bestEffort)), move: make([]bool, len(bestEffort)),
	}
	for i := range a.speeds {
		a.speeds[i] = 1
	}
	for _, group := range groupBySteps(serving) {
		a.limitForGroup(group.worst, group.tasks)
	}
	out := make([]Adjustment, len(bestEffort))
	for i, task := range bestEffort {
		out[i].SpeedPercent = dampSpeedPercent(task.SpeedPercent, int(a.speeds[i]*fullSpeedPercent))
		out[i].Move = a.move[i] && task.Movable
	}
	return out
}

// StartSpeedPercent returns the speed limit of the last task in bestEffort,
// which starts alongside the others.
func (m *Model) StartSpeedPercent(now Instant, serving []ServingTask, bestEffort []BestEffortTask) int {
	adjustments := m.Adjustments(now, serving, bestEffort)
	return adjustments[len(adjustments)-1].SpeedPercent
}

// servingGroup is the group of the serving tasks of one step and image on a
// worker.
type servingGroup struct {
	// worst is the task that has been close to its target longest; among equals,
	// the one with the highest tail.
	worst *ServingTask
	tasks int
}

// groupBySteps groups the serving tasks on a worker by step and image, the
// largest group first.
func groupBySteps(serving []ServingTask) []servingGroup {
	var out []servingGroup
	for i := range serving {
		s := &serving[i]
		index := slices.IndexFunc(out, func(g servingGroup) bool { return g.worst.Step == s.Step && g.worst.Image == s.Image })
		if index < 0 {
			out = append(out, servingGroup{worst: s, tasks: 1})
			continue
		}
		out[index].tasks++
		if current := out[index].worst; s.CloseFor > current.CloseFor || (s.CloseFor == current.CloseFor && s.Tail > current.Tail) {
			out[index].worst = s
		}
	}
	slices.SortStableFunc(out, func(a, b servingGroup) int { return cmp.Compare(b.tasks, a.tasks) })
	return out
}

// dampSpeedPercent returns the wanted speed limit, or the current one if the
// change is small. Stops and full speed are never held back.
func dampSpeedPercent(current, want int) int {
	if want == 0 || want == fullSpeedPercent {
		return want
	}
	if change := want - current; change > -minSpeedChangePercent && change < minSpeedChangePercent {
		return current
	}
	return want
}

// adjuster computes the adjustments on one worker.
type adjuster struct {
	model      *Model
	now        Instant
	bestEffort []BestEffortTask
	// speeds are the speed limits so far, as shares of full speed, and move is
	// true for the tasks that should run on another worker.
	speeds []float64
	move   []bool
}

// limitForGroup lowers the speeds to what one group of serving tasks
// tolerates.
func (a *adjuster) limitForGroup(worst *ServingTask, tasks int) {
	if worst.CloseFor >= stopAllAfter {
		clear(a.speeds)
	}
	regression := a.model.regression(worst.Image)
	unexplainedUtilization := 0.0
	if worst.Tail > 0 {
		unexplainedUtilization = a.unexplainedUtilization(worst, regression)
	}
	over := worst.Tail > worst.Target
	if unexplainedUtilization > suspiciousInterference && over {
		a.stopUnknown(regression)
	}
	peakLoad := a.model.peakLoad(worst.Step, a.now)
	headroom := utilizationAtTarget - peakLoad - relativeTailError*(1-peakLoad) - unexplainedUtilization
	if worst.Tail > 0 && worst.utilization() > saturatedUtilization {
		// The tail no longer shows how far the utilization is over the limit.
		headroom = 0
	}
	maxStopped := maxStoppedPerServingTask * float64(tasks)
	if worst.CloseFor >= enforceTargetAfter {
		maxStopped = float64(len(a.bestEffort))
	}
	a.reduceSpeeds(regression, headroom, maxStopped)
	if over {
		a.markSlowToMove(worst, regression)
	}
}

// unexplainedUtilization returns by how much the utilization that the tail
// shows exceeds what the user load and the best-effort tasks explain, less
// twice the error of a tail.
func (a *adjuster) unexplainedUtilization(s *ServingTask, regression *regression) float64 {
	t := a.now - tailLag
	expected := a.model.loads.forecast(s.Step, t)
	for _, task := range a.bestEffort {
		expected += regression.effect(task.Image) * task.CPUUsed
	}
	return max(0, s.utilization()-expected-2*relativeTailError*(1-expected))
}

// peakLoad returns the highest utilization by the user load until the next
// sample.
func (m *Model) peakLoad(id job.StepID, now Instant) float64 {
	return max(m.loads.forecast(id, now), m.loads.forecast(id, now+lookahead/2), m.loads.forecast(id, now+lookahead))
}

// stopUnknown stops the tasks whose effect is not known.
func (a *adjuster) stopUnknown(regression *regression) {
	for i, task := range a.bestEffort {
		if !regression.effectKnown(task.Image) {
			a.speeds[i] = 0
		}
	}
}

// reduceSpeeds lowers the speeds until the interference of all best-effort
// tasks fits into the headroom. It starts with the images of the largest
// effect, which costs the least work. It changes nothing if that would stop
// more than maxStopped tasks' worth of work.
func (a *adjuster) reduceSpeeds(regression *regression, headroom, maxStopped float64) {
	order := make([]int, 0, len(a.bestEffort))
	total := 0.0
	for i, task := range a.bestEffort {
		if interference := regression.effect(task.Image) * task.CPUShare * a.speeds[i]; interference > 0 {
			order = append(order, i)
			total += interference
		}
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(regression.effect(a.bestEffort[y].Image), regression.effect(a.bestEffort[x].Image))
	})
	speeds := slices.Clone(a.speeds)
	stopped := 0.0
	for _, i := range order {
		if total <= headroom || stopped > maxStopped {
			break
		}
		fullInterference := regression.effect(a.bestEffort[i].Image) * a.bestEffort[i].CPUShare
		cut := min(fullInterference*speeds[i], total-headroom)
		speeds[i] -= cut / fullInterference
		stopped += cut / fullInterference
		total -= cut
	}
	if stopped <= maxStopped {
		a.speeds = speeds
	}
}

// markSlowToMove marks the interfering tasks whose expected speed alongside a
// serving task that is over its target is low.
func (a *adjuster) markSlowToMove(s *ServingTask, regression *regression) {
	headroom := a.model.Headroom(a.now, []ServingTask{*s}, nil)
	for i, task := range a.bestEffort {
		if regression.effect(task.Image)*task.CPUShare > harmlessInterference && headroom.ExpectedSpeed(task) < moveBelowSpeed {
			a.move[i] = true
		}
	}
}
