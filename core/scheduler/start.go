package scheduler

import (
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/platform"
)

// sendStart sends the start of a run whose placement is stored. The placement
// is checked again, because the store may have taken long.
func (m *Machine) sendStart(p placed, now fleet.Instant) {
	w, r := p.worker, p.run
	if w.Attempts[r.ID] != r || r.Phase != fleet.AttemptUnsent {
		return
	}
	e := m.ledger.Entry(r.ID.Job)
	switch {
	case e == nil || e.IsClosed() || r.StopWanted:
		m.lost(w, r, "the job was over before the start", now)
		return
	case !m.usable(w, now) || !m.serves(w, e.Job.Queue):
		m.lost(w, r, "the worker may not be used any more", now)
		return
	}
	r.Phase = fleet.AttemptSent
	m.order(p, e.Job.Payload, now)
}

func (m *Machine) order(p placed, payload string, now fleet.Instant) {
	w, r := p.worker, p.run
	r.Sends++
	t, _ := m.ledger.Entry(r.ID.Job).Task(r.ID)
	checkpoint := t.Checkpoint
	if r.Step.Gang {
		checkpoint = m.gangCheckpoint(r)
	}
	m.orders = append(m.orders, &Order{
		Kind: OrderStart, Worker: w.ID, To: w.Endpoint(), Token: m.token, Issued: now, life: w.Incarnation,
		Task: r.ID, Run: r.Run,
		Start: platform.StartCommand{
			AttemptKey: r.Key(), Token: m.token, Payload: payload, Checkpoint: checkpoint, Ticket: p.ticket,
			Until: w.Lease.Until(m.settings.Lease, now),
		},
	})
}

// gangCheckpoint returns the checkpoint that all members of a gang start with:
// the first member's that has one, which is valid for all.
func (m *Machine) gangCheckpoint(r *fleet.Run) string {
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

func (m *Machine) answeredStart(w *fleet.Worker, a Answer, now fleet.Instant) {
	r := w.Attempts[a.Order.Task]
	if r == nil || r.Run != a.Order.Run {
		return
	}
	reason := platform.RefusalOf(a.Err)
	switch {
	case a.Err == nil:
		m.startConfirmed(w, r, a, now)
	case reason != "" && r.Sends == 1 && r.Phase == fleet.AttemptSent:
		m.startRefused(w, r, reason, now)
	case r.Phase == fleet.AttemptSent && reason == "" && r.Sends < startAttempts && !r.StopWanted && !w.LeaseSuspended &&
		w.Incarnation == a.Order.life && m.wanted(r):
		// The same run may be sent again: the worker takes it once.
		m.note(Decision{What: "repeat start", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID, Reason: errText(a.Err)})
		m.order(placed{worker: w, run: r, ticket: a.Order.Start.Ticket}, a.Order.Start.Payload, now)
	case r.Phase == fleet.AttemptSent:
		r.Phase = fleet.AttemptUnresolved
		m.Counters.Unresolved++
		m.stop(w, r, "the start got no answer", now)
	}
}

// wanted reports whether the job of a run is still to be worked on.
func (m *Machine) wanted(r *fleet.Run) bool {
	e := m.ledger.Entry(r.ID.Job)
	return e != nil && !e.IsClosed()
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (m *Machine) startConfirmed(w *fleet.Worker, r *fleet.Run, a Answer, now fleet.Instant) {
	if a.Clock > 0 && w.Incarnation == a.Order.life {
		w.Lease.ObserveClock(a.Clock, now)
	}
	m.Counters.Started++
	if r.Phase == fleet.AttemptSent {
		r.Phase = fleet.AttemptStarted
		r.StartedAt = now
		m.startPace(w, r, now)
	}
	m.note(Decision{
		What: "started", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID, Age: now - r.PlacedAt,
	})
}

// startRefused handles the refusal of the only send of a start: the run has
// not taken place and never will.
func (m *Machine) startRefused(w *fleet.Worker, r *fleet.Run, reason platform.RefusalReason, now fleet.Instant) {
	m.Counters.Refused++
	if reason == platform.RefusedTicket {
		m.dropTicket(r.ID.StepID, w.ID)
		m.lost(w, r, "the policy service's permission is over", now)
		return
	}
	w.AvoidUntil = max(w.AvoidUntil, now+refusedPause)
	m.lost(w, r, "the worker refused the start ("+string(reason)+")", now)
}

// stop wants a run to end. A run whose start was not sent is released at once.
func (m *Machine) stop(w *fleet.Worker, r *fleet.Run, reason string, now fleet.Instant) {
	if r.Phase == fleet.AttemptUnsent {
		m.lost(w, r, reason, now)
		return
	}
	if r.StopWanted {
		return
	}
	r.StopWanted = true
	m.stops[r] = &stopState{worker: w, next: now}
	m.note(Decision{What: "stop", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID, Reason: reason})
}

// sendStops sends the stops that are due.
func (m *Machine) sendStops(now fleet.Instant) {
	for r, s := range m.stops {
		if r.StopSent || now < s.next || s.worker.Fenced || s.worker.Address == "" || r.Phase == fleet.AttemptSent {
			continue
		}
		r.StopSent = true
		m.orders = append(m.orders, &Order{
			Kind: OrderStop, Worker: s.worker.ID, To: s.worker.Endpoint(), Token: m.token, Issued: now,
			Task: r.ID, Run: r.Run, life: s.worker.Incarnation,
		})
	}
}

func (m *Machine) answeredStop(w *fleet.Worker, a Answer, now fleet.Instant) {
	r := w.Attempts[a.Order.Task]
	if r == nil || r.Run != a.Order.Run {
		return
	}
	r.StopSent = false
	s := m.stops[r]
	if a.Err != nil {
		if s != nil {
			s.next = now + retryStop
		}
		return
	}
	if w.Incarnation == a.Order.life {
		r.StopAckedAt = now
		delete(m.stops, r)
		return
	}
	if s != nil {
		s.next = now
	}
}
