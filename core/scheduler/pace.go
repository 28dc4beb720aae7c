package scheduler

import (
	"strconv"
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/sharing"
)

// fullPace is the pace of a run in percent when it starts.
const fullPace = 100

// atWork is the percent of a long-running task that is at work; before, its
// tail latency tells nothing.
const atWork = 100

// pace lets the model of sharing learn from a worker's report and adjusts the
// filling runs.
func (m *Machine) pace(w *fleet.Worker, now fleet.Instant) {
	if !w.HasServing() {
		return
	}
	serving := m.servingOn(w, now)
	runs, filling := m.fillingOn(w)
	m.sharing.AddSample(now, serving, filling, now-w.BestEffortFinishedAt)
	for i, advice := range m.sharing.Adjustments(now, serving, filling) {
		r := runs[i]
		if advice.Move && !r.StopWanted {
			m.stop(w, r, "it disturbs a serving task", now)
		}
		if advice.SpeedPercent != r.Pace || !r.SpeedKnown {
			m.orderPace(w, r, advice.SpeedPercent, now)
		}
	}
}

func (m *Machine) servingOn(w *fleet.Worker, now fleet.Instant) []sharing.ServingTask {
	var out []sharing.ServingTask
	for _, r := range w.Attempts {
		if r.Step == nil || r.Step.Target == 0 {
			continue
		}
		s := servingOf(r)
		if r.Phase == fleet.AttemptStarted && r.Percent >= atWork {
			s.Tail = time.Duration(r.Observed) * time.Millisecond
		}
		r.OverTargetSince = since(r.OverTargetSince, s.Tail > s.Target, now)
		r.CloseToTargetSince = since(r.CloseToTargetSince, s.IsCloseToTarget(r.CloseToTargetSince > 0), now)
		if r.CloseToTargetSince > 0 {
			s.CloseFor = now - r.CloseToTargetSince
		}
		out = append(out, s)
	}
	return out
}

// since returns since when a condition has held.
func since(before fleet.Instant, holds bool, now fleet.Instant) fleet.Instant {
	switch {
	case !holds:
		return 0
	case before == 0:
		return now
	}
	return before
}

func (m *Machine) fillingOn(w *fleet.Worker) ([]*fleet.Run, []sharing.BestEffortTask) {
	var runs []*fleet.Run
	var out []sharing.BestEffortTask
	for _, r := range w.Attempts {
		if r.Step == nil || !r.Step.Fills || r.Phase != fleet.AttemptStarted {
			continue
		}
		f := fillingOf(w, r)
		if !r.SpeedKnown {
			f.SpeedPercent = fullPace
		}
		runs = append(runs, r)
		out = append(out, f)
	}
	return runs, out
}

func fillingOf(w *fleet.Worker, r *fleet.Run) sharing.BestEffortTask {
	f := fillingStep(w, r.Step)
	f.SpeedPercent, f.CPUUsed = r.Pace, float64(r.Observed)/float64(max(1, w.Capacity.CPUMilli))
	return f
}

func (m *Machine) orderPace(w *fleet.Worker, r *fleet.Run, percent int, now fleet.Instant) {
	if r.ThrottleSent || r.StopWanted {
		return
	}
	r.ThrottleSent = true
	m.Counters.Paced++
	m.note(Decision{What: "pace", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID, Reason: strconv.Itoa(percent) + "%"})
	m.orders = append(m.orders, &Order{
		Kind: OrderPace, Worker: w.ID, To: w.Endpoint(), Token: m.token, Issued: now,
		Task: r.ID, Run: r.Run, Percent: percent, life: w.Incarnation,
	})
}

// answeredPace takes note of a pace that is in force. One without an answer is
// ordered again with the next report.
func (m *Machine) answeredPace(w *fleet.Worker, a Answer) {
	r := w.Attempts[a.Order.Task]
	if r == nil || r.Run != a.Order.Run {
		return
	}
	r.ThrottleSent = false
	if a.Err != nil {
		r.SpeedKnown = false
		return
	}
	r.Pace, r.SpeedKnown = a.Order.Percent, true
}

// startPace slows a filling run down that has just started beside tasks that
// it is known to press.
func (m *Machine) startPace(w *fleet.Worker, r *fleet.Run, now fleet.Instant) {
	if !r.Step.Fills || !w.HasServing() {
		return
	}
	serving, filling := company(w, r)
	if pace := m.sharing.StartSpeedPercent(now, serving, append(filling, fillingOf(w, r))); pace < fullPace {
		m.orderPace(w, r, pace, now)
	}
}

// company lists the serving and filling tasks on a worker, one run left out.
func company(w *fleet.Worker, except *fleet.Run) (serving []sharing.ServingTask, filling []sharing.BestEffortTask) {
	for _, r := range w.Attempts {
		switch {
		case r.Step == nil || r == except || r.StopWanted:
		case r.Step.Target > 0:
			serving = append(serving, servingOf(r))
		case r.Step.Fills:
			filling = append(filling, fillingOf(w, r))
		}
	}
	return serving, filling
}

func servingOf(r *fleet.Run) sharing.ServingTask {
	return sharing.ServingTask{Image: r.Step.Image, Step: r.ID.StepID, Target: r.Step.Target}
}

func fillingStep(w *fleet.Worker, s *job.Step) sharing.BestEffortTask {
	return sharing.BestEffortTask{
		Image: s.Image, SpeedPercent: fullPace, Movable: s.SavesProgress,
		CPUShare: float64(s.Need.CPUMilli) / float64(max(1, w.Capacity.CPUMilli)),
	}
}

// room implements dispatch.Headroom for one worker in one round.
type room struct {
	*sharing.Headroom
	worker *fleet.Worker
	now    fleet.Instant
	// closed tells that no filling task may start on the worker.
	closed bool
}

func (m *Machine) room(w *fleet.Worker, now fleet.Instant) dispatch.Headroom {
	serving, filling := company(w, nil)
	return &room{worker: w, Headroom: m.sharing.Headroom(now, serving, filling), now: now, closed: overTarget(w)}
}

// Add implements dispatch.Headroom.
func (r *room) Add(id job.StepID, step *job.Step) {
	switch {
	case step.Target > 0:
		r.AddServing(r.now, &sharing.ServingTask{Image: step.Image, Step: id, Target: step.Target})
	case step.Fills:
		r.Headroom.Add(fillingStep(r.worker, step))
	}
}

// Speed implements dispatch.Headroom.
func (r *room) ExpectedSpeed(step *job.Step) float64 {
	if r.closed {
		return 0
	}
	return r.Headroom.ExpectedSpeed(fillingStep(r.worker, step))
}

// Pressure implements dispatch.Headroom.
func (r *room) Interference(step *job.Step) float64 {
	return r.Headroom.Interference(fillingStep(r.worker, step))
}

// overFor is how long a tail may be over its target before no more filling
// tasks start beside it: a load peak alone is often over for one look.
const overFor = 900 * time.Millisecond

// overTarget reports whether a serving task on the worker has been over its
// target for some time. More filling work would hide whether it gets better.
func overTarget(w *fleet.Worker) bool {
	for _, r := range w.Attempts {
		if r.OverTargetSince > 0 && w.LastContact-r.OverTargetSince >= overFor {
			return true
		}
	}
	return false
}

// disturbed reports whether a filling run on the worker is known to press the
// serving image.
func (m *Machine) disturbed(w *fleet.Worker, image string) bool {
	for _, r := range w.Attempts {
		if r.Step != nil && r.Step.Fills && m.sharing.Interferes(fillingStep(w, r.Step), image) {
			return true
		}
	}
	return false
}

// Effects returns what was learned of images that share workers.
func (m *Machine) Effects() []sharing.Effect { return m.sharing.Effects() }

// UsersLoad returns what was learned of the load of serving tasks.
func (m *Machine) UsersLoad() sharing.Load { return m.sharing.Load() }
