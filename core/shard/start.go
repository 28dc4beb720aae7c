package shard

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// schedule starts what can start now: urgent requests first, then watches and
// batch tasks in the policy's order.
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

// maxSkippedUrgent bounds the waiting urgent requests that one Step passes over. A
// request that has to wait for its own reasons, such as the retry budget, must
// not hold up those behind it.
const maxSkippedUrgent = 8

// scheduleUrgent starts waiting urgent requests in order of arrival.
func (m *StateMachine) scheduleUrgent() {
	if !m.mayStart(domain.KindUrgent) {
		return
	}
	list, looked := m.waitingUrgent, 0
	var passed []domain.RequestID
	for looked < len(list) && len(passed) < maxSkippedUrgent {
		if m.startWaitingUrgent(list[looked]) {
			passed = append(passed, list[looked])
		}
		looked++
	}
	// The ones passed over go back in front, in the places that were looked at.
	m.waitingUrgent = list[looked-len(passed):]
	copy(m.waitingUrgent, passed)
}

// startWaitingUrgent starts or refuses a waiting urgent request; it reports whether the
// request goes on waiting.
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

// finishNotRun ends a request that waits and will not be started any more. One
// that may have run on a lost worker before keeps an unknown outcome.
func (m *StateMachine) finishNotRun(r *request, why string) {
	if r.mayHaveRun {
		m.markUncertain(r, why+"; an earlier attempt may have run")
		return
	}
	m.close(r, domain.Outcome{State: domain.OutcomeNotRun, Err: errNotRun(r.task.ID, why)})
}

// startDequeued starts a task that the policy has taken from its queue. It returns
// false if nothing of this kind may start now.
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
		m.explain(r.task.ID, fmt.Sprintf("internal: the policy chose worker %s, which takes no tasks", c.Worker))
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

// queueIntentRecord logs the intent of a request that starts while the log does not
// answer, so that a later owner knows of it once the log answers again.
func (m *StateMachine) queueIntentRecord(r *request) {
	if r.logged || !r.isUrgent() || r.task.Idempotent {
		return
	}
	r.logged = true
	m.backlog = append(m.backlog, journal.Entry{
		Shard: m.shard, Epoch: m.epoch, Intent: &journal.Intent{ID: r.task.ID, BodyHash: r.bodyHash},
	})
}

// delayQueued lets a request that is in state queued, and was not started,
// wait for the next tick. An urgent one keeps its place in line.
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

// isStartRefused reports whether the start surely had no effect.
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
		// The session may have ended; the renewal tells.
		m.sendRenew(w)
	}
}

// maxAvoidedWorkers bounds the workers that a task avoids; the oldest is forgotten.
const maxAvoidedWorkers = 4

// avoidDuration is how long a task avoids a worker that refused or failed it. In a
// shard with few workers it may be the only one.
const avoidDuration = 2 * time.Second

func (m *StateMachine) avoid(r *request, id domain.WorkerID) {
	r.avoid = append(r.avoid, id)
	if len(r.avoid) > maxAvoidedWorkers {
		r.avoid = r.avoid[1:]
	}
	r.avoidUntil = m.now + avoidDuration
	m.avoiding[r.task.ID] = true
}

// clearAvoidedWorkers lets tasks go back to workers that they have avoided long enough.
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

// resolveStart finds out what became of a start whose answer was lost. For an urgent
// request it asks first, since the answer may still come with the events. The
// stop that follows makes sure that a start still under way starts nothing.
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
		// The worker has no record of this attempt, at most of an earlier one.
		m.sendStop(r, w, stopResolve)
	default:
		// An event or the end of the lease may settle the request before the
		// next lookup.
		m.retryLater(r)
	}
}

// retryLater repeats the command that the state of the request asks for.
func (m *StateMachine) retryLater(r *request) {
	r.notBefore = m.now + retryInterval
	m.delayed[r.task.ID] = true
}

// applyStatus takes what a worker says of a task that this owner knows.
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

// handleOtherAttempt handles an attempt that this owner does not follow: one that
// ended on a worker that could not be reached, or a stray one. The first result
// wins, so that a task has one answer.
func (m *StateMachine) handleOtherAttempt(r *request, w *worker, s platform.TaskStatus) {
	if s.State != platform.TaskSucceeded || r.isUrgent() || s.Attempt > r.attempt {
		m.stopStray(w, s)
		return
	}
	m.explain(r.task.ID, fmt.Sprintf("attempt %d had ended on worker %s; attempt %d is stopped", s.Attempt, w.id, r.attempt))
	if other, known := m.workers[r.worker]; known {
		m.stopStray(other, platform.TaskStatus{Task: r.task, Attempt: r.attempt, State: platform.TaskRunning})
	}
	m.finish(r, domain.Outcome{State: domain.OutcomeSucceeded, Answer: s.Answer})
}

// stopStray stops a task that runs where this owner does not want it.
func (m *StateMachine) stopStray(w *worker, s platform.TaskStatus) {
	if s.State != platform.TaskRunning {
		return
	}
	m.explain(s.Task.ID, fmt.Sprintf("stopping a stray attempt %d on worker %s", s.Attempt, w.id))
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

// handleFailed handles a task that ran and failed. A batch task is tried on other
// workers, since some workers fail everything; a watch is always restarted.
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

// handleStopped handles a task that a worker stopped before its end.
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
				Message:   fmt.Sprintf("worker %s stopped the work before its end; part of it may have taken effect", w.id),
				Remedy:    "check the effect before sending the work again under a new key",
				RequestID: r.task.ID.String(),
			},
		})
	}
}

// mustAwaitOtherWorkers keeps a restartable task in recovery although one worker says
// that an attempt ended there: a later attempt may run on a worker that has
// not been attached yet.
func (m *StateMachine) mustAwaitOtherWorkers(r *request, s platform.TaskStatus) bool {
	if m.recovered || r.state != stateRecovering || !r.isRestartable() {
		return false
	}
	r.attempt = max(r.attempt, s.Attempt)
	return true
}

// handleNeverStarted handles a start that surely had no effect and will have none.
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
