package scheduler

import (
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/platform"
)

// sendStart sends the start of a run whose placement is stored. The placement
// is checked again, because the store may have taken long.
func (m *Scheduler) sendStart(p unsentStart, now fleet.Instant) {
	w, r := p.worker, p.attempt
	if w.Attempts[r.ID] != r || r.Phase != fleet.AttemptUnsent {
		return
	}
	e := m.ledger.Entry(r.ID.Job)
	switch {
	case e == nil || e.IsClosed() || r.StopWanted:
		m.releaseAttempt(w, r, "the job was over before the start", now)
		return
	case !m.isUsable(w, now) || !m.belongsToService(w, e.Job.Queue):
		m.releaseAttempt(w, r, "the worker may not be used any more", now)
		return
	}
	r.Phase = fleet.AttemptSent
	m.issueStart(p, e.Job.Payload, now)
}

func (m *Scheduler) issueStart(p unsentStart, payload string, now fleet.Instant) {
	w, r := p.worker, p.attempt
	r.Sends++
	t, _ := m.ledger.Entry(r.ID.Job).Task(r.ID)
	checkpoint := t.Checkpoint
	if r.Step.Gang {
		checkpoint = m.gangCheckpoint(r)
	}
	m.commands = append(m.commands, &Command{
		Kind: CommandStart, Worker: w.ID, To: w.Endpoint(), Token: m.token, IssuedAt: now, incarnation: w.Incarnation,
		Task: r.ID, Run: r.Run,
		Start: platform.StartCommand{
			AttemptKey: r.Key(), Token: m.token, Payload: payload, Checkpoint: checkpoint, Ticket: p.ticket,
			Until: w.Lease.Until(m.settings.Lease, now),
		},
	})
}

// gangCheckpoint returns the checkpoint that all members of a gang start with:
// the first member's that has one, which is valid for all.
func (m *Scheduler) gangCheckpoint(r *fleet.Run) string {
	e := m.ledger.Entry(r.ID.Job)
	id := r.ID
	for index := range r.Step.Count {
		id.Index = index
		if t, ok := e.Task(id); ok && t.Checkpoint != "" {
			return t.Checkpoint
		}
	}
	return ""
}

func (m *Scheduler) handleStartResult(w *fleet.Worker, a Result, now fleet.Instant) {
	r := w.Attempts[a.Command.Task]
	if r == nil || r.Run != a.Command.Run {
		return
	}
	reason := platform.RefusalOf(a.Err)
	switch {
	case a.Err == nil:
		m.confirmStart(w, r, a, now)
	case reason != "" && r.Sends == 1 && r.Phase == fleet.AttemptSent:
		m.handleRefusedStart(w, r, reason, now)
	case r.Phase == fleet.AttemptSent && reason == "" && r.Sends < maxStartSends && !r.StopWanted && !w.LeaseSuspended &&
		w.Incarnation == a.Command.incarnation && m.isJobOpen(r):
		// The same run may be sent again: the worker takes it once.
		m.recordDecision(Decision{Action: "repeat start", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID, Reason: errorText(a.Err)})
		m.issueStart(unsentStart{worker: w, attempt: r, ticket: a.Command.Start.Ticket}, a.Command.Start.Payload, now)
	case r.Phase == fleet.AttemptSent:
		r.Phase = fleet.AttemptUnresolved
		m.Counters.Unresolved++
		m.requestStop(w, r, "the start got no answer", now)
	}
}

// isJobOpen reports whether the job of a run is still to be worked on.
func (m *Scheduler) isJobOpen(r *fleet.Run) bool {
	e := m.ledger.Entry(r.ID.Job)
	return e != nil && !e.IsClosed()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (m *Scheduler) confirmStart(w *fleet.Worker, r *fleet.Run, a Result, now fleet.Instant) {
	if a.Clock > 0 && w.Incarnation == a.Command.incarnation {
		w.Lease.ObserveClock(a.Clock, now)
	}
	m.Counters.Started++
	if r.Phase == fleet.AttemptSent {
		r.Phase = fleet.AttemptStarted
		r.StartedAt = now
		m.setStartSpeed(w, r, now)
	}
	m.recordDecision(Decision{
		Action: "started", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID, Age: now - r.PlacedAt,
	})
}

// handleRefusedStart handles the refusal of the only send of a start: the run has
// not taken place and never will.
func (m *Scheduler) handleRefusedStart(w *fleet.Worker, r *fleet.Run, reason platform.RefusalReason, now fleet.Instant) {
	m.Counters.Refused++
	if reason == platform.RefusedTicket {
		m.dropTicket(r.ID.StepID, w.ID)
		m.releaseAttempt(w, r, "the policy service's permission is over", now)
		return
	}
	w.AvoidUntil = max(w.AvoidUntil, now+refusalPause)
	m.releaseAttempt(w, r, "the worker refused the start ("+string(reason)+")", now)
}

// requestStop wants a run to end. A run whose start was not sent is released at once.
func (m *Scheduler) requestStop(w *fleet.Worker, r *fleet.Run, reason string, now fleet.Instant) {
	if r.Phase == fleet.AttemptUnsent {
		m.releaseAttempt(w, r, reason, now)
		return
	}
	if r.StopWanted {
		return
	}
	r.StopWanted = true
	m.stops[r] = &pendingStop{worker: w, nextSend: now}
	m.recordDecision(Decision{Action: "stop", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID, Reason: reason})
}

// sendStops sends the stops that are due.
func (m *Scheduler) sendStops(now fleet.Instant) {
	for r, s := range m.stops {
		if r.StopSent || now < s.nextSend || s.worker.Fenced || s.worker.Address == "" || r.Phase == fleet.AttemptSent {
			continue
		}
		r.StopSent = true
		m.commands = append(m.commands, &Command{
			Kind: CommandStop, Worker: s.worker.ID, To: s.worker.Endpoint(), Token: m.token, IssuedAt: now,
			Task: r.ID, Run: r.Run, incarnation: s.worker.Incarnation,
		})
	}
}

func (m *Scheduler) handleStopResult(w *fleet.Worker, a Result, now fleet.Instant) {
	r := w.Attempts[a.Command.Task]
	if r == nil || r.Run != a.Command.Run {
		return
	}
	r.StopSent = false
	s := m.stops[r]
	if a.Err != nil {
		if s != nil {
			s.nextSend = now + stopRetryDelay
		}
		return
	}
	if w.Incarnation == a.Command.incarnation {
		r.StopAckedAt = now
		delete(m.stops, r)
		return
	}
	if s != nil {
		s.nextSend = now
	}
}
