package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// CommandKind is the kind of a command to a worker or to the policy service.
type CommandKind uint8

// Kinds of commands.
const (
	CommandHeartbeat CommandKind = iota
	CommandStart
	CommandStop
	CommandThrottle
	CommandAdvise
)

// Command is one call that the driver makes to a worker or to the policy service.
// The driver passes its result to Scheduler.HandleResult.
type Command struct {
	Kind   CommandKind
	Worker domain.WorkerID
	To     platform.Endpoint
	// Token is the fencing token of the command. It is raised when the worker restarts.
	Token platform.Token
	// IssuedAt is when the scheduler issued the command.
	IssuedAt  fleet.Instant
	Heartbeat platform.HeartbeatCommand
	Start     platform.StartCommand
	// Task and Attempt identify the attempt that a start, stop or throttle command
	// concerns. Percent is the speed limit of a throttle command.
	Task    job.TaskID
	Attempt int
	Percent int
	// Step and Workers are the request to the policy service.
	Step    job.StepID
	Workers []domain.WorkerID
	// incarnations are the incarnations of Workers.
	incarnations []int64
	// earliestClock is the lowest value that the worker's clock can show when it carries
	// out the command, unless it has restarted; 0 if unknown.
	earliestClock time.Duration
	// sendDelay is how long after its issue the command was sent, if that changed it or
	// prevented its sending; 0 otherwise.
	sendDelay time.Duration
}

// Key returns the key of the attempt that the command concerns.
func (c *Command) Key() platform.AttemptKey {
	return platform.AttemptKey{Task: c.Task.String(), Attempt: c.Attempt}
}

// maxSendDelay is the longest time from the issue of a command to its sending after which
// it may still grant a lease.
const maxSendDelay = time.Second

// PrepareSend adapts the command to the time at which it is sent: the process may have
// been paused since its issue, and the worker may have restarted and started attempts. The
// driver calls it immediately before the call. It returns a *platform.RefusedError, which
// is the result of the command, if the command must not be sent.
func (c *Command) PrepareSend(now fleet.Instant) error {
	delay := now - c.IssuedAt
	switch c.Kind {
	case CommandHeartbeat:
		if delay >= fleet.MaxAnswerTime && c.Heartbeat.LastStored != 0 {
			c.Heartbeat.LastStored, c.sendDelay = 0, delay
		}
		if delay >= maxSendDelay && c.Heartbeat.Until != 0 {
			c.Heartbeat.Until, c.sendDelay = 0, delay
		}
	case CommandStart:
		if delay >= maxSendDelay {
			c.sendDelay = delay
			return &platform.RefusedError{Reason: platform.RefusedLeaseExpired}
		}
	}
	return nil
}

// Result is the outcome of a command.
type Result struct {
	Command *Command
	// Err is nil for success and a *platform.RefusedError if the worker refused
	// the command and did nothing. Any other error means that the outcome is not
	// known.
	Err error
	// Report is the result of a heartbeat.
	Report platform.HeartbeatResult
	// Advice is the answer of the policy service.
	Advice platform.Advice
	// Clock is the reading of the worker's clock in the result of a start; 0 if
	// there is none.
	Clock time.Duration
}

// Decision is one entry of the decision log.
type Decision struct {
	// Action is the log message of the decision, for example "place".
	Action string
	// Job is the job concerned; empty if the decision concerns only a worker.
	Job job.ID
	// Route is the queue of the job; empty if the job is not known.
	Route string
	// Task and Attempt identify the attempt concerned; empty and 0 if there is
	// none. For "advice", Attempt is the number of tickets received.
	Task    string
	Attempt int
	// Worker is the worker concerned; empty if there is none.
	Worker domain.WorkerID
	// Token is the fencing token of the last start request of the attempt, and Incarnation
	// the worker's incarnation, in the decisions about attempts that have started or may
	// have. They are 0 in others, and if they are unknown.
	Token       platform.Token
	Incarnation int64
	// Reason is the reason for the decision, in a few words.
	Reason string
	// Age is the age of the information that the decision is based on, or a duration
	// that describes the decision, such as the pause of an avoided worker; 0 if
	// there is none.
	Age time.Duration
}
