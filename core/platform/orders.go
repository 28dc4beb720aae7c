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

// RunKey names one run of a task: the number rises with each start.
type RunKey struct {
	// Task is the task's name.
	Task string
	Run  int
}

// Running is one entry of a worker's list of runs.
type Running struct {
	RunKey
	// Checkpoint is the latest saved progress; empty for none.
	Checkpoint string
	// Percent is the progress, or 100 for a long-running task at work.
	Percent int
	// Observed is the tail latency in milliseconds of a serving task, and the
	// processor use in thousandths of a core of any other task.
	Observed int64
}

// EndKind tells how a run ended.
type EndKind string

// How a run ends.
const (
	// EndDone: the run did its work.
	EndDone EndKind = "done"
	// EndFailed: the run failed, through its own fault or the worker's.
	EndFailed EndKind = "failed"
	// EndStopped: the run was stopped by an order.
	EndStopped EndKind = "stopped"
	// EndLapsed: the worker's lease ran out.
	EndLapsed EndKind = "lapsed"
	// EndBroken: another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone: the other members of the gang did not come in time.
	EndAlone EndKind = "alone"
)

// Ended is one entry of a worker's list of ends.
type Ended struct {
	RunKey
	// Number counts the ends of one life of the worker, from 1.
	Number     int64
	How        EndKind
	Checkpoint string
}

// HoldOrder extends the lease of all that runs on a worker and asks for its
// state.
type HoldOrder struct {
	Token Token
	// Until is the end of the lease on the worker's clock; zero for no lease.
	Until time.Duration
	// Seen is the number of the last end that is stored; the worker forgets
	// the ends up to it.
	Seen int64
	// Wait makes the worker answer only when a run ends, at most this long.
	Wait time.Duration
}

// HoldReport is a worker's state.
type HoldReport struct {
	// Clock is the worker's steady clock.
	Clock time.Duration
	// BornUnixMS identifies the life of the worker.
	BornUnixMS int64
	Running    []Running
	// Ended are the oldest ends after HoldOrder.Seen, at most MaxEnded.
	Ended []Ended
	// Draining tells that the worker leaves after Remaining.
	Draining  bool
	Remaining time.Duration
}

// MaxEnded is how many ends one report has at the most.
const MaxEnded = 500

// StartOrder starts one run.
type StartOrder struct {
	RunKey
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
	Hold(ctx context.Context, to Endpoint, o HoldOrder) (HoldReport, error)
	Start(ctx context.Context, to Endpoint, o StartOrder) (clock time.Duration, err error)
	Stop(ctx context.Context, to Endpoint, run RunKey, token Token) error
	Pace(ctx context.Context, to Endpoint, run RunKey, percent int, token Token) error
}

// RefusedReason tells why a worker refused an order.
type RefusedReason string

// Reasons of a refusal.
const (
	// RefusedFenced: the worker has seen a higher token.
	RefusedFenced RefusedReason = "fenced"
	// RefusedOld: the run is not higher than one that was stopped or ended.
	RefusedOld RefusedReason = "old"
	// RefusedLate: the order's lease was over.
	RefusedLate RefusedReason = "late"
	// RefusedRoom: the worker lacks the capacity.
	RefusedRoom RefusedReason = "room"
	// RefusedTicket: the policy service's permission is missing or over.
	RefusedTicket RefusedReason = "ticket"
	// RefusedInstance: another life of the worker answered.
	RefusedInstance RefusedReason = "instance"
	// RefusedUnhealthy: the worker is unhealthy or overloaded.
	RefusedUnhealthy RefusedReason = "unhealthy"
	// RefusedMalformed: the worker does not accept the order.
	RefusedMalformed RefusedReason = "malformed"
)

// RefusedError is the refusal of an order by a worker.
type RefusedError struct{ Reason RefusedReason }

// Error implements error.
func (e *RefusedError) Error() string {
	return "the worker refused the order (" + string(e.Reason) + "); start the task on another worker"
}

// RefusalOf returns the reason of a worker's refusal, or the empty reason if
// err is not one.
func RefusalOf(err error) RefusedReason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}
