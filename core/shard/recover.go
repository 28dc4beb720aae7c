package shard

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// recoverJournal restores the state from what the log holds of the shard.
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
		if m.requests[id].moveConfirmed {
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
	r.moveConfirmed = moved.MoveConfirmed
	if moved.Job == nil {
		// The move is confirmed, or it is that of an urgent request, which is not
		// offered again.
		r.moveConfirmed = true
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

// reconcileTasks processes the task list that a worker reports when this owner
// attaches to it.
func (m *StateMachine) reconcileTasks(w *worker, list []platform.TaskStatus) {
	present := map[domain.RequestID]bool{}
	for _, s := range list {
		present[s.Task.ID] = true
		m.adoptTask(w, s)
		m.applyStatus(w, s)
	}
	for _, id := range sortedIDs(w.tasks) {
		if r, ok := m.requests[id]; ok && !present[id] {
			// The worker restarted and lost the task and its record.
			m.handleLost(r, "the worker restarted")
		}
	}
}

// adoptTask adds a request for a task that an earlier owner started without a log
// entry. For a request that is known from its intent, it adds the task description.
func (m *StateMachine) adoptTask(w *worker, s platform.TaskStatus) {
	// The worker's record of a start that never arrived may have no task description.
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

// detectReturn handles a task that the log shows as moved away, but that an
// earlier owner accepted back without a log entry: the worker reports a higher
// number of moves.
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
	r.moveConfirmed, r.logged, r.moveLogged = false, false, false
}

// resolveRecovery makes the owner ready to accept requests as soon as possible.
// Once the tasks that no worker has reported cannot be running any more, it queues
// them again or marks them as uncertain.
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

// canServe reports whether this owner can accept requests: its workers and its
// configuration are known, and the attach to every worker was answered or has
// failed, or maxRecoveryWait has passed.
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

// unreportedTasksEnded reports whether a task that no attached worker has reported
// certainly runs nowhere.
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

// resolveUnreported queues a request again that no worker runs. An urgent request
// may have run on a lost worker and becomes uncertain.
func (m *StateMachine) resolveUnreported(r *request) {
	if r.isUrgent() {
		m.markUncertain(r, "an earlier owner may have started it on a worker that was lost")
		return
	}
	r.attempt += unseenAttemptGap
	m.explain(r.task.ID, "no worker runs it after the change of owner")
	m.requeue(r)
}

// deferCall keeps a call until the owner is ready or budget has passed.
func (m *StateMachine) deferCall(ev Event, budget time.Duration) {
	if budget <= 0 {
		budget = maxRecoveryWait
	}
	m.deferred = append(m.deferred, deferredCall{event: ev, expiresAt: m.now + budget})
}

func (m *StateMachine) replayDeferredCalls() {
	deferred := m.deferred
	m.deferred = nil
	for _, call := range deferred {
		if m.now >= call.expiresAt {
			m.answerDeferred(call, "the shard's state was not recovered in time")
			continue
		}
		if sub, ok := call.event.(Submitted); ok && sub.Budget > 0 {
			sub.Budget = call.expiresAt - m.now
			call.event = sub
		}
		m.dispatch(call.event)
	}
}

func (m *StateMachine) expireDeferredCalls() {
	remaining := m.deferred[:0]
	for _, call := range m.deferred {
		if m.now < call.expiresAt {
			remaining = append(remaining, call)
			continue
		}
		m.answerDeferred(call, "the shard's state was not recovered in time")
	}
	m.deferred = remaining
}

// answerDeferred answers a call that this owner has not processed. An earlier owner
// may have run the request.
func (m *StateMachine) answerDeferred(call deferredCall, why string) {
	switch e := call.event.(type) {
	case Submitted:
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.Task.ID, why)})
	case Queried:
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.ID, why)})
	case Cancelled:
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.ID, why)})
	}
}
