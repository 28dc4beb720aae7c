package platform

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Time limits of the worker contract.
const (
	// LeaseDuration is how long a session lasts after the time echoed by its
	// last renewal, on the worker's clock.
	LeaseDuration = 4 * time.Second
	// ResultRetention is how long a worker keeps the results of finished tasks.
	ResultRetention = 10 * time.Minute
)

// SessionID identifies a session: the period in which an owner may command a
// worker. A worker never reuses a session id, even after a restart.
type SessionID uint64

// WorkerTime is a reading of a worker's monotonic clock in nanoseconds. Only
// readings of the same worker process can be compared.
type WorkerTime int64

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task on a worker.
const (
	TaskRunning   TaskState = "running"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	// TaskStopped: the task was stopped by a command or because the session
	// expired. A stopped batch task carries a checkpoint if it had made any
	// progress.
	TaskStopped TaskState = "stopped"
	// TaskNeverStarted: a stop arrived before any start. A later start with the
	// same or a lower attempt number is answered with this state.
	TaskNeverStarted TaskState = "never_started"
)

// TaskStatus describes one task on a worker, running or finished.
type TaskStatus struct {
	Task domain.Task `json:"task"`
	// Attempt is the attempt number given in the start command.
	Attempt int       `json:"attempt"`
	State   TaskState `json:"state"`
	// Reserved is the capacity that the task reserves on this worker.
	Reserved domain.Resources `json:"reserved"`
	// Answer is the task's answer; only set with TaskSucceeded.
	Answer []byte `json:"answer,omitempty"`
	// Checkpoint names the last checkpoint, which every worker can read; empty
	// if there is none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Throttle is the share of its reservation that a batch task may use, in
	// (0, 1].
	Throttle float64 `json:"throttle,omitempty"`
	// Moves is the number of moves in the start command.
	Moves int `json:"moves,omitempty"`
}

// AttachRequest opens a session.
type AttachRequest struct {
	Epoch domain.Epoch  `json:"epoch"`
	Owner domain.NodeID `json:"owner"`
}

// AttachReply describes the worker when the session opens.
type AttachReply struct {
	Session SessionID `json:"session"`
	// Incarnation changes when the worker process restarts. A restarted worker
	// has forgotten the epochs that it has seen.
	Incarnation uint64               `json:"incarnation"`
	Now         WorkerTime           `json:"now"`
	Domain      domain.FailureDomain `json:"domain"`
	Rack        string               `json:"rack"`
	Capacity    domain.Resources     `json:"capacity"`
	// RecordsComplete is true if Tasks holds every task that was started in the
	// last ResultRetention. It is false for that long after a restart.
	RecordsComplete bool `json:"records_complete"`
	// Tasks lists the running tasks and those that finished within
	// ResultRetention.
	Tasks   []TaskStatus `json:"tasks"`
	Leaving bool         `json:"leaving"`
}

// RenewRequest extends a session.
type RenewRequest struct {
	Epoch   domain.Epoch `json:"epoch"`
	Session SessionID    `json:"session"`
	// Echo is the Now of the last answer that the owner got from this worker.
	// The session's expiry becomes Echo + LeaseDuration and never moves back. An
	// Echo of zero extends nothing.
	Echo WorkerTime `json:"echo"`
	// EventsAfter is the number of the last task event that the owner has seen.
	EventsAfter uint64 `json:"events_after"`
}

// TaskEvent reports that a task finished. The events of a worker are numbered
// from 1.
type TaskEvent struct {
	Number uint64     `json:"number"`
	Status TaskStatus `json:"status"`
}

// Usage is what one task used over an interval that ended some time ago.
type Usage struct {
	ID    domain.RequestID `json:"id"`
	Class domain.Class     `json:"class"`
	// Used is the observed use over the interval.
	Used domain.Resources `json:"used"`
	// Slowdown is the ratio of the time the task needed for its progress to the
	// time it would need alone on the worker; 1 is no interference, 0 is not
	// measured.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Age is how long ago the interval ended.
	Age time.Duration `json:"age_ns"`
}

// RenewReply answers a renewal.
type RenewReply struct {
	Now    WorkerTime  `json:"now"`
	Events []TaskEvent `json:"events,omitempty"`
	Usage  []Usage     `json:"usage,omitempty"`
	// Leaving is true if the worker is shutting down and takes no new tasks.
	Leaving bool `json:"leaving,omitempty"`
}

// StartRequest starts a task under an open session.
type StartRequest struct {
	Epoch   domain.Epoch `json:"epoch"`
	Session SessionID    `json:"session"`
	Task    domain.Task  `json:"task"`
	Attempt int          `json:"attempt"`
	// Reserved is the capacity that the task reserves; the worker refuses the
	// start with KindNoCapacity if it exceeds the free capacity.
	Reserved domain.Resources `json:"reserved"`
	// Checkpoint is the checkpoint to resume from; empty to start from the
	// beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Moves is how often the task has moved between failure domains. The worker
	// keeps it in the status for a later owner.
	Moves int `json:"moves,omitempty"`
}

// StopRequest stops a task.
type StopRequest struct {
	Epoch   domain.Epoch     `json:"epoch"`
	Session SessionID        `json:"session"`
	ID      domain.RequestID `json:"id"`
	// Attempt is the highest attempt number that the stop applies to.
	Attempt int `json:"attempt"`
	// Checkpoint asks for a checkpoint before the stop.
	Checkpoint bool `json:"checkpoint"`
}

// ThrottleRequest limits a running batch task.
type ThrottleRequest struct {
	Epoch   domain.Epoch     `json:"epoch"`
	Session SessionID        `json:"session"`
	ID      domain.RequestID `json:"id"`
	// Share of the reservation that the task may use, in (0, 1].
	Share float64 `json:"share"`
}

// Worker is the contract of one worker VM.
//
// A command with an epoch below the highest that the worker has seen, or with a
// session that is not open, is refused with KindStaleEpoch and changes nothing.
// If the worker has a record of the same attempt of a task, or of a higher one,
// a start does not start the task again and returns the recorded status. After
// an error other than a *domain.Error of kind KindStaleEpoch, KindNoCapacity,
// KindBadRequest or KindNotFound, it is unknown whether the command took
// effect.
//
// If a worker does not check epochs, the invariants I1, I2 and I7 of
// docs/design.md hold only as long as no owner is replaced.
type Worker interface {
	// Attach opens a session for the epoch and closes the previous one. Tasks go
	// on running under the new session. A session that replaces an open one
	// inherits its expiry, so that an attach whose answer is lost does not
	// extend the lease of tasks. Otherwise the session expires LeaseDuration
	// after Now.
	Attach(ctx context.Context, req AttachRequest) (AttachReply, error)
	// Renew extends the session and returns task events and usage.
	Renew(ctx context.Context, req RenewRequest) (RenewReply, error)
	// Start starts a batch task or a watch and returns once it runs.
	Start(ctx context.Context, req StartRequest) (TaskStatus, error)
	// Run starts an urgent task and returns its final status with the answer.
	Run(ctx context.Context, req StartRequest) (TaskStatus, error)
	// Stop stops a task and returns its final status once the task has finished.
	// If the worker has no record of the id, it keeps one with TaskNeverStarted,
	// so that a start that is still in transit starts nothing.
	Stop(ctx context.Context, req StopRequest) (TaskStatus, error)
	// Throttle changes the share of its reservation that a batch task may use.
	Throttle(ctx context.Context, req ThrottleRequest) error
	// Lookup returns the record of a task, or an error of kind KindNotFound if
	// there is none. It needs no session.
	Lookup(ctx context.Context, id domain.RequestID) (TaskStatus, error)
}
