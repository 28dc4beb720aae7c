package platform

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Time limits of the worker contract.
const (
	// LeaseDuration is how long a session lasts after the time echoed by its
	// last renewal, by the worker's clock.
	LeaseDuration = 4 * time.Second
	// ResultRetention is how long a worker keeps the results of finished tasks.
	ResultRetention = 10 * time.Minute
)

// SessionID names one grant of a worker to an owner. A worker never gives the
// same number twice, also not after a restart.
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
	// TaskStopped: stopped by a command or because the session lapsed. A batch
	// task then carries a checkpoint if it had made any progress.
	TaskStopped TaskState = "stopped"
	// TaskNeverStarted: a stop came before any start. A start with the same or
	// a lower attempt that arrives later is answered with this state.
	TaskNeverStarted TaskState = "never_started"
)

// TaskStatus describes one task on a worker, running or ended.
type TaskStatus struct {
	Task domain.Task `json:"task"`
	// Attempt is the attempt number given in the start command.
	Attempt int       `json:"attempt"`
	State   TaskState `json:"state"`
	// Reserved is the capacity that the task holds on this worker.
	Reserved domain.Resources `json:"reserved"`
	// Answer is the task's answer; only with TaskSucceeded.
	Answer []byte `json:"answer,omitempty"`
	// Checkpoint names the last checkpoint, readable from every worker; empty
	// if there is none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Throttle is the share of its reservation that a batch task may use, in
	// (0, 1].
	Throttle float64 `json:"throttle,omitempty"`
	// Moves is that of the start command.
	Moves int `json:"moves,omitempty"`
}

// AttachRequest opens a session.
type AttachRequest struct {
	Epoch domain.Epoch  `json:"epoch"`
	Owner domain.NodeID `json:"owner"`
}

// AttachReply describes the worker as it is when the session opens.
type AttachReply struct {
	Session SessionID `json:"session"`
	// Incarnation changes when the worker process restarts and forgets the
	// epochs that it has seen.
	Incarnation uint64               `json:"incarnation"`
	Now         WorkerTime           `json:"now"`
	Domain      domain.FailureDomain `json:"domain"`
	Rack        string               `json:"rack"`
	Capacity    domain.Resources     `json:"capacity"`
	// RecordsComplete tells that Tasks holds every task that was started in
	// the last ResultRetention. It is false for that long after a restart.
	RecordsComplete bool `json:"records_complete"`
	// Tasks lists running tasks and those ended within ResultRetention.
	Tasks   []TaskStatus `json:"tasks"`
	Leaving bool         `json:"leaving"`
}

// RenewRequest extends a session.
type RenewRequest struct {
	Epoch   domain.Epoch `json:"epoch"`
	Session SessionID    `json:"session"`
	// Echo is the Now of the last answer that the owner got from this worker.
	// The session's expiry becomes Echo + LeaseDuration, and never moves back;
	// an Echo of zero extends nothing.
	Echo WorkerTime `json:"echo"`
	// EventsAfter is the number of the last task event that the owner has seen.
	EventsAfter uint64 `json:"events_after"`
}

// TaskEvent tells that a task ended. Events of a worker are numbered from 1.
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
	// Slowdown is the ratio of the task's progress time to that of the task
	// alone on the worker; 1 is no interference, 0 is not measured.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Age is how long ago the interval ended.
	Age time.Duration `json:"age_ns"`
}

// RenewReply answers a renewal.
type RenewReply struct {
	Now    WorkerTime  `json:"now"`
	Events []TaskEvent `json:"events,omitempty"`
	Usage  []Usage     `json:"usage,omitempty"`
	// Leaving tells that the worker is shutting down and takes no new tasks.
	Leaving bool `json:"leaving,omitempty"`
}

// StartRequest starts a task under an open session.
type StartRequest struct {
	Epoch   domain.Epoch `json:"epoch"`
	Session SessionID    `json:"session"`
	Task    domain.Task  `json:"task"`
	Attempt int          `json:"attempt"`
	// Reserved is what the task holds; the worker refuses the start with
	// KindNoCapacity if it does not fit what is free.
	Reserved domain.Resources `json:"reserved"`
	// Checkpoint to resume from; empty to start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Moves counts the moves of the task between failure domains. The worker
	// keeps it in the status for a later owner.
	Moves int `json:"moves,omitempty"`
}

// StopRequest stops a task.
type StopRequest struct {
	Epoch   domain.Epoch     `json:"epoch"`
	Session SessionID        `json:"session"`
	ID      domain.RequestID `json:"id"`
	// Attempt is the highest attempt that the stop is meant for.
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
// A command with an epoch below the highest that the worker has seen, or with
// a session that is not open, is refused with KindStaleEpoch and changes
// nothing. A start for an id and attempt, or for an id with a lower attempt,
// that the worker has a record of starts nothing again and returns the
// recorded status.
// An error other than an *domain.Error of kind KindStaleEpoch, KindNoCapacity,
// KindBadRequest or KindNotFound leaves open whether the command took effect.
//
// What holds when a worker checks no epochs: I1, I2 and I7 of docs/design.md
// hold only as long as no owner is replaced.
type Worker interface {
	// Attach opens a session for the epoch and ends the one before it. Tasks
	// go on running under the new session. A session that replaces an open one
	// inherits its expiry, so that an attach whose answer is lost does not
	// extend the lease of tasks; otherwise it expires LeaseDuration after Now.
	Attach(ctx context.Context, req AttachRequest) (AttachReply, error)
	// Renew extends the session and returns task events and usage.
	Renew(ctx context.Context, req RenewRequest) (RenewReply, error)
	// Start starts a batch task or a watch and returns once it runs.
	Start(ctx context.Context, req StartRequest) (TaskStatus, error)
	// Run starts an urgent task and returns its final status with the answer.
	Run(ctx context.Context, req StartRequest) (TaskStatus, error)
	// Stop stops a task and returns its final status once it has ended. If the
	// worker has no record of the id, it keeps one with TaskNeverStarted, so
	// that a start that is still under way starts nothing.
	Stop(ctx context.Context, req StopRequest) (TaskStatus, error)
	// Throttle changes the share that a batch task may use.
	Throttle(ctx context.Context, req ThrottleRequest) error
	// Lookup returns the record of a task, KindNotFound if there is none. It
	// needs no session.
	Lookup(ctx context.Context, id domain.RequestID) (TaskStatus, error)
}
