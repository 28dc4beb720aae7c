package shard

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// WorkerInfo describes a worker to the policy.
type WorkerInfo struct {
	ID       domain.WorkerID
	Rack     string
	Capacity domain.Resources
}

// Demand is what the policy needs to know of a task.
type Demand struct {
	ID       domain.RequestID
	Kind     domain.Kind
	Class    domain.Class
	Team     domain.Team
	Declared domain.Resources
	// Budget is how long an urgent request can still wait for its answer.
	Budget time.Duration
	// Retry tells that a worker refused an earlier start of this request.
	Retry bool
	// Avoid lists workers that refused or failed this task before.
	Avoid []domain.WorkerID
}

// Placement is where to start a task and what to reserve for it there.
type Placement struct {
	Worker   domain.WorkerID
	Reserved domain.Resources
	// Reason is a short sentence for the explain command.
	Reason string
}

// Refusal tells why a task is not started now.
type Refusal struct {
	// Permanent tells that no worker could ever hold the task.
	Permanent bool
	// MissesDeadline tells that an urgent request cannot be answered by its deadline any
	// more, also if a worker became free now.
	MissesDeadline bool
	Reason         string
}

// Result is how a task left a worker.
type Result int

// Results of a task on a worker.
const (
	ResultSucceeded Result = iota
	ResultFailed
	// ResultStopped: stopped, refused or lost; says nothing of the worker.
	ResultStopped
)

// ReactionKind is what to do against interference.
type ReactionKind int

// Kinds of reaction.
const (
	ReactThrottle     ReactionKind = iota
	ReactLiftThrottle              // lift a throttle
	ReactEvict
)

// Reaction asks the machine to act on a running batch task.
type Reaction struct {
	Kind   ReactionKind
	Worker domain.WorkerID
	ID     domain.RequestID
	// Share is the new share for ReactThrottle and ReactLiftThrottle, in (0, 1].
	Share  float64
	Reason string
}

// Policy decides where and in which order tasks start. The machine tells it
// every change; a Policy is pure apart from the state built from these calls.
// It is used from one goroutine.
type Policy interface {
	// Configure puts a preset and the quotas in force.
	Configure(now Instant, preset domain.Preset, quotas []domain.Quota)
	// WorkerUp adds a worker or makes it available again.
	WorkerUp(now Instant, w WorkerInfo)
	// WorkerDown makes a worker unavailable: unreachable or leaving. What is
	// held on it stays held.
	WorkerDown(now Instant, id domain.WorkerID)
	// WorkerRemoved forgets a worker on which nothing is held any more.
	WorkerRemoved(now Instant, id domain.WorkerID)
	// Reserve records that a task runs, or may run, on a worker.
	Reserve(now Instant, worker domain.WorkerID, d Demand, reserved domain.Resources)
	// Release ends a Hold. Unknown ids are ignored.
	Release(now Instant, worker domain.WorkerID, id domain.RequestID, r Result, took time.Duration)
	// Observe takes usage reports of a worker.
	Observe(now Instant, worker domain.WorkerID, usage []platform.Usage)
	// Choose picks a worker for an urgent request. It changes nothing.
	Choose(now Instant, d Demand) (Placement, *Refusal)
	// CheckFits returns a refusal if no known worker could ever hold the task;
	// nil also when no worker is known yet.
	CheckFits(d Demand) *Refusal
	// Enqueue adds a batch task or watch to the pending ones.
	Enqueue(now Instant, d Demand)
	// Dequeue removes a pending task. Unknown ids are ignored.
	Dequeue(id domain.RequestID)
	// DequeueNext removes and returns the next pending task that can start now and
	// where: watches first, then batch by fair share. ok is false if none can.
	DequeueNext(now Instant) (d Demand, c Placement, ok bool)
	// Reactions returns what to do against interference now.
	Reactions(now Instant) []Reaction
}
