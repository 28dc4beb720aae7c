package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/fleet"
)

// Workers whose tasks stand still or crawl look sound by their registry entry
// and go on answering holds; only the progress of their runs shows them.
const (
	// standstill is how long a run may show no progress. Runs show their
	// progress in hundredths, and reports come at least once a second.
	standstill = 1500 * time.Millisecond
	// crawlAfter is how long a run is watched before its speed is judged.
	crawlAfter = 900 * time.Millisecond
	// crawlFactor is by how much the time that is left must exceed that of a new
	// run elsewhere, which may turn out slow as well.
	crawlFactor = 3.0
	// restartCost is what a stop, a record and a new start take.
	restartCost = 500 * time.Millisecond
	// slowPause keeps new runs away from a worker whose run stood still or
	// crawled.
	slowPause = 3 * time.Second
	// storeFresh is how old the store's last acknowledgement may be: without the
	// store a run that was stopped could not start again.
	storeFresh = 1500 * time.Millisecond
	// fullProgress is the progress of a finished run, in percent.
	fullProgress = 100
	// minJudgedPace is the pace below which progress tells about the pacing.
	minJudgedPace = 100
)

// stragglers stops runs on a worker that stand still or crawl, so that they
// start elsewhere.
func (m *Machine) stragglers(w *fleet.Worker, now fleet.Instant) {
	if now-m.storedAt > storeFresh {
		return
	}
	for _, r := range w.Attempts {
		if r.Step == nil || r.StopWanted || r.Phase != fleet.AttemptStarted || r.Step.LongRunning || r.Step.Gang {
			continue
		}
		if r.Pace < minJudgedPace || !r.SpeedKnown {
			r.ProgressChangedAt = now
			continue
		}
		if reason := straggles(r, now); reason != "" {
			w.AvoidUntil = max(w.AvoidUntil, now+slowPause)
			m.Counters.Moved++
			m.stop(w, r, reason, now)
		}
	}
}

// straggles returns why a run should start elsewhere, or the empty string.
func straggles(r *fleet.Run, now fleet.Instant) string {
	elapsed := now - r.StartedAt
	if now-max(r.ProgressChangedAt, r.StartedAt) > standstill+r.Step.Estimate/fullProgress {
		return "it stands still"
	}
	if r.Step.Fills || elapsed < crawlAfter+r.Step.Estimate/2 {
		// The speed of filling tasks depends on what others leave.
		return ""
	}
	done := r.Percent - r.FirstPercent
	if done <= 0 {
		return ""
	}
	left := time.Duration(float64(now-r.FirstProgressAt) * float64(fullProgress-r.Percent) / float64(done))
	again := r.Step.Estimate
	if r.Step.SavesProgress {
		again = again * time.Duration(fullProgress-r.Percent) / fullProgress
	}
	if left > time.Duration(crawlFactor*float64(again))+restartCost {
		return "it crawls"
	}
	return ""
}

// progress takes note of how far a run has come.
func progress(r *fleet.Run, percent int, now fleet.Instant) {
	if r.FirstProgressAt == 0 {
		r.FirstProgressAt, r.FirstPercent, r.ProgressChangedAt = now, percent, now
	}
	if percent != r.Percent {
		r.ProgressChangedAt = now
	}
	r.Percent = percent
}
