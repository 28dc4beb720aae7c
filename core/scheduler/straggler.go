package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/fleet"
)

// Workers whose tasks stand still or crawl look sound by their registry entry
// and go on answering holds; only the progress of their runs shows them.
const (
	// maxStandstill is how long a run may show no progress. Runs show their
	// progress in hundredths, and reports come at least once a second.
	maxStandstill = 1500 * time.Millisecond
	// minSpeedSample is how long a run is watched before its speed is judged.
	minSpeedSample = 900 * time.Millisecond
	// slowFactor is by how much the time that is left must exceed that of a new
	// run elsewhere, which may turn out slow as well.
	slowFactor = 3.0
	// restartCost is what a stop, a record and a new start take.
	restartCost = 500 * time.Millisecond
	// stragglerPause keeps new runs away from a worker whose run stood still or
	// crawled.
	stragglerPause = 3 * time.Second
	// maxStoreAckAge is how old the store's last acknowledgement may be: without the
	// store a run that was stopped could not start again.
	maxStoreAckAge = 1500 * time.Millisecond
	// fullProgressPercent is the progress of a finished run, in percent.
	fullProgressPercent = 100
	// minJudgedSpeedPercent is the pace below which progress tells about the pacing.
	minJudgedSpeedPercent = 100
)

// stopStragglers stops runs on a worker that stand still or crawl, so that they
// start elsewhere.
func (m *Scheduler) stopStragglers(w *fleet.Worker, now fleet.Instant) {
	if now-m.lastStoreAck > maxStoreAckAge {
		return
	}
	for _, r := range w.Attempts {
		if r.Step == nil || r.StopWanted || r.Phase != fleet.AttemptStarted || r.Step.LongRunning || r.Step.Gang {
			continue
		}
		if r.Pace < minJudgedSpeedPercent || !r.SpeedKnown {
			r.ProgressChangedAt = now
			continue
		}
		if reason := stragglerReason(r, now); reason != "" {
			w.AvoidUntil = max(w.AvoidUntil, now+stragglerPause)
			m.Counters.Moved++
			m.requestStop(w, r, reason, now)
		}
	}
}

// stragglerReason returns why a run should start elsewhere, or the empty string.
func stragglerReason(r *fleet.Run, now fleet.Instant) string {
	elapsed := now - r.StartedAt
	if now-max(r.ProgressChangedAt, r.StartedAt) > maxStandstill+r.Step.Estimate/fullProgressPercent {
		return "it stands still"
	}
	if r.Step.Fills || elapsed < minSpeedSample+r.Step.Estimate/2 {
		// The speed of filling tasks depends on what others leave.
		return ""
	}
	done := r.Percent - r.FirstPercent
	if done <= 0 {
		return ""
	}
	left := time.Duration(float64(now-r.FirstProgressAt) * float64(fullProgressPercent-r.Percent) / float64(done))
	again := r.Step.Estimate
	if r.Step.SavesProgress {
		again = again * time.Duration(fullProgressPercent-r.Percent) / fullProgressPercent
	}
	if left > time.Duration(slowFactor*float64(again))+restartCost {
		return "it crawls"
	}
	return ""
}

// recordProgress takes note of how far a run has come.
func recordProgress(r *fleet.Run, percent int, now fleet.Instant) {
	if r.FirstProgressAt == 0 {
		r.FirstProgressAt, r.FirstPercent, r.ProgressChangedAt = now, percent, now
	}
	if percent != r.Percent {
		r.ProgressChangedAt = now
	}
	r.Percent = percent
}
