package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// CommandKind is the kind of an order to a worker.
type CommandKind uint8

// Kinds of orders.
const (
	CommandHeartbeat CommandKind = iota
	CommandStart
	CommandStop
	CommandThrottle
	CommandAdvise
)

// Command is one call to a worker that the driver carries out. Its answer comes
// back through Scheduler.Answered.
type Command struct {
	Kind   CommandKind
	Worker domain.WorkerID
	To     platform.Endpoint
	Token  platform.Token
	// IssuedAt is when the machine gave the order.
	IssuedAt fleet.Instant
	Hold     platform.HeartbeatCommand
	Start    platform.StartCommand
	// Task and Run name the run of a start, stop or pace.
	Task    job.TaskID
	Run     int
	Percent int
	// Step and Workers are the question to the policy service.
	Step    job.StepID
	Workers []domain.WorkerID
	// incarnation is the life of the worker that the order was meant for.
	incarnation int64
}

// Key returns the run that the order concerns.
func (o *Command) Key() platform.AttemptKey {
	return platform.AttemptKey{Task: o.Task.String(), Run: o.Run}
}

// Result is the outcome of an order.
type Result struct {
	Command *Command
	// Err is nil for success, a *platform.RefusedError if the worker did
	// nothing, and any other error if that is not known.
	Err error
	// Report is the answer to a hold.
	Report platform.HeartbeatResult
	// Advice is the answer of the policy service.
	Advice platform.Advice
	// Clock is the worker's clock in the answer to a start; 0 if none.
	Clock time.Duration
}

// Decision is one line of the decision log.
type Decision struct {
	// Action is the decision, for example "place".
	Action string
	// Job is the request concerned; empty for one that concerns a worker.
	Job job.ID
	// Task and Run name the run concerned; empty for none.
	Task string
	Run  int
	// Worker is the worker concerned; empty for none.
	Worker domain.WorkerID
	// Reason is the input that decided, in a few words.
	Reason string
	// Age is the age of that input; 0 if it has none.
	Age time.Duration
}
