package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/fleet"
)

// Stragglers are attempts that make no progress or are too slow. Their workers look
// healthy in the registry and respond to heartbeats, so only the progress of their
// attempts reveals them.
const (
	// maxStandstill is how long an attempt may show no progress. Progress is
	// reported in whole percent, and reports arrive at least once per second.
	maxStandstill = 1500 * time.Millisecond
	// minSpeedSample is how long an attempt must have run, in addition to half of
	// its estimated duration, before its speed is judged.
	minSpeedSample = 900 * time.Millisecond
	// slowFactor is how many times longer the remaining time of a straggler must be
	// than that of a new attempt on another worker, which may be slow as well.
	slowFactor = 3.0
	// restartCost is the time that a stop, an append and a new start take.
	restartCost = 500 * time.Millisecond
	// suspicionTime is for how long a worker is the last resort after one of its attempts
	// was a straggler.
	suspicionTime = 3 * time.Second
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
		if r.SpeedPercent < minJudgedSpeedPercent || !r.SpeedKnown {
			r.ProgressChangedAt = now
			continue
		}
		if reason := stragglerReason(r, now); reason != "" {
			s.suspect(w, now)
			s.Counters.Moved++
			s.requestStop(w, r, reason, now)
		}
	}
}

// suspect makes a worker the last resort for new attempts for a while.
func (s *Scheduler) suspect(w *fleet.Worker, now fleet.Instant) {
	w.SuspectUntil = max(w.SuspectUntil, now+suspicionTime)
	s.suspectsUntil = max(s.suspectsUntil, w.SuspectUntil)
}

// hasSuspects reports whether a worker may be suspect.
func (s *Scheduler) hasSuspects(now fleet.Instant) bool { return now < s.suspectsUntil }

// stragglerReason returns why an attempt is a straggler, or the empty string.
func stragglerReason(r *fleet.Attempt, now fleet.Instant) string {
	elapsed := now - r.StartedAt
	if now-max(r.ProgressChangedAt, r.StartedAt) > maxStandstill+r.Step.Estimate/fullProgressPercent {
		return "it makes no progress"
	}
	if r.Step.Fills || elapsed < minSpeedSample+r.Step.Estimate/2 {
		// The speed of best-effort tasks depends on the capacity that other tasks
		// leave.
		return ""
	}
	remaining, ok := remainingByProgress(r, now)
	if !ok {
		return ""
	}
	restartTime := r.Step.Estimate
	if r.Step.SavesProgress {
		restartTime = restartTime * time.Duration(fullProgressPercent-r.ProgressPercent) / fullProgressPercent
	}
	if remaining > time.Duration(slowFactor*float64(restartTime))+restartCost {
		return "its progress is too slow"
	}
	return ""
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
// than expected is assumed to take as long again as it is late.
func remainingTime(w *fleet.Worker, r *fleet.Attempt, now fleet.Instant) (remaining time.Duration, ok bool) {
	switch {
	case r.StopWanted:
		return restartCost, true
	case r.Step == nil || r.Step.LongRunning:
		return 0, false
	}
	if remaining, ok := remainingByProgress(r, now); ok {
		return remaining, true
	}
	expected := time.Duration(float64(r.Step.Estimate) * max(1, w.Health.DurationRatio()))
	return (expected - (now - max(r.PlacedAt, r.StartedAt))).Abs(), true
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
