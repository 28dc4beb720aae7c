package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/duration"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/straggler"
)

// Stragglers are attempts that make no progress or are too slow. Their workers look
// healthy in the registry and respond to heartbeats, so only the progress of their
// attempts reveals them. Package straggler decides which attempts are given up.
const (
	// suspicionTime is for how long a worker is the last resort after one of its attempts
	// was given up.
	suspicionTime = 3 * time.Second
	// minPaceSample and minPacePercent are how long an attempt must have run, or how far it
	// must have come, for its pace to count for others. Progress is reported in whole
	// percent.
	minPaceSample  = 900 * time.Millisecond
	minPacePercent = 10
	// noticeablePacePart is the part of its duration by which the pace of an attempt must
	// change to count again.
	noticeablePacePart = 10
	// restartCost is the time that a stop, an append and a new start take.
	restartCost = straggler.RestartCost
	// minUnknownDuration is the least remaining time of an attempt of which nothing is known.
	minUnknownDuration = time.Second
	// maxStoreAckAge is how old the last acknowledgement of the store may be.
	// Without the store, an attempt that was stopped could not start again.
	maxStoreAckAge = 1500 * time.Millisecond
	// fullProgressPercent is the progress of a finished attempt.
	fullProgressPercent = 100
	// minJudgedSpeedPercent is the lowest speed limit at which progress is judged.
	// Below it, progress shows the effect of throttling.
	minJudgedSpeedPercent = 100
)

// stopStragglers stops the stragglers on a worker, so that their tasks start on
// other workers.
func (s *Scheduler) stopStragglers(w *fleet.Worker, now fleet.Instant) {
	if now-s.lastStoreAck > maxStoreAckAge {
		return
	}
	for _, r := range w.Attempts {
		if r.Step == nil || r.StopWanted || r.Phase != fleet.AttemptStarted || r.Step.LongRunning || r.Step.Gang {
			continue
		}
		if r.Step.Fills && (r.SpeedPercent < minJudgedSpeedPercent || !r.SpeedKnown) {
			r.ProgressChangedAt = now
			continue
		}
		s.observePace(w, r, now)
		run := paceOf(w, r, now)
		if !run.MayBeGivenUp() {
			continue
		}
		run.Predicted = s.expectedDuration(r)
		verdict := s.stragglers.Judge(run)
		if !verdict.GiveUp {
			continue
		}
		if s.stragglers.GiveUp(run, verdict) {
			s.suspect(w, now)
		}
		s.Counters.Moved++
		s.requestStop(w, r, verdict.Reason, now)
	}
}

// suspect makes a worker the last resort for new attempts for a while.
func (s *Scheduler) suspect(w *fleet.Worker, now fleet.Instant) {
	w.SuspectUntil = max(w.SuspectUntil, now+suspicionTime)
	s.suspectsUntil = max(s.suspectsUntil, w.SuspectUntil)
}

// hasSuspects reports whether a worker may be suspect.
func (s *Scheduler) hasSuspects(now fleet.Instant) bool { return now < s.suspectsUntil }

// paceOf describes an attempt by the progress that its worker has reported.
func paceOf(w *fleet.Worker, r *fleet.Attempt, now fleet.Instant) straggler.Run {
	run := straggler.Run{
		Task: r.ID, Worker: w.ID, Elapsed: now - r.StartedAt, Standstill: now - max(r.ProgressChangedAt, r.StartedAt),
		Redo: 1, VariableSpeed: r.Step.Fills, Inherited: r.Sends == 0,
	}
	if r.Step.SavesProgress {
		run.Redo = float64(fullProgressPercent-r.ProgressPercent) / fullProgressPercent
	}
	run.Duration = durationByProgress(r)
	run.Remaining, _ = remainingByProgress(r, now)
	return run
}

// durationByProgress returns how long the whole task takes at the pace of an attempt; 0 if it
// has made no progress since its first report.
func durationByProgress(r *fleet.Attempt) time.Duration {
	done := r.ProgressPercent - r.FirstProgressPercent
	if done <= 0 {
		return 0
	}
	return (r.ProgressChangedAt - r.FirstProgressAt) * fullProgressPercent / time.Duration(done)
}

// expectedDuration returns how long the task of an attempt is expected to take, without what
// the attempt itself has shown; 0 if nothing is known.
func (s *Scheduler) expectedDuration(r *fleet.Attempt) time.Duration {
	e := s.ledger.Entry(r.ID.Job)
	if e == nil {
		return r.Step.Estimate
	}
	return s.durations.Expect(e.Job.Queue.Route, duration.StepKey{Job: r.ID.Job, Step: r.ID.Step}, r.Step.Estimate)
}

// durationElsewhere returns how long the task of an attempt takes on other workers, or how long
// those of its queue do; 0 while only the client's estimate tells.
func (s *Scheduler) durationElsewhere(w *fleet.Worker, r *fleet.Attempt) time.Duration {
	if mean, workers := s.stragglers.Elsewhere(r.ID.StepID, w.ID); workers > 0 {
		return mean
	}
	e := s.ledger.Entry(r.ID.Job)
	if e == nil {
		return 0
	}
	return s.durations.Learned(e.Job.Queue.Route, r.Step.Estimate)
}

// observePace lets the pace of an attempt show how long the tasks of its step take. It does so
// again when the pace has changed noticeably.
func (s *Scheduler) observePace(w *fleet.Worker, r *fleet.Attempt, now fleet.Instant) {
	if r.Step.Fills || r.Sends == 0 || r.ProgressChangedAt != now ||
		r.ProgressPercent-r.FirstProgressPercent < minPacePercent && now-r.FirstProgressAt < minPaceSample {
		return
	}
	if took := durationByProgress(r); (took - r.ShownDuration).Abs() > r.ShownDuration/noticeablePacePart {
		r.ShownDuration = took
		s.stragglers.Observe(r.ID.StepID, w.ID, took)
	}
}

// observeEnd lets an attempt that is done show how long the tasks of its step take.
func (s *Scheduler) observeEnd(w *fleet.Worker, r *fleet.Attempt, now fleet.Instant) {
	if !r.Step.Fills && !r.Step.LongRunning && measuresDuration(r) {
		s.stragglers.Observe(r.ID.StepID, w.ID, now-r.StartedAt)
	}
}

// forgetStragglers drops what is known about the attempts of a closed job.
func (s *Scheduler) forgetStragglers(j *job.Job) {
	for k := range j.Occurrences() {
		for i := range j.Steps {
			s.stragglers.Forget(job.StepID{Job: j.ID, Occurrence: k, Step: i})
		}
	}
}

// remainingByProgress estimates how long an attempt still takes from how fast it has made
// progress. It is not ok if the attempt has made none since its first report.
func remainingByProgress(r *fleet.Attempt, now fleet.Instant) (remaining time.Duration, ok bool) {
	done := r.ProgressPercent - r.FirstProgressPercent
	if done <= 0 {
		return 0, false
	}
	return time.Duration(float64(now-r.FirstProgressAt) * float64(fullProgressPercent-r.ProgressPercent) / float64(done)), true
}

// remainingTime estimates how long an attempt will keep its capacity. It is not ok for an
// attempt that does not end by itself. Without progress, an attempt that has taken longer
// than expected is assumed to take as long again as it is late. expected is 0 if nothing is
// known: the attempt is then assumed to take as long again as it has run.
func remainingTime(w *fleet.Worker, r *fleet.Attempt, expected time.Duration, now fleet.Instant) (remaining time.Duration, ok bool) {
	switch {
	case r.StopWanted:
		return restartCost, true
	case r.Step == nil || r.Step.LongRunning:
		return 0, false
	}
	if remaining, ok := remainingByProgress(r, now); ok {
		return remaining, true
	}
	elapsed := now - max(r.PlacedAt, r.StartedAt)
	if expected <= 0 {
		return max(elapsed, minUnknownDuration), true
	}
	return (time.Duration(float64(expected)*max(1, w.Health.DurationRatio())) - elapsed).Abs(), true
}

// recordProgress records the progress of an attempt and when it last changed.
func recordProgress(r *fleet.Attempt, percent int, now fleet.Instant) {
	if r.FirstProgressAt == 0 {
		r.FirstProgressAt, r.FirstProgressPercent, r.ProgressChangedAt = now, percent, now
	}
	if percent != r.ProgressPercent {
		r.ProgressChangedAt = now
	}
	r.ProgressPercent = percent
}
