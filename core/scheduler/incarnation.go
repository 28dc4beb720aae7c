package scheduler

import (
	"errors"
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// A worker can restart under its ID at any time, and only heartbeat responses and
// registry entries name the incarnation that they come from. A command names the
// incarnation that it is meant for, but a client need not know which one it is connected
// to, so the scheduler also handles commands that reach another one.
//
// Once a restart is known or suspected, the owner raises its fencing token for the worker.
// The first report to a heartbeat with the raised token is complete: commands that were
// sent before, to whichever incarnation, no longer take effect.

// workerToken returns the fencing token of commands to the worker.
func (s *Scheduler) workerToken(w *fleet.Worker) platform.Token { return s.token.Raised(w.TokenRaises) }

// isCurrent reports whether no incarnation of the worker is known to have ended since
// the command was issued.
func (s *Scheduler) isCurrent(w *fleet.Worker, command *Command) bool {
	return command.Token == s.workerToken(w)
}

// raiseToken raises the fencing token for the worker, which gets no attempts until it
// has answered a heartbeat with the new one.
func (s *Scheduler) raiseToken(w *fleet.Worker, now fleet.Instant) {
	s.fleet.RaiseToken(w)
	if w.TokenRaises >= platform.MaxRaises {
		s.fenced = true // The next term starts with a new token.
	}
	if hb := s.heartbeats[w.ID]; hb != nil {
		// The worker refuses a late heartbeat once it has seen the new token, so the next
		// one does not wait for the result of the last.
		hb.inProgress, hb.next = nil, now
	}
}

// observeIncarnation applies the incarnation that a heartbeat response names. It
// returns false if the response is from an incarnation that has ended, or from one
// that may still carry out commands to the former.
func (s *Scheduler) observeIncarnation(w *fleet.Worker, result Result, now fleet.Instant) bool {
	id := result.Report.StartedUnixMS
	if !s.isCurrent(w, result.Command) {
		s.recordDecision(Decision{
			Action: "ignore heartbeat response", Worker: w.ID, Age: now - result.Command.IssuedAt,
			Reason: fmt.Sprintf("incarnation %d answers a heartbeat from before the fencing token was raised", id),
		})
		return false
	}
	if w.IncarnationID != 0 && id != w.IncarnationID {
		s.recordForeignLease(w, result, now)
		reason := fmt.Sprintf("incarnation %d answers; completions up to %d of the former were acknowledged to it", id, result.Command.Heartbeat.LastStored)
		s.endIncarnation(w, reason, now)
		return false
	}
	if !w.HeartbeatAnswered {
		s.boundFirstLease(w, result, now)
		w.BeginIncarnation(id, result.Command.To.Address)
		// The worker can get attempts from now on.
		s.needsPlan = true
	}
	return true
}

// boundFirstLease sets the latest end of the lease of an incarnation that answers for the
// first time. Commands with lower tokens no longer take effect there, but those that did
// may have been meant for another incarnation: their leases end at times on another clock,
// and last as long as the worker grants.
func (s *Scheduler) boundFirstLease(w *fleet.Worker, result Result, now fleet.Instant) {
	longest := now + fleet.LongestLease(s.settings.LeaseLimit)
	if w.LastContact == 0 && runsInherited(w, result) {
		// The previous owner knew the incarnation, and its lease.
		w.Lease.LimitLatestEnd(longest, fleet.LeaseOfAnyCommand)
		return
	}
	w.Lease.SetLatestEnd(longest, fleet.LeaseOfAnyCommand)
}

// runsInherited reports whether a report lists an inherited attempt whose start the
// previous owner has settled.
func runsInherited(w *fleet.Worker, result Result) bool {
	for _, running := range result.Report.Running {
		id, err := job.ParseTaskID(running.Task)
		if err != nil {
			continue // reconcileAttempts records it.
		}
		if r := w.Attempts[id]; r != nil && r.Phase == fleet.AttemptInherited && r.Attempt == running.Attempt && !r.MayRunLater {
			return true
		}
	}
	return false
}

// recordForeignLease records that an incarnation has answered a heartbeat that granted a
// lease to another one.
func (s *Scheduler) recordForeignLease(w *fleet.Worker, result Result, now fleet.Instant) {
	until := result.Command.Heartbeat.Until
	if until == 0 {
		return
	}
	s.recordDecision(Decision{
		Action: "lease granted to another incarnation", Worker: w.ID, Token: result.Command.Token,
		Incarnation: result.Report.StartedUnixMS, Age: now - result.Command.IssuedAt,
		Reason: fmt.Sprintf("until %d ms on the clock of incarnation %d; the clock of this one shows %d ms",
			until.Milliseconds(), w.IncarnationID, result.Report.Clock.Milliseconds()),
	})
}

// observeRegisteredIncarnation applies the incarnation that a registry entry names.
func (s *Scheduler) observeRegisteredIncarnation(w *fleet.Worker, now fleet.Instant) {
	if w.IncarnationID != 0 && w.StartedUnixMS > w.IncarnationID && w.StartedUnixMS != w.FormerIncarnationID {
		s.endIncarnation(w, fmt.Sprintf("incarnation %d is registered", w.StartedUnixMS), now)
	}
}

// endIncarnation handles the end of the worker's current incarnation. Attempts that
// ran on it are released. A later incarnation may have carried out the start
// requests of the others; its first report tells.
func (s *Scheduler) endIncarnation(w *fleet.Worker, reason string, now fleet.Instant) {
	s.recordDecision(Decision{
		Action: "worker restarted", Worker: w.ID, Age: now - w.LastContact,
		Reason: fmt.Sprintf("incarnation %d has ended: %s", w.IncarnationID, reason),
	})
	s.Counters.Restarts++
	w.EndIncarnation()
	s.raiseToken(w, now)
	for _, r := range w.Attempts {
		switch {
		case r.Phase == fleet.AttemptUnsent, r.Phase == fleet.AttemptInherited, r.Listed && r.Sends <= 1:
			s.releaseAttempt(w, r, "the worker restarted", now)
		default:
			s.forgetStatus(w, r, now)
		}
	}
	if len(w.Attempts) > 0 {
		w.Lease.ExtendLatestEnd(now+maxOrderDelay+fleet.LongestLease(s.settings.LeaseLimit), fleet.LeaseOfAnyCommand)
	}
}

// maxOrderDelay is the longest time from the issue of a command until a worker carries it
// out, if its call got no answer.
const maxOrderDelay = 12 * time.Second

// forgetStatus discards what an ended incarnation has reported about an attempt that
// a later one may be running.
func (s *Scheduler) forgetStatus(w *fleet.Worker, r *fleet.Attempt, now fleet.Instant) {
	r.AttemptStatus = fleet.AttemptStatus{}
	r.SpeedKnown = r.SpeedKnown && r.SpeedPercent == fullSpeedPercent && !r.ThrottleSent
	if r.StopWanted && s.stops[r] == nil {
		s.stops[r] = &pendingStop{worker: w, nextSend: now}
	}
}

// observeStartClock compares the clock reading in the answer to a start with the
// clock of the incarnation that the start was meant for. A later incarnation may run
// the attempt for as long as it grants a lease.
func (s *Scheduler) observeStartClock(w *fleet.Worker, r *fleet.Attempt, command *Command, clock, now fleet.Instant) {
	if clock <= 0 {
		return
	}
	current := s.isCurrent(w, command)
	latest := w.Lease.LatestClock(now)
	if current && clock >= command.earliestClock && (latest == 0 || clock <= latest) {
		r.ClockMatches = w.Lease.ProvesIncarnation(command.earliestClock, now)
		w.Lease.ObserveClock(clock, command.IssuedAt, now)
		return
	}
	w.Lease.ExtendLatestEnd(now+fleet.LongestLease(s.settings.LeaseLimit), fleet.LeaseOfAnyCommand)
	if !current {
		return
	}
	s.raiseToken(w, now)
	s.recordDecision(Decision{
		Action: "worker may have restarted", Worker: w.ID, Age: now - w.LastContact,
		Reason: fmt.Sprintf("its clock shows %d ms, %d to %d expected", clock.Milliseconds(), command.earliestClock.Milliseconds(), latest.Milliseconds()),
	})
}

// observeLaterLease applies the failure of a command that grants a lease. If a later
// incarnation than the current one may have received the command, it holds a lease for as
// long as it grants one, and may carry the command out late if it has not answered it;
// observeLaterLease then returns true.
//
// Between a raise of the token and the first answer, that incarnation may already run
// attempts whose starts were confirmed.
func (s *Scheduler) observeLaterLease(w *fleet.Worker, result Result, now fleet.Instant) bool {
	reason := platform.RefusalOf(result.Err)
	if reason == platform.RefusedRestarted || reachedNoLaterIncarnation(w, result.Err, now) {
		return false
	}
	carriedOutBy := now
	if reason == "" {
		carriedOutBy = max(now, result.Command.IssuedAt+maxOrderDelay)
	}
	longest := carriedOutBy + fleet.LongestLease(s.settings.LeaseLimit)
	w.Lease.ExtendLaterEnd(longest)
	if !w.HeartbeatAnswered {
		w.Lease.ExtendLatestEnd(longest, fleet.LeaseOfAnyCommand)
	}
	return true
}

// reachedNoLaterIncarnation reports whether a failed command cannot have reached a later
// incarnation than the current one. A connection leads to one process: one that was opened
// while the current incarnation ran does not lead to a later one.
func reachedNoLaterIncarnation(w *fleet.Worker, err error, now fleet.Instant) bool {
	var failure *platform.CallError
	return errors.As(err, &failure) &&
		(failure.Stage == platform.StageConnect || failure.Incarnation != 0 || failure.Age > now-w.AliveAt)
}

// observeRestart applies the refusal of a command because another incarnation than the one
// that it was meant for runs at its address.
func (s *Scheduler) observeRestart(w *fleet.Worker, result Result, now fleet.Instant) {
	var refused *platform.RefusedError
	if !errors.As(result.Err, &refused) || refused.Reason != platform.RefusedRestarted ||
		!w.HeartbeatAnswered || !s.isCurrent(w, result.Command) || refused.Incarnation == w.IncarnationID {
		return
	}
	s.endIncarnation(w, fmt.Sprintf("incarnation %d answers on a new connection", refused.Incarnation), now)
}

// handleOtherInstance handles the answer of another worker at the address of this
// one. The process that answered there no longer exists, and start requests were
// sent only to it.
func (s *Scheduler) handleOtherInstance(w *fleet.Worker, command *Command, now fleet.Instant) {
	if !s.isCurrent(w, command) || (w.IncarnationID != 0 && command.To.Address != w.HeartbeatAddress) {
		return
	}
	const reason = "another instance answers at the address"
	if w.IncarnationID != 0 {
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
func completionsToForget(w *fleet.Worker, now fleet.Instant) int64 {
	if w.Stored == w.Forgotten || !w.HeartbeatAnswered || w.HasUnlistedAttempts(now) {
		return 0
	}
	return w.Stored
}

// mayWait reports whether the worker may delay its answer to the heartbeat until an
// attempt finishes. A worker that has completions to list again answers at once.
func mayWait(w *fleet.Worker, heartbeat platform.HeartbeatCommand) bool {
	return w.HeartbeatAnswered && w.LastRead == w.Stored && max(w.Forgotten, heartbeat.LastStored) == w.Stored
}
