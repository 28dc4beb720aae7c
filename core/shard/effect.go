package shard

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// AppendToken matches AppendDone to Append.
type AppendToken uint64

// Effect is an output of StateMachine.Step. The driver carries effects out in the
// order given and reports results as events. The concrete types are in this
// file.
type Effect interface{ effect() }

// SendAttach calls Worker.Attach; the result comes as AttachDone.
type SendAttach struct {
	Worker  domain.WorkerID
	Address string
	Request platform.AttachRequest
}

// SendRenew calls Worker.Renew; the result comes as RenewDone.
type SendRenew struct {
	Worker  domain.WorkerID
	Request platform.RenewRequest
}

// SendStart calls Worker.Run for an urgent task and Worker.Start for others;
// the result comes as StartDone.
type SendStart struct {
	Worker  domain.WorkerID
	Request platform.StartRequest
}

// SendStop calls Worker.Stop; the result comes as StopDone.
type SendStop struct {
	Worker  domain.WorkerID
	Request platform.StopRequest
}

// SendThrottle calls Worker.Throttle; no result is awaited.
type SendThrottle struct {
	Worker  domain.WorkerID
	Request platform.ThrottleRequest
}

// SendLookup calls Worker.Lookup; the result comes as LookupDone.
type SendLookup struct {
	Worker domain.WorkerID
	ID     domain.RequestID
}

// Append appends records to the domain's stream. With a token other than zero
// the driver reports AppendDone once all of them are known to be appended, or
// with an error after AppendTimeout at the latest.
type Append struct {
	Token   AppendToken
	Entries []journal.Entry
}

// Delegate hands a task to the owner of another shard as Submitted with
// Delegated set; the result comes as DelegateDone.
type Delegate struct {
	Target  domain.ShardID
	Request Submitted
}

// Redirect answers a waiting caller with the outcome that the owner of another
// shard has for a request that was moved there.
type Redirect struct {
	Call   CallID
	Target domain.ShardID
	ID     domain.RequestID
	// Cancel asks to stop the request there.
	Cancel bool
}

// Reply answers a waiting caller. Each CallID is answered once. An outcome
// without a state carries only Err: the call was not taken and nothing was
// started or changed.
type Reply struct {
	Call    CallID
	Outcome domain.Outcome
}

// Explain records the reason for a decision.
type Explain struct {
	ID     domain.RequestID
	Reason string
}

// Measured reports the first start of a batch task or watch, or an end that is
// bad for its service-level objective.
type Measured struct {
	Kind domain.Kind
	// State is OutcomeRunning for a start, else the final state.
	State domain.OutcomeState
	// Took is the time since the shard took the task.
	Took time.Duration
}

// StepDown tells that the shard has another owner; the driver drops the
// machine. It is the last effect of a machine.
type StepDown struct {
	Reason string
}

// Drained tells that nothing accepted is unfinished any more; the driver hands
// the shard over.
type Drained struct{}

func (SendAttach) effect()   {}
func (SendRenew) effect()    {}
func (SendStart) effect()    {}
func (SendStop) effect()     {}
func (SendThrottle) effect() {}
func (SendLookup) effect()   {}
func (Append) effect()       {}
func (Delegate) effect()     {}
func (Redirect) effect()     {}
func (Reply) effect()        {}
func (Explain) effect()      {}
func (Measured) effect()     {}
func (StepDown) effect()     {}
func (Drained) effect()      {}
