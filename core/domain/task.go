package domain

import (
	"fmt"
	"time"
)

// MaxPayloadBytes is the largest size of a request payload and of an answer.
const MaxPayloadBytes = 1 << 20

// Kind is the kind of a task.
type Kind string

// The three kinds of task.
const (
	// KindUrgent is a request with a deadline whose client waits for the
	// answer.
	KindUrgent Kind = "urgent"
	// KindBatch is work that can be delayed, checkpointed and resumed.
	KindBatch Kind = "batch"
	// KindWatch is a long-running task that must always be running.
	KindWatch Kind = "watch"
)

// Valid reports whether k is one of the three kinds.
func (k Kind) Valid() bool {
	return k == KindUrgent || k == KindBatch || k == KindWatch
}

// Resources is a capacity or demand vector.
type Resources struct {
	// CPUMilli is processor time in thousandths of a core.
	CPUMilli int64 `json:"cpu_milli"`
	// MemoryMiB is memory in MiB.
	MemoryMiB int64 `json:"memory_mib"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
	// Slots is the number of execution slots.
	Slots int64 `json:"slots,omitempty"`
	// Connections is the number of connections.
	Connections int64 `json:"connections,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli + o.CPUMilli,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
		Connections:  r.Connections + o.Connections,
	}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli - o.CPUMilli,
		MemoryMiB:    r.MemoryMiB - o.MemoryMiB,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
		Connections:  r.Connections - o.Connections,
	}
}

// Fits reports whether r is within capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPUMilli <= capacity.CPUMilli &&
		r.MemoryMiB <= capacity.MemoryMiB &&
		r.Accelerators <= capacity.Accelerators &&
		r.Slots <= capacity.Slots &&
		r.Connections <= capacity.Connections
}

// AtLeastZero returns the resources with 0 in place of negative amounts.
func (r Resources) AtLeastZero() Resources {
	return Resources{
		CPUMilli: max(0, r.CPUMilli), MemoryMiB: max(0, r.MemoryMiB), Accelerators: max(0, r.Accelerators),
		Slots: max(0, r.Slots), Connections: max(0, r.Connections),
	}
}

// HasNegative reports whether any dimension is below zero.
func (r Resources) HasNegative() bool {
	return r.CPUMilli < 0 || r.MemoryMiB < 0 || r.Accelerators < 0 || r.Slots < 0 || r.Connections < 0
}

// Task is the description of one piece of work. It does not change after the
// request has been accepted.
type Task struct {
	ID    RequestID `json:"id"`
	Kind  Kind      `json:"kind"`
	Class Class     `json:"class"`
	Team  Team      `json:"team"`
	// Resources is the declared demand. The actual use may differ widely.
	Resources Resources `json:"resources"`
	// Idempotent is true if the task may safely run more than once. The default
	// is false.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deadline is the time within which an urgent task must be answered,
	// counted from its arrival at the first entry node. Zero for batch tasks
	// and watches.
	Deadline time.Duration `json:"deadline_ns,omitempty"`
	// Payload is passed to the task without being interpreted. It has at most
	// MaxPayloadBytes.
	Payload []byte `json:"payload,omitempty"`
}

// Validate returns an *Error of kind KindBadRequest or KindTooLarge for the
// first invalid field, or nil.
func (t Task) Validate() error {
	if !t.Kind.Valid() {
		return t.badRequest(fmt.Sprintf("kind %q is unknown", t.Kind), "use urgent, batch or watch")
	}
	if t.Class == "" {
		return t.badRequest("class is empty", "name the class of work, for example credit-check")
	}
	if t.Team == "" {
		return t.badRequest("team is empty", "name the team that submits the work")
	}
	if t.Kind == KindUrgent && t.Deadline <= 0 {
		return t.badRequest("an urgent request has no deadline", "set deadline_ms to a positive number")
	}
	if t.Resources.HasNegative() {
		return t.badRequest("resources are negative", "set each resource to zero or more")
	}
	if t.Resources.CPUMilli == 0 || t.Resources.MemoryMiB == 0 {
		return t.badRequest("cpu_milli or memory_mib is zero", "declare the processor and memory that the task needs")
	}
	if len(t.Payload) > MaxPayloadBytes {
		return &Error{
			Kind:      KindTooLarge,
			Message:   fmt.Sprintf("payload has %d bytes, the limit is %d", len(t.Payload), MaxPayloadBytes),
			Remedy:    "send a reference to the data in place of the data",
			RequestID: t.idString(),
		}
	}
	return nil
}

func (t Task) badRequest(message, remedy string) *Error {
	return &Error{Kind: KindBadRequest, Message: message, Remedy: remedy, RequestID: t.idString()}
}

func (t Task) idString() string {
	if t.ID.IsZero() {
		return ""
	}
	return t.ID.String()
}

// OutcomeState is what is known about the execution of a request.
type OutcomeState string

// Outcome states. OutcomeSucceeded, OutcomeFailed, OutcomeNotRun and
// OutcomeCancelled are final.
const (
	// OutcomeAccepted: the request is stored; its task waits or runs.
	OutcomeAccepted OutcomeState = "accepted"
	// OutcomeRunning: the task runs on a worker.
	OutcomeRunning OutcomeState = "running"
	// OutcomeSucceeded: the task completed; Answer is complete.
	OutcomeSucceeded OutcomeState = "ran"
	// OutcomeFailed: the task ran and failed.
	OutcomeFailed OutcomeState = "failed"
	// OutcomeNotRun: the task did not run and will not run under this id.
	OutcomeNotRun OutcomeState = "not_run"
	// OutcomeCancelled: the task was cancelled by its client.
	OutcomeCancelled OutcomeState = "cancelled"
	// OutcomeUnknown: it is unknown whether the task ran.
	OutcomeUnknown OutcomeState = "outcome_unknown"
)

// Final reports whether the state never changes again.
func (s OutcomeState) Final() bool {
	switch s {
	case OutcomeSucceeded, OutcomeFailed, OutcomeNotRun, OutcomeCancelled:
		return true
	}
	return false
}

// Outcome is what a client is told about one request.
type Outcome struct {
	ID    RequestID    `json:"id"`
	State OutcomeState `json:"state"`
	// Answer is the task's answer; only with OutcomeSucceeded.
	Answer []byte `json:"answer,omitempty"`
	// Worker is the worker on which the task ran or runs; empty if none.
	Worker WorkerID `json:"worker,omitempty"`
	// Attempt is the attempt number, counted from 1; 0 if the task was never
	// placed.
	Attempt int `json:"attempt,omitempty"`
	// Volatile is true for a batch task or watch that was accepted during a log
	// outage: its worker and its owner have recorded it, but it is not in the
	// log yet.
	Volatile bool `json:"volatile,omitempty"`
	// Err explains OutcomeFailed, OutcomeNotRun and OutcomeUnknown.
	Err *Error `json:"error,omitempty"`
}
