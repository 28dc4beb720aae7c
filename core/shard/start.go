package shard

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// schedule starts the tasks that can start now: urgent requests first, then
// watches and batch tasks in the policy's order.
func (m *StateMachine) schedule() {
	m.scheduleUrgent()
	if !m.mayStart(domain.KindWatch) {
		return
	}
	for {
		d, c, ok := m.policy.DequeueNext(m.now)
		if !ok {
			return
		}
		if !m.startDequeued(d, c) {
			return
		}
	}
}

// maxSkippedUrgent bounds the waiting urgent requests that one Step skips. A request
// that has to wait for reasons of its own, such as the retry budget, must not
// block those behind it.
const maxSkippedUrgent = 8

// scheduleUrgent starts waiting urgent requests in order of arrival.
func (m *StateMachine) scheduleUrgent() {
	if !m.mayStart(domain.KindUrgent) {
		return
	}
	list, examined := m.waitingUrgent, 0
	var skipped []domain.RequestID
	for examined < len(list) && len(skipped) < maxSkippedUrgent {
		if m.startWaitingUrgent(list[examined]) {
			skipped = append(skipped, list[examined])
		}
		examined++
	}
	// Skipped requests return to the front of the queue in their order.
	m.waitingUrgent = list[examined-len(skipped):]
	copy(m.waitingUrgent, skipped)
}

// startWaitingUrgent starts or refuses a waiting urgent request if possible. It
// reports whether the request still waits.
func (m *StateMachine) startWaitingUrgent(id domain.RequestID) bool {
	r, ok := m.requests[id]
	if !ok || r.state != stateQueued {
		return false
	}
	c, refusal := m.policy.Choose(m.now, r.demand(m.now))
	switch {
	case refusal == nil:
		m.start(r, c)
		return r.state == stateQueued
	case refusal.Permanent, refusal.MissesDeadline:
		m.refuseUrgent(r, refusal.Reason)
		return false
	}
	return true
}

func (m *StateMachine) refuseUrgent(r *request, reason string) {
	m.explain(r.task.ID, "refused: "+reason)
	m.finishNotRun(r, reason)
}

// finishNotRun ends a waiting request that will not be started any more. If an
// earlier attempt may have run on a lost worker, the outcome stays unknown.
func (m *StateMachine) finishNotRun(r *request, why string) {
	if r.mayHaveRun {
		m.markUncertain(r, why+"; an earlier attempt may have run")
		return
	}
	m.close(r, domain.Outcome{State: domain.OutcomeNotRun, Err: errNotRun(r.task.ID, why)})
}

// startDequeued starts a task that the policy has removed from its queue. It
// returns false if no task of this kind may start now.
func (m *StateMachine) startDequeued(d Demand, c Placement) bool {
	r, ok := m.requests[d.ID]
	if !ok || r.state != stateQueued {
		return true
	}
	if !m.mayStart(d.Kind) {
		m.policy.Enqueue(m.now, d)
		return false
	}
	m.start(r, c)
	return true
}

func (m *StateMachine) start(r *request, c Placement) {
	w, ok := m.workers[c.Worker]
	if !ok || !m.isUsable(w) {
		m.explain(r.task.ID, fmt.Sprintf("internal: the policy chose worker %s, which accepts no tasks", c.Worker))
		m.delayQueued(r)
		return
	}
	if !m.fire(r, eventPlace) {
		return
	}
	r.attempt++
	r.reserved = c.Reserved
	r.startedAt = m.now
	m.reserveCapacity(r, w)
	m.queueIntentRecord(r)
	m.explain(r.task.ID, fmt.Sprintf("attempt %d on worker %s: %s", r.attempt, w.id, c.Reason))
	m.emit(SendStart{Worker: w.id, Request: platform.StartRequest{
		Epoch:      m.epoch,
		Session:    w.session,
		Task:       r.task,
		Attempt:    r.attempt,
		Reserved:   r.reserved,
		Checkpoint: r.checkpoint,
		Moves:      r.moves,
	}})
}

// queueIntentRecord queues the intent of a request that starts while the log does
// not answer. A later owner then knows of the request once the log answers again.
func (m *StateMachine) queueIntentRecord(r *request) {
	if r.logged || !r.isUrgent() || r.task.Idempotent {
		return
	}
	r.logged = true
	m.backlog = append(m.backlog, journal.Entry{
		Shard: m.shard, Epoch: m.epoch, Intent: &journal.Intent{ID: r.task.ID, BodyHash: r.bodyHash},
	})
}

// delayQueued makes a request that is in state queued, and could not be started,
// wait for the next tick. An urgent request keeps its place in the queue.
func (m *StateMachine) delayQueued(r *request) {
	if r.isUrgent() {
		return
	}
	r.notBefore = m.now + TickInterval
	m.delayed[r.task.ID] = true
}

func (m *StateMachine) onStartDone(e StartDone) {
	r, known := m.requests[e.ID]
	if !known || r.worker != e.Worker || r.attempt != e.Attempt {
		return
	}
	w, known := m.workers[e.Worker]
	if !known || !w.tasks[e.ID] {
		return
	}
	if e.Err == nil {
		m.applyStatus(w, e.Status)
		return
	}
	if m.isStartRefused(e) {
		m.handleRefusedStart(r, w, e.Err)
		return
	}
	m.resolveStart(r, w, e.Err)
}

// isStartRefused reports whether the start certainly had no effect.
func (m *StateMachine) isStartRefused(e StartDone) bool {
	if e.NotSent {
		return true
	}
	switch e.Err.Kind {
	case domain.KindStaleEpoch, domain.KindNoCapacity, domain.KindBadRequest:
		return true
	}
	return false
}

func (m *StateMachine) handleRefusedStart(r *request, w *worker, err *domain.Error) {
	if r.state != stateStarting && r.state != stateStopping {
		return
	}
	m.explain(r.task.ID, fmt.Sprintf("worker %s refused the start: %s", w.id, err.Message))
	if r.stopping == stopCancel {
		m.finish(r, domain.Outcome{State: domain.OutcomeCancelled})
		return
	}
	if err.Kind == domain.KindBadRequest {
		r.failures++
		if r.isUrgent() || r.failures >= maxTaskFailures {
			m.finishNotRun(r, err.Message)
			return
		}
	}
	if err.Kind == domain.KindNoCapacity {
		m.avoid(r, w.id)
	}
	r.startRefused = true
	r.notBefore = m.now + TickInterval
	m.requeue(r)
	if err.Kind == domain.KindStaleEpoch && w.state == workerAttached && !w.inFlight {
		// The session may have ended; a renewal finds out.
		m.sendRenew(w)
	}
}

// maxAvoidedWorkers bounds the workers that a task avoids; the oldest is dropped.
const maxAvoidedWorkers = 4

// avoidDuration is how long a task avoids a worker that refused it or where it
// failed. It is short because in a small shard the worker may be the only one.
const avoidDuration = 2 * time.Second

func (m *StateMachine) avoid(r *request, id domain.WorkerID) {
	r.avoid = append(r.avoid, id)
	if len(r.avoid) > maxAvoidedWorkers {
		r.avoid = r.avoid[1:]
	}
	r.avoidUntil = m.now + avoidDuration
	m.avoiding[r.task.ID] = true
}

// clearAvoidedWorkers lets tasks run again on workers that they have avoided for
// avoidDuration.
func (m *StateMachine) clearAvoidedWorkers() {
	for _, id := range sortedIDs(m.avoiding) {
		r, known := m.live[id]
		if !known {
			delete(m.avoiding, id)
			continue
		}
		if m.now < r.avoidUntil {
			continue
		}
		delete(m.avoiding, id)
		r.avoid = nil
		if r.state == stateQueued && !r.isUrgent() && !m.delayed[id] {
			m.policy.Dequeue(id)
			m.policy.Enqueue(m.now, r.demand(m.now))
		}
	}
}

// resolveStart asks the worker whether a start whose answer was lost took effect. If
// the worker has no record of the attempt, onLookupDone sends a stop, so that a start
// that is still in transit starts nothing.
func (m *StateMachine) resolveStart(r *request, w *worker, err *domain.Error) {
	if r.state != stateStarting && r.state != stateRunning {
		return
	}
	m.explain(r.task.ID, fmt.Sprintf("no answer from worker %s: %s", w.id, err.Message))
	m.emit(SendLookup{Worker: w.id, ID: r.task.ID})
}

func (m *StateMachine) onLookupDone(e LookupDone) {
	r, known := m.requests[e.ID]
	if !known || r.worker != e.Worker || (r.state != stateStarting && r.state != stateRunning) {
		return
	}
	w, known := m.workers[e.Worker]
	if !known || !w.tasks[e.ID] {
		return
	}
	switch {
	case e.Err == nil && e.Status.Attempt >= r.attempt:
		m.applyStatus(w, e.Status)
	case e.Err == nil, e.Err.Kind == domain.KindNotFound:
		// The worker has no record of this attempt; it may have one of an earlier
		// attempt.
		m.sendStop(r, w, stopResolve)
	default:
		// An event or the expiry of the lease may resolve the start before the next
		// lookup.
		m.retryLater(r)
	}
}

// retryLater schedules a repeat of the command that the request's state requires.
func (m *StateMachine) retryLater(r *request) {
	r.notBefore = m.now + retryInterval
	m.delayed[r.task.ID] = true
}

// applyStatus processes a worker's report about a task that this owner knows.
func (m *StateMachine) applyStatus(w *worker, s platform.TaskStatus) {
	r, known := m.requests[s.Task.ID]
	if !known {
		return
	}
	if r.state == stateEnded || r.state == stateMoved || r.state == stateMoving {
		m.stopStray(w, s)
		return
	}
	if r.isOnWorker() && (r.worker != w.id || s.Attempt != r.attempt) {
		m.handleOtherAttempt(r, w, s)
		return
	}
	if s.Checkpoint != "" && s.Attempt >= r.attempt {
		r.checkpoint = s.Checkpoint
	}
	switch s.State {
	case platform.TaskRunning:
		m.handleRunning(r, w, s)
	case platform.TaskSucceeded:
		r.worker, r.attempt = w.id, s.Attempt
		m.finish(r, domain.Outcome{State: domain.OutcomeSucceeded, Answer: s.Answer})
	case platform.TaskFailed:
		m.handleFailed(r, w, s)
	case platform.TaskStopped:
		m.handleStopped(r, w, s)
	case platform.TaskNeverStarted:
		m.handleNeverStarted(r, w)
	}
}

// handleOtherAttempt handles an attempt other than the current one: a stray
// attempt, or one that ended on a worker that could not be reached. The first
// result counts, so that a task has one answer.
func (m *StateMachine) handleOtherAttempt(r *request, w *worker, s platform.TaskStatus) {
	if s.State != platform.TaskSucceeded || r.isUrgent() || s.Attempt > r.attempt {
		m.stopStray(w, s)
		return
	}
	m.explain(r.task.ID, fmt.Sprintf("attempt %d had already ended on worker %s; stopping attempt %d", s.Attempt, w.id, r.attempt))
	if other, known := m.workers[r.worker]; known {
		m.stopStray(other, platform.TaskStatus{Task: r.task, Attempt: r.attempt, State: platform.TaskRunning})
	}
	m.finish(r, domain.Outcome{State: domain.OutcomeSucceeded, Answer: s.Answer})
}

// stopStray stops an attempt that this owner does not want to run.
func (m *StateMachine) stopStray(w *worker, s platform.TaskStatus) {
	if s.State != platform.TaskRunning {
		return
	}
	m.explain(s.Task.ID, fmt.Sprintf("stopping stray attempt %d on worker %s", s.Attempt, w.id))
	m.emit(SendStop{Worker: w.id, Request: platform.StopRequest{
		Epoch: m.epoch, Session: w.session, ID: s.Task.ID, Attempt: s.Attempt,
	}})
}

func (m *StateMachine) handleRunning(r *request, w *worker, s platform.TaskStatus) {
	if r.state == stateRunning || r.state == stateStopping {
		return
	}
	if r.state == stateQueued {
		m.unqueue(r)
	}
	if !m.fire(r, eventRun) {
		return
	}
	if !w.tasks[r.task.ID] {
		r.attempt = s.Attempt
		r.reserved = s.Reserved
		r.startedAt = m.now
		m.reserveCapacity(r, w)
	}
	if r.isUrgent() {
		return
	}
	m.measureStart(r)
	if r.acknowledged {
		return
	}
	m.acknowledgeTask(r)
	if !r.logged {
		m.appendUnawaited(journal.Entry{Job: r.jobRecord()})
	}
}

// measureStart reports the first start of a task that this owner has accepted.
func (m *StateMachine) measureStart(r *request) {
	if r.startMeasured || r.acceptedAt == 0 || r.moves > 0 {
		return
	}
	r.startMeasured = true
	m.emit(Measured{Kind: r.task.Kind, State: domain.OutcomeRunning, Took: m.now - r.acceptedAt})
}

// handleFailed handles a task that ran and failed. A batch task is retried on other
// workers, since on a faulty worker every task fails; a watch is always restarted.
func (m *StateMachine) handleFailed(r *request, w *worker, s platform.TaskStatus) {
	if !r.mayBeOnWorker() {
		return
	}
	r.failures++
	r.mayHaveRun = true
	if m.mustAwaitOtherWorkers(r, s) {
		return
	}
	m.explain(r.task.ID, fmt.Sprintf("attempt %d failed on worker %s", s.Attempt, w.id))
	again := r.task.Kind == domain.KindWatch ||
		r.task.Kind == domain.KindBatch && r.failures < maxTaskFailures
	if !again || r.stopping == stopCancel {
		r.worker, r.attempt = w.id, s.Attempt
		m.finish(r, domain.Outcome{State: domain.OutcomeFailed, Err: errTaskFailed(r.task.ID, w.id)})
		return
	}
	r.attempt = max(r.attempt, s.Attempt)
	m.avoid(r, w.id)
	r.notBefore = m.now + backoff(r.failures)
	m.releaseCapacity(r, ResultFailed)
	m.requeue(r)
}

func errTaskFailed(id domain.RequestID, w domain.WorkerID) *domain.Error {
	return &domain.Error{
		Kind:      domain.KindTaskFailed,
		Message:   fmt.Sprintf("the work ran on worker %s and failed", w),
		Remedy:    "see basilferry explain for its attempts, and the task's own messages",
		RequestID: id.String(),
	}
}

// handleStopped handles a task that a worker stopped before it finished.
func (m *StateMachine) handleStopped(r *request, w *worker, s platform.TaskStatus) {
	if !r.mayBeOnWorker() || m.mustAwaitOtherWorkers(r, s) {
		return
	}
	r.mayHaveRun = true
	r.attempt = max(r.attempt, s.Attempt)
	why := r.stopping
	m.explain(r.task.ID, fmt.Sprintf("attempt %d stopped on worker %s, checkpoint %q", s.Attempt, w.id, s.Checkpoint))
	switch {
	case why == stopCancel:
		m.finish(r, domain.Outcome{State: domain.OutcomeCancelled})
	case r.isRestartable() && !(r.isUrgent() && r.isPastDeadline(m.now)):
		m.requeue(r)
	default:
		m.finish(r, domain.Outcome{
			State: domain.OutcomeFailed,
			Err: &domain.Error{
				Kind:      domain.KindOutcomeUnknown,
				Message:   fmt.Sprintf("worker %s stopped the work before it finished; part of it may have taken effect", w.id),
				Remedy:    "check the effect before you send the work again under a new key",
				RequestID: r.task.ID.String(),
			},
		})
	}
}

// mustAwaitOtherWorkers reports whether a restartable task stays in recovery although
// a worker reports an attempt that ended there. A later attempt may be running on a
// worker that has not been attached yet. If so, it also records the attempt number.
func (m *StateMachine) mustAwaitOtherWorkers(r *request, s platform.TaskStatus) bool {
	if m.recovered || r.state != stateRecovering || !r.isRestartable() {
		return false
	}
	r.attempt = max(r.attempt, s.Attempt)
	return true
}

// handleNeverStarted handles a start that certainly had no effect and will have
// none.
func (m *StateMachine) handleNeverStarted(r *request, w *worker) {
	if !r.isOnWorker() {
		return
	}
	if r.stopping == stopCancel {
		m.finish(r, domain.Outcome{State: domain.OutcomeCancelled})
		return
	}
	m.explain(r.task.ID, fmt.Sprintf("worker %s never started attempt %d", w.id, r.attempt))
	r.startRefused = true
	m.requeue(r)
}
