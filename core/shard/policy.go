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
	// Budget is the time left until an urgent request's deadline.
	Budget time.Duration
	// Retry is true if an earlier start of this request was refused or had no effect.
	Retry bool
	// Avoid lists workers that refused this task, or where it failed, recently.
	Avoid []domain.WorkerID
}

// Placement is where to start a task and what to reserve for it there.
type Placement struct {
	Worker   domain.WorkerID
	Reserved domain.Resources
	// Reason is a short sentence that the explain command shows.
	Reason string
}

// Refusal is why a task is not started now.
type Refusal struct {
	// Permanent is true if no worker could ever hold the task.
	Permanent bool
	// MissesDeadline is true if an urgent request cannot be answered by its
	// deadline even if a worker becomes free now.
	MissesDeadline bool
	Reason         string
}

// Result is how a task left a worker.
type Result int

// Results of a task on a worker.
const (
	ResultSucceeded Result = iota
	ResultFailed
	// ResultStopped: stopped, refused or lost; does not count for or against the
	// worker.
	ResultStopped
)

// ReactionKind is an action against interference.
type ReactionKind int

// Kinds of reaction.
const (
	ReactThrottle ReactionKind = iota
	ReactLiftThrottle
	ReactEvict
)

// Reaction asks the state machine to act on a running batch task, because the
// task slows down tasks that run alongside it (interference).
type Reaction struct {
	Kind   ReactionKind
	Worker domain.WorkerID
	ID     domain.RequestID
	// Share is the share of its reservation that the task may use from now on, in
	// (0, 1], for ReactThrottle and ReactLiftThrottle.
	Share  float64
	Reason string
}

// Policy decides where and in which order tasks start. The state machine
// reports every change to it; the decisions depend on nothing but these calls.
// It is used from one goroutine.
type Policy interface {
	// Configure sets the preset and the quotas.
	Configure(now Instant, preset domain.Preset, quotas []domain.Quota)
	// WorkerUp adds a worker or makes it available again.
	WorkerUp(now Instant, w WorkerInfo)
	// WorkerDown makes a worker unavailable, because it is unreachable or leaving.
	// Capacity reserved on it stays reserved.
	WorkerDown(now Instant, id domain.WorkerID)
	// WorkerRemoved removes a worker on which no capacity is reserved.
	WorkerRemoved(now Instant, id domain.WorkerID)
	// Reserve reserves capacity for a task that runs, or may run, on a worker.
	Reserve(now Instant, worker domain.WorkerID, d Demand, reserved domain.Resources)
	// Release frees the capacity reserved by Reserve. Unknown ids are ignored.
	Release(now Instant, worker domain.WorkerID, id domain.RequestID, r Result, took time.Duration)
	// Observe records usage reports of a worker.
	Observe(now Instant, worker domain.WorkerID, usage []platform.Usage)
	// Choose picks a worker for an urgent request. It changes nothing.
	Choose(now Instant, d Demand) (Placement, *Refusal)
	// CheckFits returns a refusal if no known worker could ever hold the task. It
	// returns nil if no worker is known yet.
	CheckFits(d Demand) *Refusal
	// Enqueue adds a batch task or watch to the pending tasks.
	Enqueue(now Instant, d Demand)
	// Dequeue removes a pending task. Unknown ids are ignored.
	Dequeue(id domain.RequestID)
	// DequeueNext removes and returns the next pending task that can start now,
	// with its placement: watches first, then batch tasks by fair share. ok is
	// false if none can start.
	DequeueNext(now Instant) (d Demand, c Placement, ok bool)
	// Reactions returns the actions against interference that are due now.
	Reactions(now Instant) []Reaction
}
