package shard

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
)

func (m *StateMachine) onTick() {
	m.checkWorkers()
	m.callWorkers()
	m.expireDeferredCalls()
	m.expireWaits()
	m.resumeDelayed()
	m.clearAvoidedWorkers()
	m.retryMoves()
	m.evacuateQueued()
	m.react()
	m.dropExpired()
	m.checkDrained()
}

// evacuateQueued continues an evacuation: it moves tasks that were stopped for it and
// are queued now, and requests that could not be moved earlier.
func (m *StateMachine) evacuateQueued() {
	if !m.mustMove() || m.draining {
		return
	}
	m.evacuate()
}

func (m *StateMachine) expireWait(r *request) {
	if !r.isUrgent() {
		m.refuseUnlogged(r)
		return
	}
	switch r.state {
	case stateQueued, stateLogging:
		m.explain(r.task.ID, "its deadline passed while it waited")
		m.finishNotRun(r, "no worker was free before its deadline")
	case stateMoving, stateMoved:
		m.reply(r, unknownOutcome(r.task.ID, "the failure domain that it was moved to did not answer in time"))
	default:
		m.reply(r, unknownOutcome(r.task.ID, "it had not finished at its deadline"))
	}
}

// refuseUnlogged refuses a batch task or watch that neither the log nor a worker
// holds. It waits longer if the task is not queued, for example because a worker has
// not answered the start yet, and acknowledges a task that cannot be refused any
// more.
func (m *StateMachine) refuseUnlogged(r *request) {
	if r.acknowledged {
		return
	}
	if r.state != stateQueued {
		m.waitUntil(r, m.now+unloggedAcceptWait)
		return
	}
	if r.mayHaveRun || r.appended || !m.canClose(r) {
		m.acknowledgeUnlogged(r)
		return
	}
	if r.moves > 0 {
		m.dropOffer(r)
		return
	}
	m.finishNotRun(r, "the log service does not answer and no worker was free")
}

// dropOffer drops a task that another shard has offered. That shard still has the
// task, and closing the id would end the task there.
func (m *StateMachine) dropOffer(r *request) {
	id := r.task.ID
	m.unqueue(r)
	for _, call := range r.calls {
		m.refuseCall(call, errNotAccepted(id, "the log service does not answer and no worker was free"))
	}
	delete(m.requests, id)
	delete(m.live, id)
}

// acknowledgeUnlogged acknowledges a batch task or watch that cannot be refused,
// because an attempt may have run or a later owner may start it.
func (m *StateMachine) acknowledgeUnlogged(r *request) {
	m.acknowledgeTask(r)
	m.appendUnawaited(journal.Entry{Job: r.jobRecord()})
}

// resumeDelayed queues requests again, or repeats their commands, once their delay
// has passed.
func (m *StateMachine) resumeDelayed() {
	for _, id := range sortedIDs(m.delayed) {
		r, known := m.requests[id]
		if !known {
			delete(m.delayed, id)
			continue
		}
		if m.now < r.notBefore {
			continue
		}
		delete(m.delayed, id)
		m.resumeRequest(r)
	}
}

func (m *StateMachine) resumeRequest(r *request) {
	switch r.state {
	case stateQueued:
		if !r.isUrgent() {
			m.policy.Enqueue(m.now, r.demand(m.now))
		}
	case stateStarting, stateStopping:
		m.repeatCommand(r)
	}
}

// repeatCommand repeats a lookup or stop whose answer was lost.
func (m *StateMachine) repeatCommand(r *request) {
	w, known := m.workers[r.worker]
	switch {
	case !known || !w.tasks[r.task.ID]:
		return
	case w.state != workerAttached:
		m.retryLater(r)
	case r.state == stateStopping:
		m.emitStop(r, w)
	default:
		m.emit(SendLookup{Worker: w.id, ID: r.task.ID})
	}
}

// dropExpired drops the requests that ended longer ago than journal.KeyRetention,
// and the answers of urgent requests that ended longer ago than answerRetention.
func (m *StateMachine) dropExpired() {
	for len(m.ended) > 0 {
		r := m.requests[m.ended[0]]
		if r != nil && m.now-r.endedAt < journal.KeyRetention {
			break
		}
		delete(m.requests, m.ended[0])
		m.ended = m.ended[1:]
		m.answersDropped = max(m.answersDropped-1, 0)
	}
	m.dropExpiredAnswers()
}

// dropExpiredAnswers drops the answers and payloads of urgent requests that ended
// longer ago than answerRetention.
func (m *StateMachine) dropExpiredAnswers() {
	for m.answersDropped < len(m.ended) {
		r := m.requests[m.ended[m.answersDropped]]
		if r != nil && m.now-r.endedAt < answerRetention {
			return
		}
		m.answersDropped++
		if r != nil && r.outcome.State == domain.OutcomeSucceeded && r.isUrgent() {
			r.outcome.Answer = nil
			r.outcome.Err = errAnswerDropped(r.task.ID)
			r.task.Payload = nil
		}
	}
}

// WorkerView describes a worker for operators.
type WorkerView struct {
	ID       domain.WorkerID
	Rack     string
	State    string
	Capacity domain.Resources
	Reserved domain.Resources
	Tasks    int
}

// Status describes the shard for operators and for other nodes.
type Status struct {
	// Ready is true if the owner accepts requests.
	Ready bool
	// FreeSlots is the number of unreserved slots on usable workers.
	FreeSlots int64
	Workers   []WorkerView
}

// Status returns the shard's status. Its cost grows with the number of workers.
func (m *StateMachine) Status() Status {
	s := Status{Ready: m.ready && !m.draining}
	for _, w := range m.workers {
		v := m.workerView(w)
		if m.isUsable(w) {
			s.FreeSlots += v.Capacity.Slots - v.Reserved.Slots
		}
		s.Workers = append(s.Workers, v)
	}
	return s
}

func (m *StateMachine) workerView(w *worker) WorkerView {
	v := WorkerView{ID: w.id, Rack: w.rack, State: string(w.state), Capacity: w.capacity, Reserved: w.reserved, Tasks: len(w.tasks)}
	if w.leaving {
		v.State = "leaving"
	}
	return v
}
