package shard

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilferry/basilferry/core/chart"
	"github.com/basilferry/basilferry/core/domain"
)

// States of a request; the names are those of chart file task.json.
const (
	stateNew        chart.State = "new"
	stateRecovering chart.State = "recovering"
	stateLogging    chart.State = "logging"
	stateQueued     chart.State = "queued"
	stateStarting   chart.State = "starting"
	stateRunning    chart.State = "running"
	stateStopping   chart.State = "stopping"
	stateUncertain  chart.State = "uncertain"
	stateMoving     chart.State = "moving"
	stateMoved      chart.State = "moved"
	// stateClosing: the outcome is being logged before clients are told.
	stateClosing chart.State = "closing"
	stateEnded   chart.State = "ended"
)

// Events of the task chart.
const (
	eventRecover chart.Event = "recover"
	eventLog     chart.Event = "log"
	eventQueue   chart.Event = "queue"
	eventPlace   chart.Event = "place"
	eventRun     chart.Event = "run"
	eventStop    chart.Event = "stop"
	eventLose    chart.Event = "lose"
	eventMove    chart.Event = "move"
	eventClose   chart.Event = "close"
	eventDepart  chart.Event = "depart"
	eventReturn  chart.Event = "return"
	eventEnd     chart.Event = "end"
)

// stopReason is why a task is being stopped.
type stopReason int

const (
	stopNone stopReason = iota
	stopCancel
	stopEvict
	stopMove
	// stopResolve makes sure that a start whose answer was lost takes no effect
	// later.
	stopResolve
)

// request is the state of one request.
type request struct {
	task     domain.Task
	bodyHash uint64
	state    chart.State
	// described is false if the task description is not known, for example because
	// the log holds only the intent of the request.
	described bool
	// logged is true if the log holds the job, the intent or the move, or if the
	// intent waits in the backlog.
	logged bool
	// acknowledged is true once the client of a batch task or watch was told that
	// the task is accepted.
	acknowledged bool
	// appended is true if the job was sent to the log when the task was accepted,
	// whether or not the log holds it. A later owner that reads it there may start
	// the task.
	appended bool
	// calls holds the calls whose clients wait for an answer.
	calls []CallID

	attempt    int
	checkpoint string
	// loggedCheckpoint is the checkpoint that the log holds.
	loggedCheckpoint string
	worker           domain.WorkerID
	reserved         domain.Resources
	acceptedAt       Instant
	// startMeasured is true once Measured has reported the first start.
	startMeasured bool
	startedAt     Instant
	// expiresAt is when the clients stop waiting; 0 for never.
	expiresAt Instant
	// notBefore is when a delayed request or command is tried again.
	notBefore Instant
	// avoid lists workers that refused the task, or where it failed, recently.
	avoid []domain.WorkerID
	// avoidUntil is when avoid is cleared.
	avoidUntil Instant
	// startRefused is true if an earlier start was refused or had no effect.
	startRefused bool
	// inherited is true if an earlier owner accepted the request and may run it on
	// a worker that this owner has not attached to yet.
	inherited bool
	// mayHaveRun is true if an attempt ran or may have run. The request is then
	// never answered with OutcomeNotRun.
	mayHaveRun bool
	// failures counts the failed attempts and the starts refused with
	// KindBadRequest.
	failures int

	stopping stopReason
	// target is the shard that the request moves or has moved to.
	target domain.ShardID
	// moves counts the moves of the task between failure domains. It identifies the
	// latest move.
	moves int
	// moveLogged is true if the log holds the move to the target; moveConfirmed is
	// true if the target has taken the request over.
	moveLogged    bool
	moveConfirmed bool

	outcome domain.Outcome
	// endLogged is true if the log holds the outcome.
	endLogged bool
	endedAt   Instant
}

func (r *request) isUrgent() bool { return r.task.Kind == domain.KindUrgent }

// isRestartable reports whether another attempt does no harm. Batch tasks and
// watches resume from checkpoints by contract.
func (r *request) isRestartable() bool {
	return !r.isUrgent() || r.task.Idempotent
}

// isOnWorker reports whether the request is placed on a known worker.
func (r *request) isOnWorker() bool {
	switch r.state {
	case stateStarting, stateRunning, stateStopping, stateUncertain:
		return r.worker != ""
	}
	return false
}

// mayBeOnWorker reports whether an attempt of the request may be on a worker, even
// on one that this owner does not know.
func (r *request) mayBeOnWorker() bool {
	return r.isOnWorker() || r.state == stateRecovering || r.state == stateUncertain
}

func (r *request) demand(now Instant) Demand {
	d := Demand{
		ID:       r.task.ID,
		Kind:     r.task.Kind,
		Class:    r.task.Class,
		Team:     r.task.Team,
		Declared: r.task.Resources,
		Retry:    r.startRefused,
		Avoid:    r.avoid,
	}
	if r.expiresAt > 0 {
		d.Budget = max(r.expiresAt-now, 0)
	}
	return d
}

// currentOutcome returns the outcome as known now.
func (r *request) currentOutcome() domain.Outcome {
	if r.state == stateEnded {
		return r.outcome
	}
	o := domain.Outcome{ID: r.task.ID, Worker: r.worker, Attempt: r.attempt}
	o.Volatile = !r.isUrgent() && !r.logged
	switch r.state {
	case stateRunning, stateStopping:
		o.State = domain.OutcomeRunning
	case stateUncertain, stateRecovering:
		o.State = domain.OutcomeUnknown
		o.Err = errUnknown(r.task.ID, "the worker that may run the request does not answer")
	default:
		o.State = domain.OutcomeAccepted
	}
	if r.isUrgent() || o.State == domain.OutcomeRunning {
		return o
	}
	if r.acknowledged {
		o.State, o.Err = domain.OutcomeAccepted, nil
	} else {
		o.State = domain.OutcomeUnknown
		o.Err = errUnknown(r.task.ID, "neither the log nor a worker holds it yet")
	}
	return o
}

// BodyHash returns the xxhash64 of a task without its id and deadline. It
// distinguishes a repeated request from another request under the same key.
func BodyHash(t domain.Task) uint64 {
	t.ID = domain.RequestID{}
	t.Deadline = 0
	data, err := json.Marshal(t)
	if err != nil {
		// A domain.Task holds no value that JSON cannot represent.
		panic(err)
	}
	return xxhash.Sum64(data)
}

// errUnknown returns the error that explains OutcomeUnknown.
func errUnknown(id domain.RequestID, why string) *domain.Error {
	return &domain.Error{
		Kind:      domain.KindOutcomeUnknown,
		Message:   "whether the work ran is not known: " + why,
		Remedy:    "ask again with GET /v1/requests/{id}; send the work again only if a repeat does no harm",
		RequestID: id.String(),
	}
}

// errNotRun returns the error that explains OutcomeNotRun.
func errNotRun(id domain.RequestID, why string) *domain.Error {
	return &domain.Error{
		Kind:      domain.KindNotRun,
		Message:   "the work did not run: " + why,
		Remedy:    "send it again under a new id or key",
		RequestID: id.String(),
	}
}

// errNotAccepted returns the error for a call that this owner does not accept.
func errNotAccepted(id domain.RequestID, why string) *domain.Error {
	return &domain.Error{
		Kind:      domain.KindStaleEpoch,
		Message:   why,
		Remedy:    "ask the owner of the shard again in a moment",
		RequestID: id.String(),
	}
}

// isPastDeadline reports whether the clients' wait has expired.
func (r *request) isPastDeadline(now Instant) bool {
	return r.expiresAt > 0 && now >= r.expiresAt
}

// backoff returns the delay before the next attempt of a task after n failures.
func backoff(n int) time.Duration {
	if n <= immediateRestarts {
		return 0
	}
	d := restartDelay << min(n-immediateRestarts-1, 8)
	return min(d, maxRestartDelay)
}
