package shard

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// recoverJournal builds the state that the log knows.
func (m *StateMachine) recoverJournal(j *journal.Shard) {
	if j == nil {
		return
	}
	for id, e := range j.Finished {
		m.requests[id] = &request{
			task:    domain.Task{ID: id},
			state:   stateEnded,
			outcome: e.Outcome,
			endedAt: m.now,
		}
		m.ended = append(m.ended, id)
	}
	for _, job := range j.Jobs {
		m.addRequest(m.recoveredJob(job))
	}
	for id, i := range j.Intents {
		if _, known := m.requests[id]; known {
			continue
		}
		r := &request{bodyHash: i.BodyHash, state: stateNew, logged: true, inherited: true}
		r.task = domain.Task{ID: id, Kind: domain.KindUrgent}
		m.fire(r, eventRecover)
		m.addRequest(r)
	}
	for id, moved := range j.Moved {
		m.addRequest(m.recoveredMove(moved))
		if m.requests[id].arrived {
			delete(m.live, id)
		}
	}
}

func (m *StateMachine) recoveredJob(job journal.Job) *request {
	r := &request{
		task:         job.Task,
		bodyHash:     BodyHash(job.Task),
		described:    true,
		logged:       true,
		acknowledged: true,
		state:        stateNew,
		attempt:      job.Attempt,
		checkpoint:   job.Checkpoint,
		moves:        job.Moves,
		inherited:    true,
	}
	m.fire(r, eventRecover)
	return r
}

func (m *StateMachine) recoveredMove(moved journal.MoveState) *request {
	r := &request{task: domain.Task{ID: moved.ID, Kind: domain.KindUrgent}, state: stateNew, logged: true}
	r.target, r.moveLogged, r.moves = moved.Target, true, moved.Moves
	r.arrived = moved.MoveConfirmed
	if moved.Job == nil {
		r.arrived = true
		m.fire(r, eventDepart)
		return r
	}
	r.task, r.described, r.acknowledged = moved.Job.Task, true, true
	r.bodyHash = BodyHash(r.task)
	r.attempt, r.checkpoint = moved.Job.Attempt, moved.Job.Checkpoint
	m.fire(r, eventMove)
	m.moving[moved.ID] = m.now
	return r
}

// reconcileTasks takes the task list of a worker that has just accepted this epoch.
func (m *StateMachine) reconcileTasks(w *worker, list []platform.TaskStatus) {
	present := map[domain.RequestID]bool{}
	for _, s := range list {
		present[s.Task.ID] = true
		m.adoptTask(w, s)
		m.applyStatus(w, s)
	}
	for _, id := range sortedIDs(w.tasks) {
		if r, ok := m.requests[id]; ok && !present[id] {
			// The worker restarted and lost its records with the tasks.
			m.handleLost(r, "the worker restarted")
		}
	}
}

// adoptTask learns of a task that an earlier owner started without a log record.
func (m *StateMachine) adoptTask(w *worker, s platform.TaskStatus) {
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
		m.detectReturn(r, s)
		return
	}
	r = &request{
		task: s.Task, bodyHash: BodyHash(s.Task), described: true, state: stateNew, inherited: !m.recovered, moves: s.Moves,
	}
	m.fire(r, eventRecover)
	m.addRequest(r)
}

// detectReturn notices that a task which the log shows as moved away was taken back
// by an earlier owner without a log record: the worker has a later move.
func (m *StateMachine) detectReturn(r *request, s platform.TaskStatus) {
	left := r.state == stateMoved || r.state == stateMoving
	if !left || s.Moves <= r.moves {
		return
	}
	m.fire(r, eventReturn)
	m.fire(r, eventRecover)
	m.live[r.task.ID] = r
	delete(m.moving, r.task.ID)
	r.task, r.bodyHash, r.described = s.Task, BodyHash(s.Task), true
	r.moves, r.inherited = s.Moves, !m.recovered
	r.arrived, r.logged, r.moveLogged = false, false, false
}

// resolveRecovery decides about requests that no worker has reported, once the
// workers that may run them cannot do so any more, and notes when requests can
// be taken.
func (m *StateMachine) resolveRecovery() {
	if !m.ready && m.canServe() {
		m.ready = true
		m.replayDeferredCalls()
	}
	if m.recovered || !m.unreportedTasksEnded() {
		return
	}
	m.recovered = true
	for _, r := range m.sortedLive() {
		r.inherited = false
		if r.state == stateRecovering {
			m.resolveUnreported(r)
		}
	}
}

// canServe reports whether every worker was asked, or the wait for those that
// do not answer is over.
func (m *StateMachine) canServe() bool {
	if !m.registered || !m.configured {
		return false
	}
	if m.now-m.startedAt >= maxRecoveryWait {
		return true
	}
	for _, w := range m.workers {
		if !w.attachAnswered {
			return false
		}
	}
	return true
}

// unreportedTasksEnded reports whether a task that no attached worker has reported surely
// runs nowhere.
func (m *StateMachine) unreportedTasksEnded() bool {
	if !m.ready {
		return false
	}
	if m.handover && m.hasAttachedToAll() {
		return true
	}
	return m.majorityAttachedAt != 0 && m.now-m.majorityAttachedAt >= TakeoverWait
}

func (m *StateMachine) hasAttachedToAll() bool {
	for _, w := range m.workers {
		if !w.attachedOnce {
			return false
		}
	}
	return true
}

func (m *StateMachine) resolveUnreported(r *request) {
	if r.isUrgent() {
		m.markUncertain(r, "an earlier owner may have started it on a worker that was lost")
		return
	}
	r.attempt += unseenAttemptGap
	m.explain(r.task.ID, "no worker runs it after the change of owner")
	m.requeue(r)
}

// deferCall keeps a call until the state is recovered.
func (m *StateMachine) deferCall(ev Event, budget time.Duration) {
	if budget <= 0 {
		budget = maxRecoveryWait
	}
	m.deferred = append(m.deferred, deferredCall{event: ev, expiresAt: m.now + budget})
}

func (m *StateMachine) replayDeferredCalls() {
	deferred := m.deferred
	m.deferred = nil
	for _, h := range deferred {
		if m.now >= h.expiresAt {
			m.answerDeferred(h, "the shard's state was not recovered in time")
			continue
		}
		if sub, ok := h.event.(Submitted); ok && sub.Budget > 0 {
			sub.Budget = h.expiresAt - m.now
			h.event = sub
		}
		m.dispatch(h.event)
	}
}

func (m *StateMachine) expireDeferredCalls() {
	kept := m.deferred[:0]
	for _, h := range m.deferred {
		if m.now < h.expiresAt {
			kept = append(kept, h)
			continue
		}
		m.answerDeferred(h, "the shard's state was not recovered in time")
	}
	m.deferred = kept
}

// answerDeferred answers a call that this owner has not looked at. An earlier
// owner may have run the request.
func (m *StateMachine) answerDeferred(h deferredCall, why string) {
	switch e := h.event.(type) {
	case Submitted:
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.Task.ID, why)})
	case Queried:
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.ID, why)})
	case Cancelled:
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.ID, why)})
	}
}
