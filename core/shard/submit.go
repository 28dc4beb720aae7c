package shard

import (
	"fmt"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
)

// evidence is what an owner knows about an id that it has no record of.
type evidence int

const (
	// evidenceFresh: the work did not run and may be started.
	evidenceFresh evidence = iota
	// evidencePending: this owner is not ready; workers may not have answered the
	// attach yet.
	evidencePending
	// evidenceUnknown: a worker that may have run it did not answer, or its records
	// are incomplete.
	evidenceUnknown
	// evidenceClosed: the work did not run and must not be started, because the
	// earlier owner that reserved the id may already have answered that it did not
	// run.
	evidenceClosed
)

func (m *StateMachine) evidence(id domain.RequestID) evidence {
	if id.Shard != m.shard || id.Epoch == m.epoch {
		return evidenceFresh
	}
	if !m.ready {
		return evidencePending
	}
	if !m.handover && !m.allRecordsComplete() {
		return evidenceUnknown
	}
	if !id.DerivedFromKey() {
		return evidenceClosed
	}
	return evidenceFresh
}

func (m *StateMachine) onSubmitted(e Submitted) {
	id := e.Task.ID
	if id.Shard == m.shard && id.Epoch > m.epoch {
		m.refuseCall(e.Call, errNotAccepted(id, "the id was reserved by a newer owner of the shard"))
		return
	}
	if r, known := m.requests[id]; known {
		m.handleRepeat(r, e)
		return
	}
	if m.draining {
		m.refuseCall(e.Call, errNotAccepted(id, "the node is stopping"))
		return
	}
	if !m.ready && e.Task.Kind != domain.KindUrgent && !e.Delegated {
		m.deferCall(e, e.Budget)
		return
	}
	if e.Delegated {
		m.acceptDelegated(e)
		return
	}
	switch m.evidence(id) {
	case evidenceFresh:
		m.accept(e)
	case evidencePending:
		m.deferCall(e, e.Budget)
	case evidenceClosed:
		err := errNotRun(id, "the shard has got another owner since the id was reserved")
		m.emit(Reply{Call: e.Call, Outcome: domain.Outcome{ID: id, State: domain.OutcomeNotRun, Err: err}})
	case evidenceUnknown:
		why := "an earlier owner may have started it on a worker that does not answer"
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(id, why)})
	}
}

// handleRepeat handles a repeat of a known request.
func (m *StateMachine) handleRepeat(r *request, e Submitted) {
	if e.Delegated && (r.state == stateMoved || r.state == stateMoving) {
		m.handleRepeatedOffer(r, e)
		return
	}
	bodyHash := BodyHash(e.Task)
	if r.bodyHash != 0 && r.bodyHash != bodyHash {
		m.refuseCall(e.Call, &domain.Error{
			Kind:      domain.KindKeyConflict,
			Message:   "the key or id was used with another body",
			Remedy:    "use a new key for different work",
			RequestID: e.Task.ID.String(),
		})
		return
	}
	if !r.described {
		// The log did not hold the task description; the repeat contains it.
		r.task, r.bodyHash, r.described = e.Task, bodyHash, true
	}
	switch {
	case r.state == stateMoved:
		m.emit(Redirect{Call: e.Call, Target: r.target, ID: e.Task.ID})
	case r.state == stateEnded, r.acknowledged:
		m.emit(Reply{Call: e.Call, Outcome: r.currentOutcome()})
	default:
		r.calls = append(r.calls, e.Call)
		if r.isUrgent() {
			m.waitUntil(r, max(r.expiresAt, m.now+e.Budget))
		}
	}
}

// handleRepeatedOffer handles an offer of a task that has left this shard. A new
// offer moves the task back; an old one was accepted before the task left.
func (m *StateMachine) handleRepeatedOffer(r *request, e Submitted) {
	switch {
	case e.Moves > r.moves:
		m.acceptDelegated(e)
	case e.Moves < r.moves:
		o := domain.Outcome{ID: e.Task.ID, State: domain.OutcomeAccepted, Volatile: !r.moveLogged}
		m.emit(Reply{Call: e.Call, Outcome: o})
	default:
		m.refuseCall(e.Call, errNotAccepted(e.Task.ID, "the task moved to another shard"))
	}
}

// acceptDelegated accepts a task that was moved here. The offer may be a repeat of
// one that an earlier owner accepted without a log entry. A batch task or watch is
// therefore refused until it is known what that owner started and still runs.
func (m *StateMachine) acceptDelegated(e Submitted) {
	if e.Task.Kind != domain.KindUrgent && !m.recovered {
		m.refuseCall(e.Call, errNotAccepted(e.Task.ID, "the shard's state is not recovered yet"))
		return
	}
	if r, known := m.requests[e.Task.ID]; known {
		m.acceptReturned(r, e)
		return
	}
	m.accept(e)
}

func (m *StateMachine) accept(e Submitted) {
	r := &request{
		task:       e.Task,
		bodyHash:   BodyHash(e.Task),
		described:  true,
		state:      stateNew,
		calls:      []CallID{e.Call},
		acceptedAt: m.now,
		attempt:    e.Attempt,
		checkpoint: e.Checkpoint,
		moves:      e.Moves,
	}
	m.addRequest(r)
	if refusal := m.policy.CheckFits(r.demand(m.now)); refusal != nil {
		m.refuseOversized(r, refusal)
		return
	}
	if r.isUrgent() {
		m.waitUntil(r, m.now+e.Budget)
		m.acceptUrgent(r)
		return
	}
	m.explain(e.Task.ID, fmt.Sprintf("shard %s accepted the task; it waits for a worker", m.shard))
	m.acceptNonUrgent(r)
}

func (m *StateMachine) refuseOversized(r *request, refusal *Refusal) {
	err := &domain.Error{
		Kind:      domain.KindNeverFits,
		Message:   "no worker can ever hold the task: " + refusal.Reason,
		Remedy:    "declare less, or ask operators for larger workers",
		RequestID: r.task.ID.String(),
	}
	m.close(r, domain.Outcome{State: domain.OutcomeNotRun, Err: err})
}

// acceptUrgent queues an urgent request. If a second run would do harm and the log
// answers, the intent is logged first.
func (m *StateMachine) acceptUrgent(r *request) {
	if m.mustMove() {
		m.moveUrgent(r)
		return
	}
	if r.task.Idempotent || !m.isLogUsable() {
		m.queue(r)
		return
	}
	m.fire(r, eventLog)
	intent := journal.Intent{ID: r.task.ID, BodyHash: r.bodyHash}
	m.append([]domain.RequestID{r.task.ID}, journal.Entry{Intent: &intent})
}

// acceptNonUrgent logs a batch task or watch. During a log outage it is
// acknowledged once a worker has started it.
func (m *StateMachine) acceptNonUrgent(r *request) {
	if !m.isLogUsable() {
		m.waitUntil(r, m.now+unloggedAcceptWait)
		m.queue(r)
		return
	}
	m.fire(r, eventLog)
	r.appended = true
	m.append([]domain.RequestID{r.task.ID}, journal.Entry{Job: r.jobRecord()})
}

func (r *request) jobRecord() *journal.Job {
	return &journal.Job{Task: r.task, Attempt: r.attempt, Checkpoint: r.checkpoint, Moves: r.moves}
}

// onLogged continues a request that waited for an append. ok is false if the entry
// may not have been appended.
func (m *StateMachine) onLogged(id domain.RequestID, ok bool) {
	r, known := m.requests[id]
	if !known {
		return
	}
	switch r.state {
	case stateLogging:
		r.logged = ok
		m.afterAcceptLogged(r, ok)
	case stateMoving:
		m.afterMoveLogged(r, ok)
	case stateClosing:
		m.afterCloseLogged(r, ok)
	}
}

func (m *StateMachine) afterAcceptLogged(r *request, ok bool) {
	if r.isUrgent() {
		m.queue(r)
		return
	}
	if ok {
		m.acknowledgeTask(r)
	} else {
		m.waitUntil(r, m.now+unloggedAcceptWait)
	}
	m.queue(r)
}

// acknowledgeTask tells the clients of a batch task or watch that it is accepted.
// The outcome is volatile if the log does not hold the task yet.
func (m *StateMachine) acknowledgeTask(r *request) {
	r.acknowledged = true
	r.expiresAt = 0
	m.reply(r, r.currentOutcome())
}

// queue makes a request wait for a worker.
func (m *StateMachine) queue(r *request) {
	if !m.fire(r, eventQueue) {
		return
	}
	m.releaseCapacity(r, ResultStopped)
	switch {
	case r.isUrgent():
		m.waitingUrgent = append(m.waitingUrgent, r.task.ID)
	case r.notBefore > m.now:
		m.delayed[r.task.ID] = true
	default:
		m.policy.Enqueue(m.now, r.demand(m.now))
	}
}

// unqueue removes a batch task or watch from the tasks that wait for a worker.
// scheduleUrgent drops urgent requests that are no longer queued.
func (m *StateMachine) unqueue(r *request) {
	delete(m.delayed, r.task.ID)
	if !r.isUrgent() {
		m.policy.Dequeue(r.task.ID)
	}
}

// finish sets the final outcome of a request and answers its clients.
func (m *StateMachine) finish(r *request, o domain.Outcome) {
	if r.state == stateQueued {
		m.unqueue(r)
	}
	result := ResultStopped
	switch o.State {
	case domain.OutcomeSucceeded:
		result = ResultSucceeded
	case domain.OutcomeFailed:
		result = ResultFailed
	}
	m.releaseCapacity(r, result)
	if !m.fire(r, eventEnd) {
		return
	}
	id := r.task.ID
	o.ID, o.Worker, o.Attempt = id, r.worker, r.attempt
	r.outcome, r.endedAt = o, m.now
	delete(m.moving, id)
	delete(m.live, id)
	m.ended = append(m.ended, id)
	m.recordEnd(r)
	m.reply(r, o)
	if !r.isUrgent() && (o.State == domain.OutcomeFailed || o.State == domain.OutcomeNotRun) {
		m.emit(Measured{Kind: r.task.Kind, State: o.State, Took: m.now - r.acceptedAt})
	}
}

// close ends a request that is not running. Unless only this owner could start the
// request, the outcome is logged before clients are told, so that no later owner
// starts the request.
func (m *StateMachine) close(r *request, o domain.Outcome) {
	id := r.task.ID
	o.ID = id
	if m.canOnlyStartHere(r) {
		m.finish(r, o)
		return
	}
	if !m.isLogUsable() {
		m.closeWithoutLog(r, o)
		return
	}
	if r.state == stateQueued {
		m.unqueue(r)
	}
	m.releaseCapacity(r, ResultStopped)
	if !m.fire(r, eventClose) {
		return
	}
	r.outcome = o
	m.append([]domain.RequestID{id}, journal.Entry{Finished: &journal.Finished{Outcome: o}})
}

// canOnlyStartHere reports whether no other owner could start the request.
func (m *StateMachine) canOnlyStartHere(r *request) bool {
	return r.task.ID.Shard == m.shard && r.task.ID.Epoch == m.epoch && !r.appended
}

// canClose reports whether the request can now be ended as not run.
func (m *StateMachine) canClose(r *request) bool { return m.canOnlyStartHere(r) || m.isLogUsable() }

// closeWithoutLog handles the outcome of a waiting request that cannot be logged.
// An urgent request becomes uncertain, because another owner may start it. A
// cancelled batch task or watch ends with a volatile outcome, because a later owner
// may find the task in the log and start it. Any other task is queued and
// acknowledged.
func (m *StateMachine) closeWithoutLog(r *request, o domain.Outcome) {
	switch {
	case r.isUrgent():
		m.markUncertain(r, "the log service does not answer, so another owner may start it")
	case o.State == domain.OutcomeCancelled:
		o.Volatile = true
		m.finish(r, o)
	default:
		if r.state != stateQueued {
			m.queue(r)
		}
		m.acknowledgeUnlogged(r)
	}
}

func (m *StateMachine) afterCloseLogged(r *request, ok bool) {
	if !ok {
		m.closeWithoutLog(r, r.outcome)
		return
	}
	r.endLogged = true
	m.finish(r, r.outcome)
}

// recordEnd logs the outcome of a batch task or watch, and of an urgent request that
// must not be started later. The worker retains the result of an urgent request that
// ran.
func (m *StateMachine) recordEnd(r *request) {
	ran := r.outcome.State == domain.OutcomeSucceeded || r.outcome.State == domain.OutcomeFailed
	if r.endLogged || r.isUrgent() && ran {
		return
	}
	o := r.outcome
	if len(o.Answer) > maxLoggedAnswerBytes {
		o.Answer = nil
		o.Err = errAnswerDropped(o.ID)
	}
	m.appendUnawaited(journal.Entry{Finished: &journal.Finished{Outcome: o}})
}

func errAnswerDropped(id domain.RequestID) *domain.Error {
	return &domain.Error{
		Kind:      domain.KindNotFound,
		Message:   "the work ran, but its answer is no longer retained",
		Remedy:    "fetch answers within 10 minutes",
		RequestID: id.String(),
	}
}

func (m *StateMachine) reply(r *request, o domain.Outcome) {
	for _, call := range r.calls {
		m.emit(Reply{Call: call, Outcome: o})
	}
	r.calls = nil
}

// refuseCall answers a call that is not accepted; nothing was started.
func (m *StateMachine) refuseCall(call CallID, err *domain.Error) {
	m.emit(Reply{Call: call, Outcome: domain.Outcome{Err: err}})
}

func unknownOutcome(id domain.RequestID, why string) domain.Outcome {
	return domain.Outcome{ID: id, State: domain.OutcomeUnknown, Err: errUnknown(id, why)}
}

// onQueried answers with what is known of a request.
func (m *StateMachine) onQueried(e Queried) {
	if r, known := m.requests[e.ID]; known {
		if r.state == stateMoved {
			m.emit(Redirect{Call: e.Call, Target: r.target, ID: e.ID})
			return
		}
		m.emit(Reply{Call: e.Call, Outcome: r.currentOutcome()})
		return
	}
	switch m.evidence(e.ID) {
	case evidenceFresh, evidenceClosed:
		m.refuseCall(e.Call, &domain.Error{
			Kind:      domain.KindNotFound,
			Message:   "the request is not known",
			Remedy:    "check the id; requests are forgotten one hour after they ended",
			RequestID: e.ID.String(),
		})
	case evidencePending:
		m.deferCall(e, maxRecoveryWait)
	case evidenceUnknown:
		why := "a worker that may have run it does not answer"
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.ID, why)})
	}
}
