package shard

import (
	"fmt"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// sendStop stops a task on its worker. A batch task writes a checkpoint unless it
// is cancelled.
func (m *StateMachine) sendStop(r *request, w *worker, why stopReason) {
	if r.state == stateStopping {
		// A later reason to stop does not replace a cancellation.
		if r.stopping != stopCancel {
			r.stopping = why
		}
		return
	}
	if !m.fire(r, eventStop) {
		return
	}
	r.stopping = why
	m.emitStop(r, w)
}

func (m *StateMachine) emitStop(r *request, w *worker) {
	m.emit(SendStop{Worker: w.id, Request: platform.StopRequest{
		Epoch:      m.epoch,
		Session:    w.session,
		ID:         r.task.ID,
		Attempt:    r.attempt,
		Checkpoint: r.task.Kind == domain.KindBatch && r.stopping != stopCancel,
	}})
}

func (m *StateMachine) onStopDone(e StopDone) {
	r, known := m.requests[e.ID]
	if !known || r.worker != e.Worker || r.state != stateStopping {
		return
	}
	w, known := m.workers[e.Worker]
	if !known {
		return
	}
	if e.Err == nil {
		m.applyStatus(w, e.Status)
		return
	}
	// The session ended or the answer was lost. The next attach or the expiry of
	// the lease shows whether the task still runs.
	m.explain(e.ID, fmt.Sprintf("stop on worker %s failed: %s", w.id, e.Err.Message))
	m.retryLater(r)
}

func (m *StateMachine) onCancelled(e Cancelled) {
	r, known := m.requests[e.ID]
	if !known {
		m.cancelUnseen(e)
		return
	}
	switch r.state {
	case stateMoved:
		m.emit(Redirect{Call: e.Call, Target: r.target, ID: e.ID, Cancel: true})
		return
	case stateEnded:
		m.emit(Reply{Call: e.Call, Outcome: r.outcome})
		return
	}
	r.calls = append(r.calls, e.Call)
	m.explain(e.ID, "cancelled by its client")
	m.cancel(r)
}

func (m *StateMachine) cancel(r *request) {
	switch r.state {
	case stateQueued, stateNew:
		m.close(r, domain.Outcome{State: domain.OutcomeCancelled})
	case stateStarting, stateRunning:
		m.sendStop(r, m.workers[r.worker], stopCancel)
	default:
		// A stop or the recovery is in progress, or the request is uncertain or is being
		// logged or moved. It ends as cancelled if its attempt turns out to have been
		// stopped, to be lost or never to have started.
		r.stopping = stopCancel
	}
}

// cancelUnseen closes an id that certainly did not run, so that a copy of the
// request that is still in transit does not start.
func (m *StateMachine) cancelUnseen(e Cancelled) {
	switch m.evidence(e.ID) {
	case evidenceFresh, evidenceClosed:
		r := &request{state: stateNew, calls: []CallID{e.Call}}
		r.task.ID = e.ID
		r.task.Kind = domain.KindUrgent
		m.addRequest(r)
		m.close(r, domain.Outcome{
			State: domain.OutcomeNotRun,
			Err:   errNotRun(e.ID, "it was cancelled before it arrived"),
		})
	case evidencePending:
		m.deferCall(e, maxRecoveryWait)
	case evidenceUnknown:
		m.emit(Reply{Call: e.Call, Outcome: unknownOutcome(e.ID, "a worker that may have run it does not answer")})
	}
}

// react executes the policy's reactions to interference.
func (m *StateMachine) react() {
	if m.now-m.lastReactionAt < reactionInterval || !m.isConfirmed() {
		return
	}
	m.lastReactionAt = m.now
	for _, a := range m.policy.Reactions(m.now) {
		m.reactTo(a)
	}
}

func (m *StateMachine) reactTo(a Reaction) {
	r, known := m.requests[a.ID]
	if !known || r.state != stateRunning || r.worker != a.Worker {
		return
	}
	w := m.workers[a.Worker]
	m.explain(a.ID, a.Reason)
	if a.Kind == ReactEvict {
		m.sendStop(r, w, stopEvict)
		return
	}
	m.emit(SendThrottle{Worker: w.id, Request: platform.ThrottleRequest{
		Epoch: m.epoch, Session: w.session, ID: a.ID, Share: a.Share,
	}})
}
