package scheduler

import (
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// sendStart sends the start request of an attempt whose placement is stored. It
// checks the placement again, because storing it may have taken long.
func (s *Scheduler) sendStart(start unsentStart, now fleet.Instant) {
	w, r := start.worker, start.attempt
	if w.Attempts[r.ID] != r || r.Phase != fleet.AttemptUnsent {
		return
	}
	e := s.ledger.Entry(r.ID.Job)
	switch {
	case e == nil || e.IsClosed() || r.StopWanted:
		s.releaseAttempt(w, r, "the job was closed before the start", now)
		return
	case !s.mayStart(now):
		// The process was paused or has lost the store.
		s.releaseAttempt(w, r, "the owner has not heard from the store for too long", now)
		return
	case !s.acceptsAttempts(w, now) || !s.belongsToService(w, e.Job.Queue):
		s.releaseAttempt(w, r, "the worker is no longer usable for the job", now)
		return
	}
	r.Phase, r.SentAt = fleet.AttemptSent, now
	s.issueStart(start, e.Job.Payload, now)
}

// issueStart issues the start command of an attempt, for the first time or again.
func (s *Scheduler) issueStart(start unsentStart, payload string, now fleet.Instant) {
	w, r := start.worker, start.attempt
	s.inFlight.add(CommandStart, 1)
	r.Sends++
	r.Token = s.workerToken(w)
	t, _ := s.ledger.Entry(r.ID.Job).Task(r.ID)
	checkpoint := t.Checkpoint
	if r.Step.Gang {
		checkpoint = s.gangCheckpoint(r)
	}
	s.commands = append(s.commands, &Command{
		Kind: CommandStart, Worker: w.ID, To: w.Endpoint(), Token: r.Token, IssuedAt: now,
		Task: r.ID, Attempt: r.Attempt, earliestClock: w.Lease.EarliestClock(now),
		Start: platform.StartCommand{
			AttemptKey: r.Key(), Token: r.Token, Payload: payload, Checkpoint: checkpoint, Ticket: start.ticket,
			Until: w.Lease.Until(s.settings.Lease, now),
		},
	})
}

// gangCheckpoint returns the checkpoint that all members of a gang start with: the
// checkpoint of the first member that has one, which is valid for all members.
func (s *Scheduler) gangCheckpoint(r *fleet.Attempt) string {
	e := s.ledger.Entry(r.ID.Job)
	id := r.ID
	for index := range r.Step.Count {
		id.Index = index
		if t, ok := e.Task(id); ok && t.Checkpoint != "" {
			return t.Checkpoint
		}
	}
	return ""
}

func (s *Scheduler) handleStartResult(w *fleet.Worker, result Result, now fleet.Instant) {
	r := w.Attempts[result.Command.Task]
	if r == nil || r.Attempt != result.Command.Attempt {
		return
	}
	reason := platform.RefusalOf(result.Err)
	if result.Err != nil && s.observeLaterLease(w, result, now) && reason == "" {
		r.MayRunLater = true
	}
	switch {
	case result.Err == nil:
		s.confirmStart(w, r, result, now)
	case reason != "" && r.Sends == 1 && r.Phase == fleet.AttemptSent:
		s.handleRefusedStart(w, r, reason, now)
	case r.Phase == fleet.AttemptSent && reason == "" && r.Sends < maxStartSends && !r.StopWanted && !w.LeaseSuspended &&
		s.isCurrent(w, result.Command) && s.isJobOpen(r) && s.mayStart(now):
		// The same start request may be sent again: the worker carries it out
		// only once.
		s.recordDecision(Decision{Action: "repeat start", Job: r.ID.Job, Task: r.ID.String(), Attempt: r.Attempt, Worker: w.ID, Reason: errorText(result.Err)})
		s.issueStart(unsentStart{worker: w, attempt: r, ticket: result.Command.Start.Ticket}, result.Command.Start.Payload, now)
	case r.Phase == fleet.AttemptSent:
		r.Phase = fleet.AttemptUnresolved
		s.Counters.Unresolved++
		s.requestStop(w, r, "the start request got no response", now)
	}
}

// isJobOpen reports whether the job of an attempt is known and not closed.
func (s *Scheduler) isJobOpen(r *fleet.Attempt) bool {
	e := s.ledger.Entry(r.ID.Job)
	return e != nil && !e.IsClosed()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (s *Scheduler) confirmStart(w *fleet.Worker, r *fleet.Attempt, result Result, now fleet.Instant) {
	s.observeStartClock(w, r, result.Command, result.Clock, now)
	s.Counters.Started++
	s.begin(r.ID.Job)
	if r.Phase == fleet.AttemptSent {
		r.Phase = fleet.AttemptStarted
		r.StartedAt = now
		if e := s.ledger.Entry(r.ID.Job); e != nil {
			s.recordStage(StageStart, e.Job.Queue, now-r.PlacedAt)
		}
		s.setStartSpeed(w, r, now)
	}
	s.recordDecision(Decision{
		Action: "started", Job: r.ID.Job, Task: r.ID.String(), Attempt: r.Attempt, Worker: w.ID,
		Token: result.Command.Token, Incarnation: w.IncarnationID, Age: now - r.PlacedAt,
	})
}

// handleRefusedStart handles the refusal of a start request that was sent only
// once: the attempt has not started and never will.
func (s *Scheduler) handleRefusedStart(w *fleet.Worker, r *fleet.Attempt, reason platform.RefusalReason, now fleet.Instant) {
	s.Counters.Refused++
	switch reason {
	case platform.RefusedTicket:
		s.dropTicket(r.ID.StepID, w.ID)
		s.releaseAttempt(w, r, "the worker refused the policy service's ticket", now)
		return
	case platform.RefusedRestarted:
		s.releaseAttempt(w, r, "the worker restarted before the start", now)
		return
	}
	w.AvoidUntil = max(w.AvoidUntil, now+refusalPause)
	s.releaseAttempt(w, r, "the worker refused the start ("+string(reason)+")", now)
}

// requestStop stops an attempt. An attempt whose start request was not sent is
// released immediately; for others a stop command is sent until it succeeds.
func (s *Scheduler) requestStop(w *fleet.Worker, r *fleet.Attempt, reason string, now fleet.Instant) {
	if r.Phase == fleet.AttemptUnsent {
		s.releaseAttempt(w, r, reason, now)
		return
	}
	if r.StopWanted {
		return
	}
	r.StopWanted = true
	s.stops[r] = &pendingStop{worker: w, nextSend: now}
	s.recordDecision(Decision{Action: "stop", Job: r.ID.Job, Task: r.ID.String(), Attempt: r.Attempt, Worker: w.ID, Reason: reason})
}

// sendStops issues the stop commands that are due. Those of attempts whose start
// request has no result yet wait for it.
func (s *Scheduler) sendStops(now fleet.Instant) {
	for r, stop := range s.stops {
		if s.inFlight.stops >= maxCommandsInFlight {
			return
		}
		if r.StopSent || now < stop.nextSend || stop.worker.Fenced || stop.worker.Address == "" || r.Phase == fleet.AttemptSent {
			continue
		}
		r.StopSent = true
		s.issueStop(stop.worker, r.ID, r.Attempt, now)
	}
}

// issueStop issues a command that stops an attempt of a task.
func (s *Scheduler) issueStop(w *fleet.Worker, id job.TaskID, attempt int, now fleet.Instant) {
	s.inFlight.add(CommandStop, 1)
	s.commands = append(s.commands, &Command{
		Kind: CommandStop, Worker: w.ID, To: w.Endpoint(), Token: s.workerToken(w), IssuedAt: now, Task: id, Attempt: attempt,
	})
}

func (s *Scheduler) handleStopResult(w *fleet.Worker, result Result, now fleet.Instant) {
	r := w.Attempts[result.Command.Task]
	if r == nil || r.Attempt != result.Command.Attempt {
		return
	}
	r.StopSent = false
	stop := s.stops[r]
	switch {
	case result.Err == nil && w.HeartbeatAnswered && s.isCurrent(w, result.Command):
		r.StopAckedAt = now
		delete(s.stops, r)
	case stop != nil:
		stop.nextSend = now + stopRetryDelay
	}
}
