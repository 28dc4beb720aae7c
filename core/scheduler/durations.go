package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/duration"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// prediction holds what is predicted for a job, because planning rounds are frequent.
type prediction struct {
	// generation is that of the queue's prediction; see duration.Predictor.Generation.
	generation int
	// durations are those of a task of each step, path is that of the critical path, and
	// work is the CPU time of one occurrence in core-seconds.
	durations []time.Duration
	path      time.Duration
	work      float64
}

// predictionOf returns the prediction for a job.
func (s *Scheduler) predictionOf(j *job.Job) *prediction {
	generation := s.durations.Generation(j.Queue.Route)
	if p := s.predictions[j.ID]; p != nil && p.generation == generation {
		return p
	}
	p := &prediction{generation: generation, durations: make([]time.Duration, len(j.Steps))}
	for i, step := range j.Steps {
		p.durations[i] = s.durations.Predict(j.Queue.Route, duration.StepKey{Job: j.ID, Step: i}, step.Estimate)
		p.work += p.taskWork(j, i) * float64(step.Count)
	}
	p.path = j.CriticalPathOf(func(step int) time.Duration { return p.durations[step] })
	s.predictions[j.ID] = p
	return p
}

// predictedDuration returns how long the task of an attempt takes; 0 if nothing is known.
func (s *Scheduler) predictedDuration(r *fleet.Attempt) time.Duration {
	if e := s.ledger.Entry(r.ID.Job); e != nil && r.ID.Step < len(e.Job.Steps) {
		return s.predictionOf(e.Job).durations[r.ID.Step]
	}
	if r.Step != nil {
		return r.Step.Estimate
	}
	return 0
}

// taskWork returns the CPU time of one task of the step, in core-seconds.
func (p *prediction) taskWork(j *job.Job, step int) float64 {
	return p.durations[step].Seconds() * float64(j.Steps[step].Need.CPUMilli) / milliPerCore
}

// measuresDuration reports whether the time since the start of an attempt shows how long
// its task takes: another owner's attempt began earlier, and a later attempt may have
// resumed from a checkpoint.
func measuresDuration(r *fleet.Attempt) bool {
	return r.Step != nil && r.Attempt == 1 && r.Sends > 0 && r.Phase == fleet.AttemptStarted
}

// observeUse adds the CPU use of a running best-effort attempt, which shows its speed.
func observeUse(r *fleet.Attempt, running platform.Running) {
	if r.Step != nil && r.Step.Fills && running.Observed > 0 {
		r.UsedCPUSum += float64(running.Observed)
		r.UsedCPUCount++
	}
}

// speedOf returns the share of full speed at which an attempt has run so far.
func (s *Scheduler) speedOf(w *fleet.Worker, r *fleet.Attempt) float64 {
	switch {
	case !r.Step.Fills:
		return 1
	case r.UsedCPUCount == 0:
		return 1 / max(1, s.throughput.slowdown(dispatch.Pool{Service: w.Service, BestEffort: true}))
	}
	used := r.UsedCPUSum / float64(r.UsedCPUCount)
	return min(1, max(minMeasuredSpeed, used/float64(max(1, r.Step.Need.CPUMilli))))
}

// minMeasuredSpeed is the lowest speed that is believed: the reported CPU use is a rough
// figure of half a second.
const minMeasuredSpeed = 0.1

// nominalTime returns how long the attempt would have taken at full speed for what it has
// done until now.
func (s *Scheduler) nominalTime(w *fleet.Worker, r *fleet.Attempt, now fleet.Instant) time.Duration {
	return time.Duration(float64(now-r.StartedAt) * s.speedOf(w, r))
}

// observeProgress lets the duration of a step follow the progress of its running tasks.
func (s *Scheduler) observeProgress(w *fleet.Worker, r *fleet.Attempt) {
	if !measuresDuration(r) || r.Step.LongRunning {
		return
	}
	took := s.nominalTime(w, r, r.ProgressChangedAt)
	if s.durations.RecordProgress(duration.StepKey{Job: r.ID.Job, Step: r.ID.Step}, r.ProgressPercent, took) {
		delete(s.predictions, r.ID.Job)
	}
}

// observeDone lets the durations of a step and of its queue follow a task that is done.
func (s *Scheduler) observeDone(w *fleet.Worker, r *fleet.Attempt, now fleet.Instant) {
	e := s.ledger.Entry(r.ID.Job)
	if e == nil || e.IsClosed() || !measuresDuration(r) {
		return
	}
	key := duration.StepKey{Job: r.ID.Job, Step: r.ID.Step}
	s.durations.RecordDone(e.Job.Queue.Route, key, r.Step.Estimate, s.nominalTime(w, r, now))
	delete(s.predictions, r.ID.Job)
}

// forgetDurations drops what is known about the durations of a closed job.
func (s *Scheduler) forgetDurations(j *job.Job) {
	s.durations.Forget(j.ID, len(j.Steps))
	delete(s.predictions, j.ID)
}
