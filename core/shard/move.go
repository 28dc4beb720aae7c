package shard

import (
	"fmt"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
)

// evacuate moves the work of this shard to other failure domains. Running batch
// tasks and watches are stopped, and queued requests are moved.
func (m *StateMachine) evacuate() {
	live := m.sortedLive()
	for _, kind := range []domain.Kind{domain.KindWatch, domain.KindBatch, domain.KindUrgent} {
		for _, r := range live {
			if r.task.Kind == kind {
				m.evacuateOne(r)
			}
		}
	}
}

func (m *StateMachine) evacuateOne(r *request) {
	switch r.state {
	case stateRunning:
		if !r.isUrgent() {
			m.sendStop(r, m.workers[r.worker], stopMove)
		}
	case stateQueued:
		m.moveQueued(r)
	}
}

// moveQueued moves a queued request to another failure domain.
func (m *StateMachine) moveQueued(r *request) {
	if r.isUrgent() {
		m.moveUrgent(r)
		return
	}
	if !m.isLogUsable() || len(m.targets) == 0 || !r.acknowledged {
		return
	}
	m.unqueue(r)
	m.startMove(r)
}

// moveUrgent delegates an urgent request. The move must be in the log first, so
// that a later owner of this shard knows which shard is responsible.
func (m *StateMachine) moveUrgent(r *request) {
	if m.isLogUsable() && len(m.targets) > 0 {
		m.startMove(r)
		return
	}
	if r.state == stateNew {
		m.queue(r)
	}
	if m.now-r.acceptedAt >= maxTargetWait {
		m.refuseUrgent(r, m.moveReason()+", and no other failure domain can be reached")
	}
}

func (m *StateMachine) startMove(r *request) {
	if !m.fire(r, eventMove) {
		return
	}
	r.moveLogged = false
	r.moves++
	r.target = m.targets[m.nextTarget%len(m.targets)]
	m.nextTarget++
	m.explain(r.task.ID, fmt.Sprintf("%s: moving to %s", m.moveReason(), r.target))
	m.append([]domain.RequestID{r.task.ID}, journal.Entry{Moved: r.movedRecord()})
}

func (r *request) movedRecord() *journal.Moved {
	movedRecord := &journal.Moved{ID: r.task.ID, Target: r.target, Moves: r.moves}
	if !r.isUrgent() {
		movedRecord.Job = r.jobRecord()
	}
	return movedRecord
}

func (m *StateMachine) afterMoveLogged(r *request, ok bool) {
	if !ok && r.isUrgent() {
		// The entry may be in the log nevertheless. It names a target that has
		// never received the request, so the answer "not run" stays true.
		m.finishNotRun(r, "the log service does not answer, so the work could not be moved")
		return
	}
	if !ok {
		m.retryMoveLater(r)
		return
	}
	m.offer(r)
}

// retryMoveLater schedules another append of the move. A move that may be in the
// log is not taken back, because a later owner would follow it.
func (m *StateMachine) retryMoveLater(r *request) {
	m.moving[r.task.ID] = m.now + moveRetryInterval
}

// offer delegates the request to its target, which deduplicates by id.
func (m *StateMachine) offer(r *request) {
	r.moveLogged = true
	m.moving[r.task.ID] = m.now + moveRetryInterval
	sub := Submitted{Task: r.task, Delegated: true, Attempt: r.attempt, Checkpoint: r.checkpoint, Moves: r.moves}
	if r.isUrgent() {
		sub.Budget = max(r.expiresAt-m.now, 0)
	}
	m.emit(Delegate{Target: r.target, Request: sub})
}

func (m *StateMachine) onDelegateDone(e DelegateDone) {
	r, known := m.requests[e.ID]
	if !known || r.moveConfirmed || e.Moves != r.moves || (r.state != stateMoving && r.state != stateMoved) {
		return
	}
	if r.isUrgent() {
		m.handleUrgentMoveAnswer(r, e)
		return
	}
	if e.Err == nil && e.Outcome.State == domain.OutcomeNotRun {
		m.requeueRefusedMove(r)
		return
	}
	// A target that has no log entry for the task may lose it, so this shard stays
	// responsible and repeats the offer until the entry exists.
	unknown := e.Outcome.State == domain.OutcomeUnknown
	if e.Err != nil || unknown || e.Outcome.Volatile {
		m.moving[e.ID] = m.now + moveRetryInterval
		return
	}
	m.moveConfirmed(r)
	m.reply(r, e.Outcome)
}

// requeueRefusedMove queues a task again that its target refused for good. The task
// runs here or moves to the next target.
func (m *StateMachine) requeueRefusedMove(r *request) {
	m.explain(r.task.ID, fmt.Sprintf("shard %s refused the task", r.target))
	delete(m.moving, r.task.ID)
	r.logged, r.moveLogged = false, false
	m.queue(r)
	m.appendUnawaited(journal.Entry{Job: r.jobRecord()})
}

func (m *StateMachine) handleUrgentMoveAnswer(r *request, e DelegateDone) {
	if e.Err != nil && e.Err.Kind == domain.KindStaleEpoch {
		m.finishNotRun(r, "the shard that it was moved to did not accept it")
		return
	}
	m.moveConfirmed(r)
	if e.Err != nil {
		m.reply(r, unknownOutcome(r.task.ID, "the shard that it was moved to does not answer"))
		return
	}
	m.reply(r, e.Outcome)
}

// moveConfirmed records that the target has taken the request over. An urgent
// request is recorded as taken over even if the target did not answer, because it
// may have run there.
func (m *StateMachine) moveConfirmed(r *request) {
	m.fire(r, eventDepart)
	r.moveConfirmed = true
	delete(m.moving, r.task.ID)
	delete(m.live, r.task.ID)
	m.appendUnawaited(journal.Entry{MoveConfirmed: &journal.MoveConfirmed{ID: r.task.ID, Moves: r.moves}})
}

// retryMoves repeats the moves of batch tasks and watches that were not logged or
// not confirmed. An urgent request is offered only once.
func (m *StateMachine) retryMoves() {
	for _, id := range sortedIDs(m.moving) {
		r, known := m.requests[id]
		if !known || m.now < m.moving[id] || r.isUrgent() {
			continue
		}
		m.moving[id] = m.now + moveRetryInterval
		if r.moveLogged {
			m.offer(r)
			continue
		}
		if m.isLogUsable() {
			m.append([]domain.RequestID{id}, journal.Entry{Moved: r.movedRecord()})
		}
	}
}

// acceptReturned accepts a request that was moved away and is delegated back.
func (m *StateMachine) acceptReturned(r *request, e Submitted) {
	if !m.fire(r, eventReturn) {
		return
	}
	m.live[e.Task.ID] = r
	delete(m.moving, e.Task.ID)
	r.moves = e.Moves
	r.calls = append(r.calls, e.Call)
	r.task, r.bodyHash, r.described = e.Task, BodyHash(e.Task), true
	r.attempt, r.checkpoint = e.Attempt, e.Checkpoint
	r.moveConfirmed, r.acknowledged = false, false
	// The log holds the move to the other shard, but not the return.
	r.logged, r.moveLogged = false, false
	if r.isUrgent() {
		m.waitUntil(r, m.now+e.Budget)
		m.acceptUrgent(r)
		return
	}
	m.acceptNonUrgent(r)
}
