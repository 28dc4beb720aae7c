package shard

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Instant is a reading of the node's monotonic clock, relative to an arbitrary
// start.
type Instant = time.Duration

// CallID identifies one call of a waiting client. The driver chooses it and gets
// it back in Reply or Redirect.
type CallID uint64

// Event is an input of StateMachine.Step. The concrete types are in this file.
type Event interface{ event() }

// Submitted asks for a task to be run. It is answered once: for an urgent task
// with its outcome, for a batch task or watch when it is accepted or refused. If
// the task has moved to another shard, the answer is Redirect instead of Reply.
type Submitted struct {
	Call CallID
	Task domain.Task
	// Budget is the time left until the task's deadline; zero for batch tasks and
	// watches.
	Budget time.Duration
	// Delegated is true if another shard has moved the task here. Attempt and
	// Checkpoint are then the last ones there.
	Delegated  bool
	Attempt    int
	Checkpoint string
	// Moves counts the moves of a delegated task, including this one. It
	// distinguishes a new offer from a repeat of an earlier one.
	Moves int
}

// Queried asks what is known of a request.
type Queried struct {
	Call CallID
	ID   domain.RequestID
}

// Cancelled asks to cancel a request. Reply has the outcome after the stop.
type Cancelled struct {
	Call CallID
	ID   domain.RequestID
}

// WorkersListed gives the workers of this shard in the VM list.
type WorkersListed struct {
	VMs []platform.VM
}

// AttachDone answers SendAttach.
type AttachDone struct {
	Worker domain.WorkerID
	Reply  platform.AttachReply
	Err    *domain.Error
	SentAt Instant
}

// RenewDone answers SendRenew.
type RenewDone struct {
	Worker domain.WorkerID
	Reply  platform.RenewReply
	Err    *domain.Error
	SentAt Instant
}

// StartDone answers SendStart.
type StartDone struct {
	Worker  domain.WorkerID
	ID      domain.RequestID
	Attempt int
	Status  platform.TaskStatus
	Err     *domain.Error
	// NotSent is true if the command certainly did not reach the worker.
	NotSent bool
}

// StopDone answers SendStop.
type StopDone struct {
	Worker domain.WorkerID
	ID     domain.RequestID
	Status platform.TaskStatus
	Err    *domain.Error
}

// LookupDone answers SendLookup.
type LookupDone struct {
	Worker domain.WorkerID
	ID     domain.RequestID
	Status platform.TaskStatus
	Err    *domain.Error
}

// AppendDone answers Append.
type AppendDone struct {
	Token AppendToken
	Err   *domain.Error
}

// DelegateDone answers Delegate.
type DelegateDone struct {
	ID domain.RequestID
	// Moves is Submitted.Moves of the offer that is answered.
	Moves   int
	Outcome domain.Outcome
	Err     *domain.Error
}

// OwnershipRead reports that a read of the domain's stream, issued at SentAt,
// reached the end of the stream and that Epoch is the shard's newest claim there.
type OwnershipRead struct {
	SentAt Instant
	Epoch  domain.Epoch
}

// LogState reports whether the log service answers reads and appends.
type LogState struct {
	Up bool
}

// Configured gives the configuration in force and whether the domain is isolated
// from the log service and all other domains.
type Configured struct {
	Configuration domain.Configuration
	Isolated      bool
	// Targets are the shards that delegated tasks may move to, in order of
	// preference: shards of other domains that are not taken out and whose owners
	// answer.
	Targets []domain.ShardID
}

// Draining reports that the node is stopping: no new requests are accepted, and
// accepted urgent requests are finished. The next owner continues the batch tasks
// and watches.
type Draining struct{}

// Tick triggers time-outs and periodic work. The driver sends it every
// TickInterval.
type Tick struct{}

func (Submitted) event()     {}
func (Queried) event()       {}
func (Cancelled) event()     {}
func (WorkersListed) event() {}
func (AttachDone) event()    {}
func (RenewDone) event()     {}
func (StartDone) event()     {}
func (StopDone) event()      {}
func (LookupDone) event()    {}
func (AppendDone) event()    {}
func (DelegateDone) event()  {}
func (OwnershipRead) event() {}
func (LogState) event()      {}
func (Configured) event()    {}
func (Draining) event()      {}
func (Tick) event()          {}
