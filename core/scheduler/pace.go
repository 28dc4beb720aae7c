package scheduler

import (
	"strconv"
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/sharing"
)

// fullSpeedPercent is the pace of a run in percent when it starts.
const fullSpeedPercent = 100

// readyPercent is the percent of a long-running task that is at work; before, its
// tail latency tells nothing.
const readyPercent = 100

// adjustSpeed lets the model of sharing learn from a worker's report and adjusts the
// filling runs.
func (m *Scheduler) adjustSpeed(w *fleet.Worker, now fleet.Instant) {
	if !w.HasServing() {
		return
	}
	serving := m.observeServing(w, now)
	runs, filling := m.startedBestEffort(w)
	m.sharing.AddSample(now, serving, filling, now-w.BestEffortFinishedAt)
	for i, advice := range m.sharing.Adjustments(now, serving, filling) {
		r := runs[i]
		if advice.Move && !r.StopWanted {
			m.requestStop(w, r, "it disturbs a serving task", now)
		}
		if advice.SpeedPercent != r.Pace || !r.SpeedKnown {
			m.setSpeed(w, r, advice.SpeedPercent, now)
		}
	}
}

func (m *Scheduler) observeServing(w *fleet.Worker, now fleet.Instant) []sharing.ServingTask {
	var out []sharing.ServingTask
	for _, r := range w.Attempts {
		if r.Step == nil || r.Step.Target == 0 {
			continue
		}
		s := servingTask(r)
		if r.Phase == fleet.AttemptStarted && r.Percent >= readyPercent {
			s.Tail = time.Duration(r.Observed) * time.Millisecond
		}
		r.OverTargetSince = conditionSince(r.OverTargetSince, s.Tail > s.Target, now)
		r.CloseToTargetSince = conditionSince(r.CloseToTargetSince, s.IsCloseToTarget(r.CloseToTargetSince > 0), now)
		if r.CloseToTargetSince > 0 {
			s.CloseFor = now - r.CloseToTargetSince
		}
		out = append(out, s)
	}
	return out
}

// conditionSince returns since when a condition has held.
func conditionSince(before fleet.Instant, holds bool, now fleet.Instant) fleet.Instant {
	switch {
	case !holds:
		return 0
	case before == 0:
		return now
	}
	return before
}

func (m *Scheduler) startedBestEffort(w *fleet.Worker) ([]*fleet.Run, []sharing.BestEffortTask) {
	var runs []*fleet.Run
	var out []sharing.BestEffortTask
	for _, r := range w.Attempts {
		if r.Step == nil || !r.Step.Fills || r.Phase != fleet.AttemptStarted {
			continue
		}
		f := bestEffortAttempt(w, r)
		if !r.SpeedKnown {
			f.SpeedPercent = fullSpeedPercent
		}
		runs = append(runs, r)
		out = append(out, f)
	}
	return runs, out
}

func bestEffortAttempt(w *fleet.Worker, r *fleet.Run) sharing.BestEffortTask {
	f := bestEffortTask(w, r.Step)
	f.SpeedPercent, f.CPUUsed = r.Pace, float64(r.Observed)/float64(max(1, w.Capacity.CPUMilli))
	return f
}

func (m *Scheduler) setSpeed(w *fleet.Worker, r *fleet.Run, percent int, now fleet.Instant) {
	if r.ThrottleSent || r.StopWanted {
		return
	}
	r.ThrottleSent = true
	m.Counters.Throttled++
	m.recordDecision(Decision{Action: "pace", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID, Reason: strconv.Itoa(percent) + "%"})
	m.commands = append(m.commands, &Command{
		Kind: CommandThrottle, Worker: w.ID, To: w.Endpoint(), Token: m.token, IssuedAt: now,
		Task: r.ID, Run: r.Run, Percent: percent, incarnation: w.Incarnation,
	})
}

// handleThrottleResult takes note of a pace that is in force. One without an answer is
// ordered again with the next report.
func (m *Scheduler) handleThrottleResult(w *fleet.Worker, a Result) {
	r := w.Attempts[a.Command.Task]
	if r == nil || r.Run != a.Command.Run {
		return
	}
	r.ThrottleSent = false
	if a.Err != nil {
		r.SpeedKnown = false
		return
	}
	r.Pace, r.SpeedKnown = a.Command.Percent, true
}

// setStartSpeed slows a filling run down that has just started beside tasks that
// it is known to press.
func (m *Scheduler) setStartSpeed(w *fleet.Worker, r *fleet.Run, now fleet.Instant) {
	if !r.Step.Fills || !w.HasServing() {
		return
	}
	serving, filling := tasksOn(w, r)
	if pace := m.sharing.StartSpeedPercent(now, serving, append(filling, bestEffortAttempt(w, r))); pace < fullSpeedPercent {
		m.setSpeed(w, r, pace, now)
	}
}

// tasksOn lists the serving and filling tasks on a worker, one run left out.
func tasksOn(w *fleet.Worker, except *fleet.Run) (serving []sharing.ServingTask, filling []sharing.BestEffortTask) {
	for _, r := range w.Attempts {
		switch {
		case r.Step == nil || r == except || r.StopWanted:
		case r.Step.Target > 0:
			serving = append(serving, servingTask(r))
		case r.Step.Fills:
			filling = append(filling, bestEffortAttempt(w, r))
		}
	}
	return serving, filling
}

func servingTask(r *fleet.Run) sharing.ServingTask {
	return sharing.ServingTask{Image: r.Step.Image, Step: r.ID.StepID, Target: r.Step.Target}
}

func bestEffortTask(w *fleet.Worker, s *job.Step) sharing.BestEffortTask {
	return sharing.BestEffortTask{
		Image: s.Image, SpeedPercent: fullSpeedPercent, Movable: s.SavesProgress,
		CPUShare: float64(s.Need.CPUMilli) / float64(max(1, w.Capacity.CPUMilli)),
	}
}

// workerHeadroom implements dispatch.Headroom for one worker in one round.
type workerHeadroom struct {
	*sharing.Headroom
	worker *fleet.Worker
	now    fleet.Instant
	// overTarget tells that no filling task may start on the worker.
	overTarget bool
}

func (m *Scheduler) workerHeadroom(w *fleet.Worker, now fleet.Instant) dispatch.Headroom {
	serving, filling := tasksOn(w, nil)
	return &workerHeadroom{worker: w, Headroom: m.sharing.Headroom(now, serving, filling), now: now, overTarget: isOverTarget(w)}
}

// Add implements dispatch.Headroom.
func (r *workerHeadroom) Add(id job.StepID, step *job.Step) {
	switch {
	case step.Target > 0:
		r.AddServing(r.now, &sharing.ServingTask{Image: step.Image, Step: id, Target: step.Target})
	case step.Fills:
		r.Headroom.Add(bestEffortTask(r.worker, step))
	}
}

// Speed implements dispatch.Headroom.
func (r *workerHeadroom) ExpectedSpeed(step *job.Step) float64 {
	if r.overTarget {
		return 0
	}
	return r.Headroom.ExpectedSpeed(bestEffortTask(r.worker, step))
}

// Pressure implements dispatch.Headroom.
func (r *workerHeadroom) Interference(step *job.Step) float64 {
	return r.Headroom.Interference(bestEffortTask(r.worker, step))
}

// maxOverTarget is how long a tail may be over its target before no more filling
// tasks start beside it: a load peak alone is often over for one look.
const maxOverTarget = 900 * time.Millisecond

// isOverTarget reports whether a serving task on the worker has been over its
// target for some time. More filling work would hide whether it gets better.
func isOverTarget(w *fleet.Worker) bool {
	for _, r := range w.Attempts {
		if r.OverTargetSince > 0 && w.LastContact-r.OverTargetSince >= maxOverTarget {
			return true
		}
	}
	return false
}

// hasInterferenceWith reports whether a filling run on the worker is known to press the
// serving image.
func (m *Scheduler) hasInterferenceWith(w *fleet.Worker, image string) bool {
	for _, r := range w.Attempts {
		if r.Step != nil && r.Step.Fills && m.sharing.Interferes(bestEffortTask(w, r.Step), image) {
			return true
		}
	}
	return false
}

// Effects returns what was learned of images that share workers.
func (m *Scheduler) Effects() []sharing.Effect { return m.sharing.Effects() }

// ServingLoad returns what was learned of the load of serving tasks.
func (m *Scheduler) ServingLoad() sharing.Load { return m.sharing.Load() }
