package platform

import (
	"context"
	"errors"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Token fences orders: a worker does nothing for an order with a lower token
// than the highest that it has seen.
type Token int64

// Endpoint is where a worker is reached and which life of it is meant.
type Endpoint struct {
	ID      domain.WorkerID
	Address string
}

// AttemptKey names one run of a task: the number rises with each start.
type AttemptKey struct {
	// Task is the task's name.
	Task string
	Run  int
}

// Running is one entry of a worker's list of runs.
type Running struct {
	AttemptKey
	// Checkpoint is the latest saved progress; empty for none.
	Checkpoint string
	// Percent is the progress, or 100 for a long-running task at work.
	Percent int
	// Observed is the tail latency in milliseconds of a serving task, and the
	// processor use in thousandths of a core of any other task.
	Observed int64
}

// CompletionKind tells how a run ended.
type CompletionKind string

// How a run ends.
const (
	// CompletionDone: the run did its work.
	CompletionDone CompletionKind = "done"
	// CompletionFailed: the run failed, through its own fault or the worker's.
	CompletionFailed CompletionKind = "failed"
	// CompletionStopped: the run was stopped by an order.
	CompletionStopped CompletionKind = "stopped"
	// CompletionLapsed: the worker's lease ran out.
	CompletionLapsed CompletionKind = "lapsed"
	// CompletionGangBroken: another member of the gang ended.
	CompletionGangBroken CompletionKind = "broken"
	// CompletionGangIncomplete: the other members of the gang did not come in time.
	CompletionGangIncomplete CompletionKind = "alone"
)

// Completion is one entry of a worker's list of ends.
type Completion struct {
	AttemptKey
	// Number counts the ends of one life of the worker, from 1.
	Number     int64
	Kind       CompletionKind
	Checkpoint string
}

// HeartbeatCommand extends the lease of all that runs on a worker and asks for its
// state.
type HeartbeatCommand struct {
	Token Token
	// Until is the end of the lease on the worker's clock; zero for no lease.
	Until time.Duration
	// LastStored is the number of the last end that is stored; the worker forgets
	// the ends up to it.
	LastStored int64
	// Wait makes the worker answer only when a run ends, at most this long.
	Wait time.Duration
}

// HeartbeatResult is a worker's state.
type HeartbeatResult struct {
	// Clock is the worker's steady clock.
	Clock time.Duration
	// StartedUnixMS identifies the life of the worker.
	StartedUnixMS int64
	Running       []Running
	// Completion are the oldest ends after HeartbeatCommand.Seen, at most MaxCompletions.
	Completion []Completion
	// Draining tells that the worker leaves after Remaining.
	Draining  bool
	Remaining time.Duration
}

// MaxCompletions is how many ends one report has at the most.
const MaxCompletions = 500

// StartCommand starts one run.
type StartCommand struct {
	AttemptKey
	Token   Token
	Payload string
	// Until is the end of the lease on the worker's clock. An order that is
	// carried out after it is refused.
	Until      time.Duration
	Checkpoint string
	// Ticket is the permission of the queue's policy service; empty for none.
	Ticket string
}

// Worker orders. A *RefusedError means that the worker has answered and did
// nothing; any other error leaves open whether the order was or will be
// carried out.
type Orders interface {
	Hold(ctx context.Context, to Endpoint, o HeartbeatCommand) (HeartbeatResult, error)
	Start(ctx context.Context, to Endpoint, o StartCommand) (clock time.Duration, err error)
	Stop(ctx context.Context, to Endpoint, run AttemptKey, token Token) error
	Throttle(ctx context.Context, to Endpoint, run AttemptKey, percent int, token Token) error
}

// RefusalReason tells why a worker refused an order.
type RefusalReason string

// Reasons of a refusal.
const (
	// RefusedFenced: the worker has seen a higher token.
	RefusedFenced RefusalReason = "fenced"
	// RefusedStale: the run is not higher than one that was stopped or ended.
	RefusedStale RefusalReason = "old"
	// RefusedLeaseExpired: the order's lease was over.
	RefusedLeaseExpired RefusalReason = "late"
	// RefusedCapacity: the worker lacks the capacity.
	RefusedCapacity RefusalReason = "room"
	// RefusedTicket: the policy service's permission is missing or over.
	RefusedTicket RefusalReason = "ticket"
	// RefusedIncarnation: another life of the worker answered.
	RefusedIncarnation RefusalReason = "instance"
	// RefusedUnhealthy: the worker is unhealthy or overloaded.
	RefusedUnhealthy RefusalReason = "unhealthy"
	// RefusedMalformed: the worker does not accept the order.
	RefusedMalformed RefusalReason = "malformed"
)

// RefusedError is the refusal of an order by a worker.
type RefusedError struct{ Reason RefusalReason }

// Error implements error.
func (e *RefusedError) Error() string {
	return "the worker refused the order (" + string(e.Reason) + "); start the task on another worker"
}

// RefusalOf returns the reason of a worker's refusal, or the empty reason if
// err is not one.
func RefusalOf(err error) RefusalReason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}
