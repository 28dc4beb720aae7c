package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

// sendHeartbeats renews the leases that are due and asks the workers what runs.
func (m *Scheduler) sendHeartbeats(now fleet.Instant) {
	if !m.IsConnected(now) {
		return
	}
	for _, w := range m.fleet.All() {
		c := m.heartbeats[w.ID]
		if c == nil || c.inProgress || now < c.next || w.Fenced || w.Address == "" {
			continue
		}
		if !w.Listed && len(w.Attempts) == 0 && w.LastRead == w.Stored {
			continue
		}
		c.inProgress = true
		m.Counters.Heartbeats++
		o := &Command{
			Kind: CommandHeartbeat, Worker: w.ID, To: w.Endpoint(), Token: m.token, IssuedAt: now, incarnation: w.Incarnation,
			Hold: platform.HeartbeatCommand{Token: m.token, LastStored: w.Stored},
		}
		if w.MissedHeartbeats == 0 && !w.LeaseSuspended && m.leaseBoundsStored {
			// A worker that does not answer gets no longer lease: its runs could
			// otherwise never be given up.
			o.Hold.Until = w.Lease.Until(m.settings.Lease, now)
		}
		if w.HeartbeatAnswered && !w.LeaseSuspended && w.LastRead == w.Stored {
			o.Hold.Wait = m.heartbeatWait(w)
		}
		m.commands = append(m.commands, o)
	}
}

// maxSharedHeartbeatWait is how long a worker may wait that has filling and serving tasks:
// a tail over its target must be answered within the platform's 4 s, and the
// figures are those of the last half second.
const maxSharedHeartbeatWait = 450 * time.Millisecond

func (m *Scheduler) heartbeatWait(w *fleet.Worker) time.Duration {
	if w.IsShared() {
		return min(maxSharedHeartbeatWait, m.settings.HeartbeatWait)
	}
	return m.settings.HeartbeatWait
}

// HandleResult takes the answer to an order.
func (m *Scheduler) HandleResult(a Result, now fleet.Instant) {
	if a.Command.Kind == CommandAdvise {
		m.handleAdviceResult(a, now)
		return
	}
	w := m.fleet.Worker(a.Command.Worker)
	if w == nil {
		return
	}
	m.recordFencing(w, a.Err)
	switch a.Command.Kind {
	case CommandHeartbeat:
		m.handleHeartbeatResult(w, a, now)
	case CommandStart:
		m.handleStartResult(w, a, now)
	case CommandStop:
		m.handleStopResult(w, a, now)
	case CommandThrottle:
		m.handleThrottleResult(w, a)
	}
}

func (m *Scheduler) recordFencing(w *fleet.Worker, err error) {
	if platform.RefusalOf(err) != platform.RefusedFenced || w.Fenced {
		return
	}
	w.Fenced = true
	m.fenced = true
	m.recordDecision(Decision{Action: "fenced", Worker: w.ID, Reason: "the worker has seen a higher token"})
}

func (m *Scheduler) handleHeartbeatResult(w *fleet.Worker, a Result, now fleet.Instant) {
	c := m.heartbeats[w.ID]
	c.inProgress = false
	if a.Err != nil {
		c.next = now + heartbeatRetryDelay
		w.MissedHeartbeats++
		if w.UnresponsiveSince == 0 {
			w.UnresponsiveSince = now
		}
		if platform.RefusalOf(a.Err) == platform.RefusedIncarnation {
			// Another worker answers at the address, so this one is gone.
			m.releaseAll(w, "another instance answers at the address", now)
		}
		return
	}
	m.applyReport(w, a, now)
	switch {
	case w.LastRead != w.Stored, w.LeaseSuspended:
		c.next = now + unstoredHeartbeatDelay
	case len(w.Attempts) == 0:
		c.next = now + idleHeartbeatInterval
	default:
		c.next = now
	}
}

// applyReport takes over a worker's state.
func (m *Scheduler) applyReport(w *fleet.Worker, a Result, now fleet.Instant) {
	rep := &a.Report
	if w.HeartbeatAnswered && rep.StartedUnixMS != w.Incarnation {
		m.handleRestart(w, now)
	}
	first := !w.HeartbeatAnswered
	w.HeartbeatAnswered, w.Incarnation, w.LastContact, w.MissedHeartbeats, w.UnresponsiveSince = true, rep.StartedUnixMS, now, 0, 0
	w.Lease.ObserveClock(rep.Clock, now)
	if first {
		// The lease is renewed with the next hold, now that the clock is known.
		m.needsPlan = true
	}
	if rep.Draining && w.LeavesAt == 0 {
		w.LeavesAt = now + rep.Remaining
		m.stopLongRunning(w, now)
	}
	for _, end := range rep.Completion {
		if end.Number > w.LastRead {
			w.LastRead = end.Number
			m.hasUnstoredCompletions = true
			m.handleCompletion(w, end, now)
		}
	}
	m.reconcileAttempts(w, a, now)
	m.adjustSpeed(w, now)
	m.stopStragglers(w, now)
}

// reconcileAttempts compares a report's runs with the book.
func (m *Scheduler) reconcileAttempts(w *fleet.Worker, a Result, now fleet.Instant) {
	present := make(map[job.TaskID]int, len(a.Report.Running))
	for _, row := range a.Report.Running {
		id, err := job.ParseTaskID(row.Task)
		if err != nil {
			m.recordDecision(Decision{Action: "ignore run", Task: row.Task, Worker: w.ID, Reason: err.Error()})
			continue
		}
		present[id] = row.Run
		m.confirmAttempt(w, id, row, now)
	}
	if len(a.Report.Completion) >= platform.MaxCompletions {
		return // More ends follow; what is absent may be among them.
	}
	for id, r := range w.Attempts {
		if run, ok := present[id]; !ok || run != r.Run {
			m.handleMissingAttempt(w, r, a.Command.IssuedAt, now)
		}
	}
}

// confirmAttempt takes note of a run that the worker executes.
func (m *Scheduler) confirmAttempt(w *fleet.Worker, id job.TaskID, row platform.Running, now fleet.Instant) {
	r := w.Attempts[id]
	if r == nil || r.Run != row.Run {
		m.stopOrphan(w, id, row, now)
		return
	}
	if r.Phase != fleet.AttemptStarted {
		r.Phase = fleet.AttemptStarted
		r.StartedAt = now
	}
	recordProgress(r, row.Percent, now)
	r.Observed = row.Observed
	m.ledger.Checkpoint(id, r.Run, row.Checkpoint)
}

// stopOrphan stops a run that the book does not have: a start that was carried out
// late, or a run of a job that is over.
func (m *Scheduler) stopOrphan(w *fleet.Worker, id job.TaskID, row platform.Running, now fleet.Instant) {
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
	m.requestStop(w, r, "no placement explains the run", now)
}

// handleMissingAttempt handles a run that a complete report does not list.
func (m *Scheduler) handleMissingAttempt(w *fleet.Worker, r *fleet.Run, issued, now fleet.Instant) {
	switch r.Phase {
	case fleet.AttemptUnsent, fleet.AttemptSent:
		return
	case fleet.AttemptInherited:
		// The report carried this owner's token, which fences a late start of
		// the former owner.
		m.releaseAttempt(w, r, "the former owner's start did not take place", now)
	case fleet.AttemptStarted:
		if r.StartedAt < issued {
			m.releaseAttempt(w, r, "the worker no longer lists the run", now)
		}
	case fleet.AttemptUnresolved:
		if r.StopAckedAt > 0 && r.StopAckedAt < issued {
			m.releaseAttempt(w, r, "the start did not take place", now)
			return
		}
		m.requestStop(w, r, "the start got no answer", now)
	}
}

// handleCompletion handles the end of a run.
func (m *Scheduler) handleCompletion(w *fleet.Worker, end platform.Completion, now fleet.Instant) {
	id, err := job.ParseTaskID(end.Task)
	if err != nil {
		m.recordDecision(Decision{Action: "ignore end", Task: end.Task, Worker: w.ID, Reason: err.Error()})
		return
	}
	m.needsPlan = true
	if r := w.Attempts[id]; r != nil && r.Run == end.Run {
		m.updateHealth(w, r, end.Kind, now)
		if r.Step != nil && r.Step.Fills {
			w.BestEffortFinishedAt = now
		}
		m.removeAttempt(w, r)
	}
	e := m.ledger.Entry(id.Job)
	if e == nil {
		return
	}
	closed := e.IsClosed()
	m.ledger.RecordCompletion(id, end.Run, end.Kind, end.Checkpoint)
	m.countCompletion(end.Kind)
	m.recordDecision(Decision{Action: "end", Job: id.Job, Task: end.Task, Run: end.Run, Worker: w.ID, Reason: string(end.Kind)})
	if !closed && e.IsClosed() {
		m.closed = append(m.closed, closedJob{id: id.Job, closedAt: now})
		m.recordDecision(Decision{Action: "close", Job: id.Job, Reason: string(e.State()), Age: now - m.accepted[id.Job]})
		m.stopAttemptsOf(e, now)
	}
	if t, ok := e.Task(id); ok && t.Phase == ledger.Done {
		m.stopNewerAttempt(w, id, t, end.Run, now)
	}
}

// stopNewerAttempt stops a newer run of a task that has ended as done in an older one.
func (m *Scheduler) stopNewerAttempt(w *fleet.Worker, id job.TaskID, t ledger.Task, run int, now fleet.Instant) {
	if t.Run == run {
		return
	}
	other := m.fleet.Worker(t.Worker)
	if other == nil {
		return
	}
	if r := other.Attempts[id]; r != nil && (other != w || r.Run != run) {
		m.requestStop(other, r, "an earlier run is done", now)
	}
}

func (m *Scheduler) countCompletion(how platform.CompletionKind) {
	switch how {
	case platform.CompletionDone:
		m.Counters.Done++
	case platform.CompletionFailed:
		m.Counters.Failed++
	case platform.CompletionLapsed:
		m.Counters.Expired++
	default:
		m.Counters.Stopped++
	}
}

// updateHealth lets the worker's health learn from an end.
func (m *Scheduler) updateHealth(w *fleet.Worker, r *fleet.Run, how platform.CompletionKind, now fleet.Instant) {
	if r.Step == nil || r.StopWanted {
		return
	}
	switch how {
	case platform.CompletionDone:
		w.Health.RecordDone(now-r.StartedAt, r.Step.Estimate)
		if r.Step.Fills {
			m.throughput.addFinishedTask(r.Step, now-r.StartedAt, now)
		}
	case platform.CompletionFailed:
		if pause := w.Health.RecordFailure(); pause > 0 {
			w.AvoidUntil = now + pause
			m.recordDecision(Decision{Action: "avoid worker", Worker: w.ID, Reason: "it fails what it starts", Age: pause})
		}
	}
}

// removeAttempt takes a run off its worker.
func (m *Scheduler) removeAttempt(w *fleet.Worker, r *fleet.Run) {
	w.Remove(r)
	delete(m.stops, r)
}

// releaseAttempt ends a run that surely executes no more and left no end.
func (m *Scheduler) releaseAttempt(w *fleet.Worker, r *fleet.Run, reason string, now fleet.Instant) {
	m.removeAttempt(w, r)
	m.needsPlan = true
	if m.ledger.Lost(r.ID, r.Run) {
		m.Counters.Lost++
		m.recordDecision(Decision{
			Action: "release", Job: r.ID.Job, Task: r.ID.String(), Run: r.Run, Worker: w.ID,
			Reason: reason, Age: now - r.PlacedAt,
		})
	}
}

// handleRestart handles a worker that has started again under its id: it holds nothing
// of before and counts its ends anew.
func (m *Scheduler) handleRestart(w *fleet.Worker, now fleet.Instant) {
	w.Stored, w.LastRead, w.LeavesAt = 0, 0, 0
	w.Health = fleet.Health{}
	w.Lease.ResetClock()
	for _, r := range w.Attempts {
		switch r.Phase {
		case fleet.AttemptUnsent:
		case fleet.AttemptSent, fleet.AttemptUnresolved:
			// The start may yet take place in the new life.
			r.Phase = fleet.AttemptUnresolved
			m.requestStop(w, r, "the worker started again while the start was under way", now)
		default:
			m.releaseAttempt(w, r, "the worker started again", now)
		}
	}
}

// releaseAll handles a worker that surely exists no more.
func (m *Scheduler) releaseAll(w *fleet.Worker, reason string, now fleet.Instant) {
	for _, r := range w.Attempts {
		m.releaseAttempt(w, r, reason, now)
	}
	w.HeartbeatAnswered = false
}

// releaseExpired releases the runs of workers whose lease is surely over.
func (m *Scheduler) releaseExpired(now fleet.Instant) {
	for _, w := range m.fleet.All() {
		if len(w.Attempts) == 0 || !w.Lease.IsExpired(now) {
			continue
		}
		for _, r := range w.Attempts {
			if r.Phase == fleet.AttemptUnsent {
				continue
			}
			m.releaseAttempt(w, r, "the worker's lease is over", now)
		}
	}
}

// stopLongRunning moves long-running tasks off a worker that will leave.
func (m *Scheduler) stopLongRunning(w *fleet.Worker, now fleet.Instant) {
	for _, r := range w.Attempts {
		if r.Step != nil && r.Step.LongRunning {
			m.requestStop(w, r, "the worker is leaving", now)
		}
	}
}

// CountUnresponsive returns how many listed workers have not been heard for the given
// time, of how many.
func (m *Scheduler) CountUnresponsive(now fleet.Instant, after time.Duration) (silent, listed int) {
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
