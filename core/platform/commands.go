package platform

import (
	"context"
	"errors"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Token is a fencing token: a worker ignores a command with a lower token than
// the highest that it has seen.
type Token int64

// raiseBits is the number of low bits of a token that count its raises.
const raiseBits = 20

// MaxRaises is how often a token can be raised.
const MaxRaises = 1<<raiseBits - 1

// Raised returns the token of an owner that has raised it n times, which is lower than
// that of any later owner. n is at most MaxRaises.
func (t Token) Raised(n int64) Token { return t<<raiseBits | Token(n) }

// Endpoint is where a worker is reached, and which worker is expected there.
type Endpoint struct {
	ID      domain.WorkerID
	Address string
	// Incarnation is the incarnation that is expected, as StartedUnixMS of its heartbeat
	// results; 0 for any.
	Incarnation int64
}

// AttemptKey identifies one attempt of a task.
type AttemptKey struct {
	// Task is the name of the task.
	Task string
	// Attempt is the attempt number. It increases with each attempt of the task.
	Attempt int
}

// Running is the report about one running attempt.
type Running struct {
	AttemptKey
	// Checkpoint is the latest saved progress; empty for none.
	Checkpoint string
	// ProgressPercent is the progress in percent; 100 for a long-running task that is
	// working.
	ProgressPercent int
	// Observed is the tail latency in milliseconds of a serving task, and the
	// CPU use in millicores of any other task.
	Observed int64
}

// CompletionKind is how an attempt finished.
type CompletionKind string

// Kinds of completion.
const (
	// CompletionDone: the attempt did its work.
	CompletionDone CompletionKind = "done"
	// CompletionFailed: the attempt failed, through its own fault or the
	// worker's.
	CompletionFailed CompletionKind = "failed"
	// CompletionStopped: a command stopped the attempt.
	CompletionStopped CompletionKind = "stopped"
	// CompletionLapsed: the worker's lease expired.
	CompletionLapsed CompletionKind = "lapsed"
	// CompletionGangBroken: another member of the gang finished.
	CompletionGangBroken CompletionKind = "broken"
	// CompletionGangIncomplete: the other members of the gang did not start in
	// time.
	CompletionGangIncomplete CompletionKind = "alone"
)

// Completion is the report about one finished attempt.
type Completion struct {
	AttemptKey
	// Number counts the completions of one incarnation of the worker, from 1.
	Number     int64
	Kind       CompletionKind
	Checkpoint string
}

// HeartbeatCommand renews the worker's lease and asks for the worker's status.
type HeartbeatCommand struct {
	Token Token
	// Until is the end of the lease on the worker's clock; zero for no lease.
	Until time.Duration
	// LastStored is the number of the last completion that is stored. The worker
	// forgets the completions up to it.
	LastStored int64
	// Wait is how long the worker may delay its answer until an attempt
	// finishes.
	Wait time.Duration
}

// HeartbeatResult is a worker's status.
type HeartbeatResult struct {
	// Clock is the worker's monotonic clock.
	Clock time.Duration
	// StartedUnixMS is when the worker process started, in Unix milliseconds. It
	// identifies the incarnation of the worker.
	StartedUnixMS int64
	Running       []Running
	// Completions holds the oldest completions after HeartbeatCommand.LastStored,
	// at most MaxCompletions of them.
	Completions []Completion
	// Draining is true if the worker is going to leave after Remaining.
	Draining  bool
	Remaining time.Duration
}

// MaxCompletions is the maximum number of completions in one HeartbeatResult.
const MaxCompletions = 500

// StartCommand starts one attempt.
type StartCommand struct {
	AttemptKey
	Token   Token
	Payload string
	// Until is the end of the lease on the worker's clock. The worker refuses a
	// command that it would carry out later.
	Until      time.Duration
	Checkpoint string
	// Ticket is the permission of the queue's policy service; empty for none.
	Ticket string
}

// WorkerClient sends the owner's commands to the workers.
//
// A *RefusedError means that the worker has answered and did nothing. After any
// other error, the command may have been carried out or may still be carried
// out.
//
// A client that can tell which incarnation it is connected to sends a command only to the
// incarnation that its endpoint names. It returns RefusedRestarted if there is another one,
// and a *CallError with the incarnation if a command gets no response.
type WorkerClient interface {
	// Heartbeat sends a heartbeat, which renews the lease of the worker.
	Heartbeat(ctx context.Context, to Endpoint, command HeartbeatCommand) (HeartbeatResult, error)
	// Start starts an attempt. It returns a reading of the worker's clock.
	Start(ctx context.Context, to Endpoint, command StartCommand) (clock time.Duration, err error)
	// Stop stops an attempt.
	Stop(ctx context.Context, to Endpoint, attempt AttemptKey, token Token) error
	// Throttle sets the speed limit of a best-effort attempt, in percent of full
	// speed.
	Throttle(ctx context.Context, to Endpoint, attempt AttemptKey, percent int, token Token) error
}

// RefusalReason is why a worker refused a command.
type RefusalReason string

// Reasons of a refusal.
const (
	// RefusedFenced: the worker has seen a higher fencing token.
	RefusedFenced RefusalReason = "fenced"
	// RefusedStale: the attempt number is not higher than that of an attempt
	// that was stopped or finished.
	RefusedStale RefusalReason = "old"
	// RefusedLeaseExpired: the lease in the command had expired.
	RefusedLeaseExpired RefusalReason = "late"
	// RefusedCapacity: the worker lacks the free capacity.
	RefusedCapacity RefusalReason = "room"
	// RefusedTicket: the policy service's permission is missing or has expired.
	RefusedTicket RefusalReason = "ticket"
	// RefusedIncarnation: another incarnation of the worker, or another worker,
	// answered.
	RefusedIncarnation RefusalReason = "instance"
	// RefusedRestarted: the worker has restarted, and its new incarnation did not receive
	// the command.
	RefusedRestarted RefusalReason = "restarted"
	// RefusedUnhealthy: the worker is unhealthy or overloaded.
	RefusedUnhealthy RefusalReason = "unhealthy"
	// RefusedMalformed: the worker does not accept the form of the command.
	RefusedMalformed RefusalReason = "malformed"
)

// RefusedError is the refusal of a command by a worker.
type RefusedError struct {
	Reason RefusalReason
	// Incarnation is the worker's new incarnation if Reason is RefusedRestarted.
	Incarnation int64
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "the worker refused the command (" + string(e.Reason) + "); start the task on another worker"
}

// RefusalOf returns the reason of a worker's refusal, or the empty reason if
// err is not a refusal.
func RefusalOf(err error) RefusalReason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}
