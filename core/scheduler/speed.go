package scheduler

import (
	"strconv"
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/sharing"
)

// fullSpeedPercent is the speed limit of an attempt without throttling, in percent
// of full speed. Attempts start with it.
const fullSpeedPercent = 100

// readyPercent is the progress at which a long-running task has finished its
// startup. Its tail latency is meaningless before.
const readyPercent = 100

// adjustSpeed adds a worker's report to the sharing model and adjusts the speed
// limits of its best-effort attempts. It stops those that have to move.
func (s *Scheduler) adjustSpeed(w *fleet.Worker, now fleet.Instant) {
	if !w.HasServing() || !w.IsDescribed() {
		return
	}
	serving := s.observeServing(w, now)
	attempts, bestEffort := s.startedBestEffort(w)
	s.sharing.AddSample(now, serving, bestEffort, now-w.BestEffortFinishedAt)
	for i, adjustment := range s.sharing.Adjustments(now, serving, bestEffort) {
		r := attempts[i]
		if adjustment.Move && !r.StopWanted {
			s.requestStop(w, r, "it interferes with a serving task", now)
		}
		if adjustment.SpeedPercent != r.SpeedPercent || !r.SpeedKnown {
			s.setSpeed(w, r, adjustment.SpeedPercent, now)
		}
	}
}

// observeServing returns the serving tasks on a worker with their latest tail
// latencies, and records since when each has been over or close to its target.
func (s *Scheduler) observeServing(w *fleet.Worker, now fleet.Instant) []sharing.ServingTask {
	var out []sharing.ServingTask
	for _, r := range w.Attempts {
		if r.Step == nil || r.Step.Target == 0 {
			continue
		}
		task := servingTask(r)
		if r.Phase == fleet.AttemptStarted && r.ProgressPercent >= readyPercent {
			task.Tail = time.Duration(r.Observed) * time.Millisecond
		}
		r.OverTargetSince = conditionSince(r.OverTargetSince, task.Tail > task.Target, now)
		r.CloseToTargetSince = conditionSince(r.CloseToTargetSince, task.IsCloseToTarget(r.CloseToTargetSince > 0), now)
		if r.CloseToTargetSince > 0 {
			task.CloseFor = now - r.CloseToTargetSince
		}
		out = append(out, task)
	}
	return out
}

// conditionSince returns the time since which a condition has held; 0 if it does
// not hold. previous is the earlier result.
func conditionSince(previous fleet.Instant, holds bool, now fleet.Instant) fleet.Instant {
	switch {
	case !holds:
		return 0
	case previous == 0:
		return now
	}
	return previous
}

// startedBestEffort returns the started best-effort attempts on a worker. The two
// slices have the same order.
func (s *Scheduler) startedBestEffort(w *fleet.Worker) ([]*fleet.Attempt, []sharing.BestEffortTask) {
	var attempts []*fleet.Attempt
	var out []sharing.BestEffortTask
	for _, r := range w.Attempts {
		if r.Step == nil || !r.Step.Fills || r.Phase != fleet.AttemptStarted {
			continue
		}
		task := bestEffortAttempt(w, r)
		if !r.SpeedKnown {
			task.SpeedPercent = fullSpeedPercent
		}
		attempts = append(attempts, r)
		out = append(out, task)
	}
	return attempts, out
}

// bestEffortAttempt returns the best-effort task of an attempt, with its speed limit
// and the CPU use that the worker reported last.
func bestEffortAttempt(w *fleet.Worker, r *fleet.Attempt) sharing.BestEffortTask {
	task := bestEffortTask(w, r.Step)
	task.SpeedPercent, task.CPUUsed = r.SpeedPercent, float64(r.Observed)/float64(max(1, w.Capacity.CPUMilli))
	return task
}

// setSpeed issues a throttle command with the given speed limit, unless another
// one is in progress or the attempt is being stopped.
func (s *Scheduler) setSpeed(w *fleet.Worker, r *fleet.Attempt, percent int, now fleet.Instant) {
	if r.ThrottleSent || r.StopWanted {
		return
	}
	r.ThrottleSent = true
	s.Counters.Throttled++
	s.recordDecision(Decision{Action: "pace", Job: r.ID.Job, Task: r.ID.String(), Attempt: r.Attempt, Worker: w.ID, Reason: strconv.Itoa(percent) + "%"})
	s.commands = append(s.commands, &Command{
		Kind: CommandThrottle, Worker: w.ID, To: w.Endpoint(), Token: s.workerToken(w), IssuedAt: now,
		Task: r.ID, Attempt: r.Attempt, Percent: percent,
	})
}

// handleThrottleResult records a speed limit that the worker has applied. After a
// failure, the next report issues the command again.
func (s *Scheduler) handleThrottleResult(w *fleet.Worker, result Result) {
	r := w.Attempts[result.Command.Task]
	if r == nil || r.Attempt != result.Command.Attempt {
		return
	}
	r.ThrottleSent = false
	if result.Err != nil || !s.isCurrent(w, result.Command) {
		r.SpeedKnown = false
		return
	}
	r.SpeedPercent, r.SpeedKnown = result.Command.Percent, true
}

// setStartSpeed throttles a best-effort attempt that has just started alongside
// serving tasks that it is known to interfere with.
func (s *Scheduler) setStartSpeed(w *fleet.Worker, r *fleet.Attempt, now fleet.Instant) {
	if !r.Step.Fills || !w.HasServing() {
		return
	}
	serving, bestEffort := tasksOn(w, r)
	if percent := s.sharing.StartSpeedPercent(now, serving, append(bestEffort, bestEffortAttempt(w, r))); percent < fullSpeedPercent {
		s.setSpeed(w, r, percent, now)
	}
}

// tasksOn returns the serving and best-effort tasks on a worker, without those
// that are being stopped and without the given attempt.
func tasksOn(w *fleet.Worker, except *fleet.Attempt) (serving []sharing.ServingTask, bestEffort []sharing.BestEffortTask) {
	for _, r := range w.Attempts {
		switch {
		case r.Step == nil || r == except || r.StopWanted:
		case r.Step.Target > 0:
			serving = append(serving, servingTask(r))
		case r.Step.Fills:
			bestEffort = append(bestEffort, bestEffortAttempt(w, r))
		}
	}
	return serving, bestEffort
}

func servingTask(r *fleet.Attempt) sharing.ServingTask {
	return sharing.ServingTask{Image: r.Step.Image, Step: r.ID.StepID, Target: r.Step.Target}
}

// bestEffortTask returns a best-effort task of the step as it would run on the worker
// at full speed.
func bestEffortTask(w *fleet.Worker, step *job.Step) sharing.BestEffortTask {
	return sharing.BestEffortTask{
		Image: step.Image, SpeedPercent: fullSpeedPercent, Movable: step.SavesProgress,
		CPUShare: float64(step.Need.CPUMilli) / float64(max(1, w.Capacity.CPUMilli)),
	}
}

// workerHeadroom implements dispatch.Headroom for one worker in one planning round.
type workerHeadroom struct {
	*sharing.Headroom
	worker *fleet.Worker
	now    fleet.Instant
	// overTarget is true if a serving task has been over its target for some time.
	// Only best-effort tasks of starving jobs start on the worker then.
	overTarget bool
}

func (s *Scheduler) workerHeadroom(w *fleet.Worker, now fleet.Instant) dispatch.Headroom {
	serving, bestEffort := tasksOn(w, nil)
	return &workerHeadroom{worker: w, Headroom: s.sharing.Headroom(now, serving, bestEffort), now: now, overTarget: isOverTarget(w)}
}

// Add implements dispatch.Headroom.
func (h *workerHeadroom) Add(id job.StepID, step *job.Step) {
	switch {
	case step.Target > 0:
		h.AddServing(h.now, &sharing.ServingTask{Image: step.Image, Step: id, Target: step.Target})
	case step.Fills:
		h.Headroom.Add(bestEffortTask(h.worker, step))
	}
}

// ExpectedSpeed implements dispatch.Headroom.
func (h *workerHeadroom) ExpectedSpeed(step *job.Step) float64 {
	if h.overTarget {
		return 0
	}
	return h.Headroom.ExpectedSpeed(bestEffortTask(h.worker, step))
}

// Interference implements dispatch.Headroom.
func (h *workerHeadroom) Interference(step *job.Step) float64 {
	return h.Headroom.Interference(bestEffortTask(h.worker, step))
}

// maxOverTarget is how long a tail latency may be over its target before best-effort
// tasks, except those of starving jobs, no longer start on the worker. A load peak
// alone often exceeds the target for one sample.
const maxOverTarget = 900 * time.Millisecond

// isOverTarget reports whether a serving task on the worker has been over its
// target for some time. More best-effort work would hide whether it recovers.
func isOverTarget(w *fleet.Worker) bool {
	for _, r := range w.Attempts {
		if r.OverTargetSince > 0 && w.LastContact-r.OverTargetSince >= maxOverTarget {
			return true
		}
	}
	return false
}

// hasInterferenceWith reports whether a best-effort attempt on the worker is known
// to interfere with the serving image, that is, to raise its tail latency.
func (s *Scheduler) hasInterferenceWith(w *fleet.Worker, image string) bool {
	for _, r := range w.Attempts {
		if r.Step != nil && r.Step.Fills && s.sharing.Interferes(bestEffortTask(w, r.Step), image) {
			return true
		}
	}
	return false
}

// Effects returns the learned interference between pairs of images.
func (s *Scheduler) Effects() []sharing.Effect { return s.sharing.Effects() }

// ServingLoad returns the learned user load of serving tasks.
func (s *Scheduler) ServingLoad() sharing.Load { return s.sharing.Load() }
