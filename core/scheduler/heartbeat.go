package scheduler

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

// sendHeartbeats issues the worker heartbeats that are due. A heartbeat renews the
// worker's lease and returns the worker's status. An owner that is not connected to
// the store issues none, because a new owner relies on the expiry of its leases.
func (s *Scheduler) sendHeartbeats(now fleet.Instant) {
	if !s.IsConnected(now) {
		return
	}
	for _, w := range s.fleet.All() {
		hb := s.heartbeats[w.ID]
		if hb == nil || hb.inProgress != nil || now < hb.next || w.Fenced || w.Address == "" {
			continue
		}
		if !w.Registered && len(w.Attempts) == 0 && w.LastRead == w.Stored {
			continue
		}
		s.Counters.Heartbeats++
		command := &Command{
			Kind: CommandHeartbeat, Worker: w.ID, To: w.Endpoint(), Token: s.workerToken(w), IssuedAt: now,
			Heartbeat: platform.HeartbeatCommand{Token: s.workerToken(w), LastStored: completionsToForget(w, now)},
		}
		if w.HeartbeatAnswered && w.MissedHeartbeats == 0 && !w.LeaseSuspended && s.leaseBoundsStored {
			// The lease of a worker that does not respond is not extended. Otherwise
			// its attempts could never be released.
			command.Heartbeat.Until = w.Lease.Until(s.settings.Lease, now)
		}
		if !w.LeaseSuspended && mayWait(w, command.Heartbeat) {
			command.Heartbeat.Wait = s.heartbeatWait(w)
		}
		hb.inProgress = command
		s.commands = append(s.commands, command)
	}
}

// maxSharedHeartbeatWait is the longest time that a worker may delay its heartbeat
// response while it runs both best-effort and serving tasks. The platform allows
// 4 s to react to a tail latency over its target, and the reported figures cover
// the last half second.
const maxSharedHeartbeatWait = 450 * time.Millisecond

// heartbeatWait returns how long the worker may delay its heartbeat response to
// wait for a completion.
func (s *Scheduler) heartbeatWait(w *fleet.Worker) time.Duration {
	switch {
	case s.handOver != nil:
		return s.handOver.heartbeatWait
	case w.IsShared():
		return min(maxSharedHeartbeatWait, s.settings.HeartbeatWait)
	}
	return s.settings.HeartbeatWait
}

// HandleResult processes the result of a command.
func (s *Scheduler) HandleResult(result Result, now fleet.Instant) {
	if result.Command.Kind == CommandAdvise {
		s.handleAdviceResult(result, now)
		return
	}
	s.inFlight.add(result.Command.Kind, -1)
	w := s.fleet.Worker(result.Command.Worker)
	if w == nil {
		return
	}
	s.recordSendDelay(result.Command)
	s.recordFencing(w, result)
	if platform.RefusalOf(result.Err) == platform.RefusedIncarnation {
		s.handleOtherInstance(w, result.Command, now)
	}
	s.observeRestart(w, result, now)
	switch result.Command.Kind {
	case CommandHeartbeat:
		s.handleHeartbeatResult(w, result, now)
	case CommandStart:
		s.handleStartResult(w, result, now)
	case CommandStop:
		s.handleStopResult(w, result, now)
	case CommandThrottle:
		s.handleThrottleResult(w, result)
	}
}

// recordSendDelay records that a command was not sent as it was issued.
func (s *Scheduler) recordSendDelay(command *Command) {
	if command.sendDelay == 0 {
		return
	}
	d := Decision{Action: "heartbeat sent late", Worker: command.Worker, Reason: "it acknowledged nothing", Age: command.sendDelay}
	if command.Kind == CommandStart {
		d.Action, d.Reason = "start not sent", "its issue was too long ago"
		d.Job, d.Task, d.Attempt = command.Task.Job, command.Task.String(), command.Attempt
	}
	s.recordDecision(d)
}

// recordFencing records that a worker has seen a higher token than the current one. A
// command from before a raise is refused because of the raise.
func (s *Scheduler) recordFencing(w *fleet.Worker, result Result) {
	if platform.RefusalOf(result.Err) != platform.RefusedFenced || w.Fenced || !s.isCurrent(w, result.Command) {
		return
	}
	w.Fenced = true
	s.fenced = true
	s.recordDecision(Decision{Action: "fenced", Worker: w.ID, Reason: "the worker has seen a higher fencing token"})
}

func (s *Scheduler) handleHeartbeatResult(w *fleet.Worker, result Result, now fleet.Instant) {
	hb := s.heartbeats[w.ID]
	superseded := hb.inProgress != result.Command
	if !superseded {
		hb.inProgress = nil
	}
	if result.Err != nil {
		if result.Command.Heartbeat.Until > 0 {
			s.observeLaterLease(w, result, now)
		}
		if superseded {
			return
		}
		hb.next = now + heartbeatRetryDelay
		w.MissedHeartbeats++
		if w.UnresponsiveSince == 0 {
			w.UnresponsiveSince = now
			s.recordUnresponsive(w, result, now)
		}
		return
	}
	if !s.observeIncarnation(w, result, now) {
		hb.next = now
		return
	}
	s.applyReport(w, result, now)
	switch {
	case w.LastRead != w.Stored, w.LeaseSuspended:
		hb.next = now + unstoredHeartbeatDelay
	case w.Stored != w.Forgotten && completionsToForget(w, now) == 0:
		hb.next = now + unlistedHeartbeatDelay
	case len(w.Attempts) == 0:
		hb.next = now + idleHeartbeatInterval
	default:
		hb.next = now
	}
}

// recordUnresponsive records the first failed heartbeat in a row of a worker with
// attempts.
func (s *Scheduler) recordUnresponsive(w *fleet.Worker, result Result, now fleet.Instant) {
	if len(w.Attempts) == 0 {
		return
	}
	s.recordDecision(Decision{
		Action: "worker does not respond", Worker: w.ID, Token: result.Command.Token, Incarnation: w.IncarnationID, Age: now - w.LastContact,
		Reason: fmt.Sprintf("its lease lasts for %d ms at most (%s); %v", s.leaseRemaining(w, now).Milliseconds(), w.Lease.Basis(), result.Err),
	})
}

// applyReport applies the status that a worker returned for a heartbeat.
func (s *Scheduler) applyReport(w *fleet.Worker, result Result, now fleet.Instant) {
	report := &result.Report
	w.LastContact, w.MissedHeartbeats, w.UnresponsiveSince = now, 0, 0
	w.AliveAt = max(w.AliveAt, result.Command.IssuedAt)
	w.Lease.ObserveClock(report.Clock, result.Command.IssuedAt, now)
	w.Forgotten = max(w.Forgotten, result.Command.Heartbeat.LastStored)
	if report.Draining && w.LeavesAt == 0 {
		w.LeavesAt = now + report.Remaining
		s.stopLongRunning(w, now)
	}
	for _, completion := range report.Completions {
		if completion.Number > w.LastRead {
			w.LastRead = completion.Number
			s.hasUnstoredCompletions = true
			s.handleCompletion(w, completion, now)
		}
	}
	s.reconcileAttempts(w, result, now)
	s.adjustSpeed(w, now)
	s.stopStragglers(w, now)
}

// reconcileAttempts compares the attempts in a report with the worker table.
func (s *Scheduler) reconcileAttempts(w *fleet.Worker, result Result, now fleet.Instant) {
	present := make(map[job.TaskID]int, len(result.Report.Running))
	for _, running := range result.Report.Running {
		id, err := job.ParseTaskID(running.Task)
		if err != nil {
			s.recordDecision(Decision{Action: "ignore run", Task: running.Task, Worker: w.ID, Reason: err.Error()})
			continue
		}
		present[id] = running.Attempt
		s.confirmAttempt(w, id, running, now)
	}
	if len(result.Report.Completions) >= platform.MaxCompletions {
		return // More completions follow, which may include the missing attempts.
	}
	for id, r := range w.Attempts {
		switch number, listed := present[id]; {
		case !listed:
			s.handleMissingAttempt(w, r, result.Command, now)
		case number != r.Attempt:
			s.stopOtherAttempt(w, id, number, now)
		}
	}
}

// stopOtherAttempt stops an attempt of a task that was placed on the worker again: its
// start request was carried out late. The newer attempt is not released before the worker
// lists neither.
func (s *Scheduler) stopOtherAttempt(w *fleet.Worker, id job.TaskID, number int, now fleet.Instant) {
	s.recordDecision(Decision{
		Action: "stop", Job: id.Job, Task: id.String(), Attempt: number, Worker: w.ID, Reason: "another attempt is placed on the worker",
	})
	s.issueStop(w, id, number, now)
}

// confirmAttempt records an attempt that the worker reports as running.
func (s *Scheduler) confirmAttempt(w *fleet.Worker, id job.TaskID, running platform.Running, now fleet.Instant) {
	r := w.Attempts[id]
	if r == nil || r.Attempt != running.Attempt {
		s.stopOrphan(w, id, running, now)
		return
	}
	r.Listed = true
	s.begin(id.Job)
	if r.Phase != fleet.AttemptStarted {
		r.Phase = fleet.AttemptStarted
		r.StartedAt = now
	}
	recordProgress(r, running.ProgressPercent, now)
	r.Observed = running.Observed
	observeUse(r, running)
	s.observeProgress(w, r)
	s.ledger.Checkpoint(id, r.Attempt, running.Checkpoint)
}

// stopOrphan stops an attempt that is not in the worker table: its start request
// was carried out late, or its job is finished.
func (s *Scheduler) stopOrphan(w *fleet.Worker, id job.TaskID, running platform.Running, now fleet.Instant) {
	if w.Attempts[id] != nil {
		return // reconcileAttempts stops it.
	}
	r := &fleet.Attempt{
		ID: id, Attempt: running.Attempt, Phase: fleet.AttemptStarted, StartedAt: now, AttemptStatus: fleet.AttemptStatus{Listed: true},
	}
	if e := s.ledger.Entry(id.Job); e != nil && id.Step < len(e.Job.Steps) {
		step := &e.Job.Steps[id.Step]
		r.Need, r.FullNeed, r.Account = step.ReservedCapacity(), step.Need, e.Job.Account
	}
	w.Add(r)
	s.requestStop(w, r, "no placement matches the attempt", now)
}

// handleMissingAttempt handles an attempt that the complete report to a heartbeat does
// not list.
func (s *Scheduler) handleMissingAttempt(w *fleet.Worker, r *fleet.Attempt, heartbeat *Command, now fleet.Instant) {
	if r.Phase != fleet.AttemptUnsent && r.Token < heartbeat.Token {
		// The worker refuses the start request if it arrives later.
		s.releaseAttempt(w, r, "the start request was not carried out before the fencing token was raised", now)
		return
	}
	issued := heartbeat.IssuedAt
	switch r.Phase {
	case fleet.AttemptUnsent, fleet.AttemptSent, fleet.AttemptInherited:
		return
	case fleet.AttemptStarted:
		// A heartbeat that was issued before the start may have been answered
		// before the start as well.
		if r.StartedAt < issued {
			s.releaseAttempt(w, r, "the worker no longer reports the attempt", now)
		}
	case fleet.AttemptUnresolved:
		// After a stop, the worker refuses a late start request of the attempt.
		if r.StopAckedAt > 0 && r.StopAckedAt < issued {
			s.releaseAttempt(w, r, "the start request was not carried out", now)
			return
		}
		s.requestStop(w, r, "the start request got no response", now)
	}
}

// handleCompletion processes the completion of an attempt.
func (s *Scheduler) handleCompletion(w *fleet.Worker, completion platform.Completion, now fleet.Instant) {
	id, err := job.ParseTaskID(completion.Task)
	if err != nil {
		s.recordDecision(Decision{Action: "ignore end", Task: completion.Task, Worker: w.ID, Reason: err.Error()})
		return
	}
	s.needsPlan = true
	if r := w.Attempts[id]; r != nil && r.Attempt == completion.Attempt {
		s.updateHealth(w, r, completion.Kind, now)
		if r.Step != nil && r.Step.Fills {
			w.BestEffortFinishedAt = now
		}
		s.removeAttempt(w, r)
	}
	end := unstoredEnd{job: id.Job, worker: w.ID, incarnation: w.IncarnationID, number: completion.Number}
	if s.isUnreadable(id.Job) {
		s.held[id.Job].keep(end)
		return
	}
	e := s.ledger.Entry(id.Job)
	if e == nil {
		return
	}
	closed := e.IsClosed()
	s.unstoredEnds = append(s.unstoredEnds, end)
	s.ledger.RecordCompletion(id, completion.Attempt, completion.Kind, completion.Checkpoint)
	s.recordStepEnd(e, id, now)
	s.countCompletion(completion.Kind)
	s.recordDecision(Decision{Action: "end", Job: id.Job, Task: completion.Task, Attempt: completion.Attempt, Worker: w.ID, Reason: string(completion.Kind)})
	if !closed && e.IsClosed() {
		s.closed = append(s.closed, closedJob{id: id.Job, closedAt: now})
		s.recordDecision(Decision{Action: "close", Job: id.Job, Reason: string(e.State()), Age: now - s.accepted[id.Job]})
		s.stopAttemptsOf(e, now)
	}
	if t, ok := e.Task(id); ok && t.Phase == ledger.Done {
		s.stopNewerAttempt(w, id, t, completion.Attempt, now)
	}
}

// stopNewerAttempt stops a newer attempt of a task after an older attempt has
// completed the task.
func (s *Scheduler) stopNewerAttempt(w *fleet.Worker, id job.TaskID, t ledger.Task, number int, now fleet.Instant) {
	if t.Attempt == number {
		return
	}
	other := s.fleet.Worker(t.Worker)
	if other == nil {
		return
	}
	if r := other.Attempts[id]; r != nil && (other != w || r.Attempt != number) {
		s.requestStop(other, r, "an earlier attempt is done", now)
	}
}

func (s *Scheduler) countCompletion(kind platform.CompletionKind) {
	switch kind {
	case platform.CompletionDone:
		s.Counters.Done++
	case platform.CompletionFailed:
		s.Counters.Failed++
	case platform.CompletionLapsed:
		s.Counters.Expired++
	default:
		s.Counters.Stopped++
	}
}

// updateHealth updates the health of the worker, and the throughput of its pool, with a
// completion.
func (s *Scheduler) updateHealth(w *fleet.Worker, r *fleet.Attempt, kind platform.CompletionKind, now fleet.Instant) {
	if r.Step == nil || r.StopWanted {
		return
	}
	switch kind {
	case platform.CompletionDone:
		w.Health.RecordDone(now-r.StartedAt, s.durationElsewhere(w, r))
		if !r.Step.LongRunning {
			pool := dispatch.Pool{Service: w.Service, BestEffort: r.Step.Fills}
			s.throughput.addFinishedTask(pool, r.Step, now-r.StartedAt, s.nominalTime(w, r, now), now)
		}
		s.observeDone(w, r, now)
		s.observeEnd(w, r, now)
	case platform.CompletionFailed:
		if pause := w.Health.RecordFailure(); pause > 0 {
			w.AvoidUntil = now + pause
			s.recordDecision(Decision{Action: "avoid worker", Worker: w.ID, Reason: "several attempts on it failed in a row", Age: pause})
		}
	}
}

// removeAttempt removes an attempt from its worker.
func (s *Scheduler) removeAttempt(w *fleet.Worker, r *fleet.Attempt) {
	w.Remove(r)
	s.poolUse.add(w, r, -1)
	delete(s.stops, r)
}

// releaseAttempt releases an attempt that is certainly not running and has no
// completion. The task can be placed again.
func (s *Scheduler) releaseAttempt(w *fleet.Worker, r *fleet.Attempt, reason string, now fleet.Instant) {
	s.removeAttempt(w, r)
	s.needsPlan = true
	if s.ledger.Lost(r.ID, r.Attempt) {
		s.Counters.Lost++
		s.recordDecision(Decision{
			Action: "release", Job: r.ID.Job, Task: r.ID.String(), Attempt: r.Attempt, Worker: w.ID,
			Token: r.Token, Incarnation: w.IncarnationID, Reason: reason, Age: now - r.PlacedAt,
		})
	}
}

// releaseExpired releases the attempts on workers whose lease has expired.
func (s *Scheduler) releaseExpired(now fleet.Instant) {
	for _, w := range s.fleet.All() {
		if len(w.Attempts) == 0 || !w.Lease.IsExpired(now) {
			continue
		}
		for _, r := range w.Attempts {
			// The result of a start that was sent tells whether it may run longer.
			if r.Phase == fleet.AttemptUnsent || r.Phase == fleet.AttemptSent || w.MayRun(r, now) {
				continue
			}
			s.releaseAttempt(w, r, "the worker's lease has expired ("+string(w.Lease.Basis())+")", now)
		}
	}
}

// stopLongRunning stops the long-running tasks on a worker that is leaving, so
// that they start on other workers.
func (s *Scheduler) stopLongRunning(w *fleet.Worker, now fleet.Instant) {
	for _, r := range w.Attempts {
		if r.Step != nil && r.Step.LongRunning {
			s.requestStop(w, r, "the worker is leaving", now)
		}
	}
}

// CountUnresponsive returns how many registered workers have not responded for
// longer than the given time, and the number of registered workers.
func (s *Scheduler) CountUnresponsive(now fleet.Instant, after time.Duration) (unresponsive, registered int) {
	for _, w := range s.fleet.All() {
		if w.Registered {
			registered++
			if now-w.LastContact > after {
				unresponsive++
			}
		}
	}
	return unresponsive, registered
}
