package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

// hold renews the leases that are due and asks the workers what runs.
func (m *Machine) hold(now fleet.Instant) {
	if !m.Connected(now) {
		return
	}
	for _, w := range m.fleet.All() {
		c := m.contacts[w.ID]
		if c == nil || c.holding || now < c.nextHold || w.Fenced || w.Address == "" {
			continue
		}
		if !w.Listed && len(w.Attempts) == 0 && w.LastRead == w.Stored {
			continue
		}
		c.holding = true
		m.Counters.Holds++
		o := &Order{
			Kind: OrderHold, Worker: w.ID, To: w.Endpoint(), Token: m.token, Issued: now, life: w.Incarnation,
			Hold: platform.HeartbeatCommand{Token: m.token, LastStored: w.Stored},
		}
		if w.MissedHeartbeats == 0 && !w.LeaseSuspended && m.boundsStored {
			// A worker that does not answer gets no longer lease: its runs could
			// otherwise never be given up.
			o.Hold.Until = w.Lease.Until(m.settings.Lease, now)
		}
		if w.HeartbeatAnswered && !w.LeaseSuspended && w.LastRead == w.Stored {
			o.Hold.Wait = m.holdWait(w)
		}
		m.orders = append(m.orders, o)
	}
}

// sharedWait is how long a worker may wait that has filling and serving tasks:
// a tail over its target must be answered within the platform's 4 s, and the
// figures are those of the last half second.
const sharedWait = 450 * time.Millisecond

func (m *Machine) holdWait(w *fleet.Worker) time.Duration {
	if w.IsShared() {
		return min(sharedWait, m.settings.HoldWait)
	}
	return m.settings.HoldWait
}

// Answered takes the answer to an order.
func (m *Machine) Answered(a Answer, now fleet.Instant) {
	if a.Order.Kind == OrderAdvise {
		m.answeredAdvice(a, now)
		return
	}
	w := m.fleet.Worker(a.Order.Worker)
	if w == nil {
		return
	}
	m.noteFence(w, a.Err)
	switch a.Order.Kind {
	case OrderHold:
		m.answeredHold(w, a, now)
	case OrderStart:
		m.answeredStart(w, a, now)
	case OrderStop:
		m.answeredStop(w, a, now)
	case OrderPace:
		m.answeredPace(w, a)
	}
}

func (m *Machine) noteFence(w *fleet.Worker, err error) {
	if platform.RefusalOf(err) != platform.RefusedFenced || w.Fenced {
		return
	}
	w.Fenced = true
	m.fenced = true
	m.note(Decision{What: "fenced", Worker: w.ID, Reason: "the worker has seen a higher token"})
}

func (m *Machine) answeredHold(w *fleet.Worker, a Answer, now fleet.Instant) {
	c := m.contacts[w.ID]
	c.holding = false
	if a.Err != nil {
		c.nextHold = now + retryHold
		w.MissedHeartbeats++
		if w.UnresponsiveSince == 0 {
			w.UnresponsiveSince = now
		}
		if platform.RefusalOf(a.Err) == platform.RefusedIncarnation {
			// Another worker answers at the address, so this one is gone.
			m.gone(w, "another instance answers at the address", now)
		}
		return
	}
	m.report(w, a, now)
	switch {
	case w.LastRead != w.Stored, w.LeaseSuspended:
		c.nextHold = now + unstoredHold
	case len(w.Attempts) == 0:
		c.nextHold = now + idleHold
	default:
		c.nextHold = now
	}
}

// report takes over a worker's state.
func (m *Machine) report(w *fleet.Worker, a Answer, now fleet.Instant) {
	rep := &a.Report
	if w.HeartbeatAnswered && rep.StartedUnixMS != w.Incarnation {
		m.reborn(w, now)
	}
	first := !w.HeartbeatAnswered
	w.HeartbeatAnswered, w.Incarnation, w.LastContact, w.MissedHeartbeats, w.UnresponsiveSince = true, rep.StartedUnixMS, now, 0, 0
	w.Lease.ObserveClock(rep.Clock, now)
	if first {
		// The lease is renewed with the next hold, now that the clock is known.
		m.planWanted = true
	}
	if rep.Draining && w.LeavesAt == 0 {
		w.LeavesAt = now + rep.Remaining
		m.leave(w, now)
	}
	for _, end := range rep.Completion {
		if end.Number > w.LastRead {
			w.LastRead = end.Number
			m.unstored = true
			m.ended(w, end, now)
		}
	}
	m.running(w, a, now)
	m.pace(w, now)
	m.stragglers(w, now)
}

// running compares a report's runs with the book.
func (m *Machine) running(w *fleet.Worker, a Answer, now fleet.Instant) {
	present := make(map[job.TaskID]int, len(a.Report.Running))
	for _, row := range a.Report.Running {
		id, err := job.ParseTaskID(row.Task)
		if err != nil {
			m.note(Decision{What: "ignore run", Task: row.Task, Worker: w.ID, Reason: err.Error()})
			continue
		}
		present[id] = row.Run
		m.confirm(w, id, row, now)
	}
	if len(a.Report.Completion) >= platform.MaxCompletions {
		return // More ends follow; what is absent may be among them.
	}
	for id, r := range w.Attempts {
		if run, ok := present[id]; !ok || run != r.Run {
			m.absent(w, r, a.Order.Issued, now)
		}
	}
}

// confirm takes note of a run that the worker executes.
func (m *Machine) confirm(w *fleet.Worker, id job.TaskID, row platform.Running, now fleet.Instant) {
	r := w.Attempts[id]
	if r == nil || r.Run != row.Run {
		m.orphan(w, id, row, now)
		return
	}
	if r.Phase != fleet.AttemptStarted {
		r.Phase = fleet.AttemptStarted
		r.StartedAt = now
	}
	progress(r, row.Percent, now)
	r.Observed = row.Observed
	m.ledger.Checkpoint(id, r.Run, row.Checkpoint)
}

// orphan stops a run that the book does not have: a start that was carried out
// late, or a run of a job that is over.
func (m *Machine) orphan(w *fleet.Worker, id job.TaskID, row platform.Running, now fleet.Instant) {
	if r := w.Attempts[id]; r != nil {
		// A lower run of a task that was placed here again; the worker ends it
		// by itself or has refused the newer one.
		return
	}
	r := &fleet.Run{ID: id, Run: row.Run, Phase: fleet.AttemptStarted, StartedAt: now}
	if e := m.ledger.Entry(id.Job); e != nil && id.Step < len(e.Job.Steps) {
		r.Need = e.Job.Steps[id.Step].ReservedCapacity()
	}
	w.Add(r)
	m.stop(w, r, "no placement explains the run", now)
}

// absent handles a run that a complete report does not list.
func (m *Machine) absent(w *fleet.Worker, r *fleet.Run, issued, now fleet.Instant) {
	switch r.Phase {
	case fleet.AttemptUnsent, fleet.AttemptSent:
		return
	case fleet.AttemptInherited:
		// The report carried this owner's token, which fences a late start of
		// the former owner.
		m.lost(w, r, "the former owner's start did not take place", now)
	case fleet.AttemptStarted:
		if r.StartedAt < issued {
			m.lost(w, r, "the worker no longer lists the run", now)
		}
	case fleet.AttemptUnresolved:
		if r.StopAckedAt > 0 && r.StopAckedAt < issued {
			m.lost(w, r, "the start did not take place", now)
			return
		}
		m.stop(w, r, "the start got no answer", now)
	}
}

// ended handles the end of a run.
func (m *Machine) ended(w *fleet.Worker, end platform.Completion, now fleet.Instant) {
	id, err := job.ParseTaskID(end.Task)
	if err != nil {
		m.note(Decision{What: "ignore end", Task: end.Task, Worker: w.ID, Reason: err.Error()})
		return
	}
	m.planWanted = true
	if r := w.Attempts[id]; r != nil && r.Run == end.Run {
		m.rate(w, r, end.Kind, now)
		if r.Step != nil && r.Step.Fills {
			w.BestEffortFinishedAt = now
		}
		m.remove(w, r)
	}
	e := m.ledger.Entry(id.Job)
	if e == nil {
		return
	}
	closed := e.IsClosed()
	m.ledger.RecordCompletion(id, end.Run, end.Kind, end.Checkpoint)
	m.count(end.Kind)
	m.note(Decision{What: "end", Job: id.Job, Task: end.Task, Run: end.Run, Worker: w.ID, Reason: string(end.Kind)})
	if !closed && e.IsClosed() {
		m.closed = append(m.closed, closedJob{id: id.Job, at: now})
		m.note(Decision{What: "close", Job: id.Job, Reason: string(e.State()), Age: now - m.accepted[id.Job]})
		m.stopJob(e, now)
	}
	if t, ok := e.Task(id); ok && t.Phase == ledger.Done {
		m.stopOther(w, id, t, end.Run, now)
	}
}

// stopOther stops a newer run of a task that has ended as done in an older one.
func (m *Machine) stopOther(w *fleet.Worker, id job.TaskID, t ledger.Task, run int, now fleet.Instant) {
	if t.Run == run {
		return
	}
	other := m.fleet.Worker(t.Worker)
	if other == nil {
		return
	}
	if r := other.Attempts[id]; r != nil && (other != w || r.Run != run) {
		m.stop(other, r, "an earlier run is done", now)
	}
}

func (m *Machine) count(how platform.CompletionKind) {
	switch how {
	case platform.CompletionDone:
		m.Counters.Done++
	case platform.CompletionFailed:
		m.Counters.Failed++
	case platform.CompletionLapsed:
		m.Counters.Lapsed++
	default:
		m.Counters.Stopped++
	}
}

// rate lets the worker's health learn from an end.
func (m *Machine) rate(w *fleet.Worker, r *fleet.Run, how platform.CompletionKind, now fleet.Instant) {
	if r.Step == nil || r.StopWanted {
		return
	}
	switch how {
	case platform.CompletionDone:
		w.Health.RecordDone(now-r.StartedAt, r.Step.Estimate)
		if r.Step.Fills {
			m.rates.done(r.Step, now-r.StartedAt, now)
		}
	case platform.CompletionFailed:
		if pause := w.Health.RecordFailure(); pause > 0 {
			w.AvoidUntil = now + pause
			m.note(Decision{What: "avoid worker", Worker: w.ID, Reason: "it fails what it starts", Age: pause})
		}
	}
}

// remove takes a run off its worker.
func (m *Machine) remove(w *fleet.Worker, r *fleet.Run) {
	w.Remove(r)
	delete(m.stops, r)
}

// lost ends a run that surely executes no more and left no end.
func (m *Machine) lost(w *fleet.Worker, r *fleet.Run, reason string, now fleet.Instant) {
	m.remove(w, r)
	m.planWanted = true
	if m.ledger.Lost(r.ID, r.Run) {
		m.Counters.Lost++
		m.note(Decision{
			What: "release", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID,
			Reason: reason, Age: now - r.PlacedAt,
		})
	}
}

// reborn handles a worker that has started again under its id: it holds nothing
// of before and counts its ends anew.
func (m *Machine) reborn(w *fleet.Worker, now fleet.Instant) {
	w.Stored, w.LastRead, w.LeavesAt = 0, 0, 0
	w.Health = fleet.Health{}
	w.Lease.ResetClock()
	for _, r := range w.Attempts {
		switch r.Phase {
		case fleet.AttemptUnsent:
		case fleet.AttemptSent, fleet.AttemptUnresolved:
			// The start may yet take place in the new life.
			r.Phase = fleet.AttemptUnresolved
			m.stop(w, r, "the worker started again while the start was under way", now)
		default:
			m.lost(w, r, "the worker started again", now)
		}
	}
}

// gone handles a worker that surely exists no more.
func (m *Machine) gone(w *fleet.Worker, reason string, now fleet.Instant) {
	for _, r := range w.Attempts {
		m.lost(w, r, reason, now)
	}
	w.HeartbeatAnswered = false
}

// lapse releases the runs of workers whose lease is surely over.
func (m *Machine) lapse(now fleet.Instant) {
	for _, w := range m.fleet.All() {
		if len(w.Attempts) == 0 || !w.Lease.IsExpired(now) {
			continue
		}
		for _, r := range w.Attempts {
			if r.Phase == fleet.AttemptUnsent {
				continue
			}
			m.lost(w, r, "the worker's lease is over", now)
		}
	}
}

// leave moves long-running tasks off a worker that will leave.
func (m *Machine) leave(w *fleet.Worker, now fleet.Instant) {
	for _, r := range w.Attempts {
		if r.Step != nil && r.Step.LongRunning {
			m.stop(w, r, "the worker is leaving", now)
		}
	}
}

// Silent returns how many listed workers have not been heard for the given
// time, of how many.
func (m *Machine) Silent(now fleet.Instant, after time.Duration) (silent, listed int) {
	for _, w := range m.fleet.All() {
		if w.Listed {
			listed++
			if now-w.LastContact > after {
				silent++
			}
		}
	}
	return silent, listed
}
