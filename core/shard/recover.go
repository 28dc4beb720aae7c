package shard

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// recoverJournal builds the state that the log knows.
func (m *Machine) recoverJournal(j *journal.Shard) {
	if j == nil {
		return
	}
	for id, e := range j.Ended {
		m.requests[id] = &request{
			task:    domain.Task{ID: id},
			state:   stateEnded,
			outcome: e.Outcome,
			endedAt: m.now,
		}
		m.ended = append(m.ended, id)
	}
	for _, job := range j.Jobs {
		m.add(m.recovering(job))
	}
	for id, i := range j.Intents {
		if _, known := m.requests[id]; known {
			continue
		}
		r := &request{body: i.Body, state: stateNew, logged: true, inherited: true}
		r.task = domain.Task{ID: id, Kind: domain.KindUrgent}
		m.fire(r, eventRecover)
		m.add(r)
	}
	for id, moved := range j.Moved {
		m.add(m.recoveredMove(moved))
		if m.requests[id].arrived {
			delete(m.live, id)
		}
	}
}

func (m *Machine) recovering(job journal.Job) *request {
	r := &request{
		task:       job.Task,
		body:       BodyHash(job.Task),
		described:  true,
		logged:     true,
		kept:       true,
		state:      stateNew,
		attempt:    job.Attempt,
		checkpoint: job.Checkpoint,
		moves:      job.Moves,
		inherited:  true,
	}
	m.fire(r, eventRecover)
	return r
}

func (m *Machine) recoveredMove(moved journal.KnownMove) *request {
	r := &request{task: domain.Task{ID: moved.ID, Kind: domain.KindUrgent}, state: stateNew, logged: true}
	r.target, r.moveLogged, r.moves = moved.Target, true, moved.Moves
	r.arrived = moved.Arrived
	if moved.Job == nil {
		r.arrived = true
		m.fire(r, eventDepart)
		return r
	}
	r.task, r.described, r.kept = moved.Job.Task, true, true
	r.body = BodyHash(r.task)
	r.attempt, r.checkpoint = moved.Job.Attempt, moved.Job.Checkpoint
	m.fire(r, eventMove)
	m.moving[moved.ID] = m.now
	return r
}

// reconcile takes the task list of a worker that has just accepted this epoch.
func (m *Machine) reconcile(w *worker, list []platform.TaskStatus) {
	present := map[domain.RequestID]bool{}
	for _, s := range list {
		present[s.Task.ID] = true
		m.adopt(w, s)
		m.reported(w, s)
	}
	for _, id := range sortedIDs(w.tasks) {
		if r, ok := m.requests[id]; ok && !present[id] {
			// The worker restarted and lost its records with the tasks.
			m.lost(r, "the worker restarted")
		}
	}
}

// adopt learns of a task that an earlier owner started without a log record.
func (m *Machine) adopt(w *worker, s platform.TaskStatus) {
	// A record of a start that never came holds no task description.
	if s.State == platform.TaskNeverStarted {
		return
	}
	id := s.Task.ID
	r, known := m.requests[id]
	if known && !r.described && r.state == stateRecovering {
		r.task, r.described = s.Task, true
		return
	}
	if known {
		m.cameBack(r, s)
		return
	}
	r = &request{
		task: s.Task, body: BodyHash(s.Task), described: true, state: stateNew, inherited: !m.recovered, moves: s.Moves,
	}
	m.fire(r, eventRecover)
	m.add(r)
}

// cameBack notices that a task which the log shows as moved away was taken back
// by an earlier owner without a log record: the worker has a later move.
func (m *Machine) cameBack(r *request, s platform.TaskStatus) {
	left := r.state == stateMoved || r.state == stateMoving
	if !left || s.Moves <= r.moves {
		return
	}
	m.fire(r, eventReturn)
	m.fire(r, eventRecover)
	m.live[r.task.ID] = r
	delete(m.moving, r.task.ID)
	r.task, r.body, r.described = s.Task, BodyHash(s.Task), true
	r.moves, r.inherited = s.Moves, !m.recovered
	r.arrived, r.logged, r.moveLogged = false, false, false
}

// settleRecovery decides about requests that no worker has reported, once the
// workers that may run them cannot do so any more, and notes when requests can
// be taken.
func (m *Machine) settleRecovery() {
	if !m.ready && m.canServe() {
		m.ready = true
		m.answerHeldCalls()
	}
	if m.recovered || !m.tasksOver() {
		return
	}
	m.recovered = true
	for _, r := range m.sortedLive() {
		r.inherited = false
		if r.state == stateRecovering {
			m.settleUnseen(r)
		}
	}
}

// canServe reports whether every worker was asked, or the wait for those that
// do not answer is over.
func (m *Machine) canServe() bool {
	if !m.listed || !m.configured {
		return false
	}
	if m.now-m.startedAt >= recoveryLimit {
		return true
	}
	for _, w := range m.workers {
		if !w.tried {
			return false
		}
	}
	return true
}

// tasksOver reports whether a task that no attached worker has reported surely
// runs nowhere.
func (m *Machine) tasksOver() bool {
	if !m.ready {
		return false
	}
	if m.handover && m.allAttached() {
		return true
	}
	return m.majorityAt != 0 && m.now-m.majorityAt >= TakeoverWait
}

func (m *Machine) allAttached() bool {
	for _, w := range m.workers {
		if !w.attachedOnce {
			return false
		}
	}
	return true
}

func (m *Machine) settleUnseen(r *request) {
	if r.urgent() {
		m.uncertain(r, "an earlier owner may have started it on a worker that was lost")
		return
	}
	r.attempt += unseenAttempts
	m.explain(r.task.ID, "no worker runs it after the change of owner")
	m.requeue(r)
}

// hold keeps a call until the state is recovered.
func (m *Machine) hold(ev Event, budget time.Duration) {
	if budget <= 0 {
		budget = recoveryLimit
	}
	m.held = append(m.held, heldCall{event: ev, expiresAt: m.now + budget})
}

func (m *Machine) answerHeldCalls() {
	held := m.held
	m.held = nil
	for _, h := range held {
		if m.now >= h.expiresAt {
			m.answerHeld(h, "the shard's state was not recovered in time")
			continue
		}
		if sub, ok := h.event.(Submitted); ok && sub.Budget > 0 {
			sub.Budget = h.expiresAt - m.now
			h.event = sub
		}
		m.dispatch(h.event)
	}
}

func (m *Machine) expireHeld() {
	kept := m.held[:0]
	for _, h := range m.held {
		if m.now < h.expiresAt {
			kept = append(kept, h)
			continue
		}
		m.answerHeld(h, "the shard's state was not recovered in time")
	}
	m.held = kept
}

// answerHeld answers a call that this owner has not looked at. An earlier
// owner may have run the request.
func (m *Machine) answerHeld(h heldCall, why string) {
	switch e := h.event.(type) {
	case Submitted:
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.Task.ID, why)})
	case Queried:
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.ID, why)})
	case Cancelled:
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.ID, why)})
	}
}
