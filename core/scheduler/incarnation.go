package scheduler

import (
	"fmt"

	"github.com/basilferry/basilferry/core/fleet"
)

// A worker can restart under its ID at any time, and only heartbeat responses and
// registry entries name the incarnation that they come from. Any other answer is
// from the current incarnation only if heartbeat responses of that incarnation
// enclose the command. The owner therefore treats an attempt as running on an
// incarnation only once that incarnation has listed it.

// observeIncarnation applies the incarnation that a heartbeat response names. It
// returns false if the response is from an incarnation that has ended.
func (s *Scheduler) observeIncarnation(w *fleet.Worker, result Result, now fleet.Instant) bool {
	id := result.Report.StartedUnixMS
	if w.HasEnded(id) {
		s.recordDecision(Decision{
			Action: "ignore heartbeat response", Worker: w.ID, Age: now - result.Command.IssuedAt,
			Reason: fmt.Sprintf("incarnation %d has ended", id),
		})
		return false
	}
	if w.HeartbeatAnswered && id != w.IncarnationID {
		reason := fmt.Sprintf("incarnation %d answers; completions up to %d of the former were acknowledged to it", id, result.Command.Heartbeat.LastStored)
		s.endIncarnation(w, reason, now)
	}
	if !w.HeartbeatAnswered {
		w.BeginIncarnation(id, result.Command.To.Address)
		// The worker can get attempts from now on.
		s.needsPlan = true
	}
	return true
}

// observeRegisteredIncarnation applies the incarnation that a registry entry names.
func (s *Scheduler) observeRegisteredIncarnation(w *fleet.Worker, now fleet.Instant) {
	if !w.HeartbeatAnswered || w.StartedUnixMS <= w.IncarnationID {
		return
	}
	s.endIncarnation(w, fmt.Sprintf("incarnation %d is registered", w.StartedUnixMS), now)
	s.heartbeats[w.ID].next = now
}

// endIncarnation handles the end of the worker's current incarnation. Attempts that
// ran on it are released. A later incarnation may have carried out the start
// requests of the others.
func (s *Scheduler) endIncarnation(w *fleet.Worker, reason string, now fleet.Instant) {
	s.recordDecision(Decision{
		Action: "worker restarted", Worker: w.ID, Age: now - w.LastContact,
		Reason: fmt.Sprintf("incarnation %d has ended: %s", w.IncarnationID, reason),
	})
	s.Counters.Restarts++
	w.EndIncarnation()
	for _, r := range w.Attempts {
		switch {
		case r.Phase == fleet.AttemptUnsent, r.Phase == fleet.AttemptInherited, r.Listed && r.Sends <= 1:
			s.releaseAttempt(w, r, "the worker restarted", now)
		default:
			s.forgetStatus(w, r, now)
		}
	}
	if len(w.Attempts) > 0 {
		w.Lease.ExtendLatestEnd(now + fleet.LongestLease(s.settings.LeaseLimit))
	}
}

// forgetStatus discards what an ended incarnation has reported about an attempt that
// a later one may be running.
func (s *Scheduler) forgetStatus(w *fleet.Worker, r *fleet.Attempt, now fleet.Instant) {
	r.AttemptStatus = fleet.AttemptStatus{}
	r.SpeedKnown = r.SpeedKnown && r.SpeedPercent == fullSpeedPercent && !r.ThrottleSent
	if r.Phase == fleet.AttemptStarted && r.Sends > 1 {
		// One copy of the start request was carried out; the other may still be.
		r.Phase = fleet.AttemptUnresolved
	}
	if r.StopWanted && s.stops[r] == nil {
		s.stops[r] = &pendingStop{worker: w, nextSend: now}
	}
}

// observeStartClock compares the clock reading in the answer to a start with the
// clock of the incarnation that the start was meant for. The owner does not know
// the room of a later incarnation, nor how long the attempts on it may run.
func (s *Scheduler) observeStartClock(w *fleet.Worker, command *Command, clock, now fleet.Instant) {
	if clock <= 0 {
		return
	}
	current := command.incarnation == w.IncarnationID
	if current && clock >= command.earliestClock {
		w.Lease.ObserveClock(clock, now)
		return
	}
	w.Lease.ExtendLatestEnd(now + fleet.LongestLease(s.settings.LeaseLimit))
	if !current {
		return
	}
	w.Superseded = true
	s.heartbeats[w.ID].next = now
	s.recordDecision(Decision{
		Action: "worker may have restarted", Worker: w.ID, Age: now - w.LastContact,
		Reason: fmt.Sprintf("its clock shows %d ms, at least %d expected", clock.Milliseconds(), command.earliestClock.Milliseconds()),
	})
}

// handleOtherInstance handles the answer of another worker at the address of this
// one. The process that answered there no longer exists, and start requests were
// sent only to it.
func (s *Scheduler) handleOtherInstance(w *fleet.Worker, command *Command, now fleet.Instant) {
	if command.incarnation != w.IncarnationID || (w.HeartbeatAnswered && command.To.Address != w.HeartbeatAddress) {
		return
	}
	const reason = "another instance answers at the address"
	if w.HeartbeatAnswered {
		s.endIncarnation(w, reason, now)
	}
	for _, r := range w.Attempts {
		s.releaseAttempt(w, r, reason, now)
	}
}

// completionsToForget returns the number up to which the worker may forget its
// completions; 0 for none. A worker that has restarted unnoticed applies the number
// to its new completions, so it is sent only while no unlisted attempt can have
// finished there, and not again after it has been answered.
func completionsToForget(w *fleet.Worker) int64 {
	if w.Stored == w.Forgotten || w.MissedHeartbeats > 0 || w.Superseded || w.HasUnlistedAttempts() {
		return 0
	}
	return w.Stored
}

// recordForgotten records that the worker was told to forget completions.
func recordForgotten(w *fleet.Worker, command *Command) {
	if command.incarnation == w.IncarnationID {
		w.Forgotten = max(w.Forgotten, command.Heartbeat.LastStored)
	}
}
