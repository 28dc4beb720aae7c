package shard

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// AppendToken matches AppendDone to Append.
type AppendToken uint64

// Effect is an output of StateMachine.Step. The driver executes effects in the
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

// SendThrottle calls Worker.Throttle; the result is not reported.
type SendThrottle struct {
	Worker  domain.WorkerID
	Request platform.ThrottleRequest
}

// SendLookup calls Worker.Lookup; the result comes as LookupDone.
type SendLookup struct {
	Worker domain.WorkerID
	ID     domain.RequestID
}

// Append appends entries to the domain's stream. If Token is not zero, the driver
// reports AppendDone once all entries are known to be appended, or with an error
// after AppendTimeout at the latest.
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

// Redirect answers a waiting client with the outcome that the owner of another
// shard has for a request that was moved there.
type Redirect struct {
	Call   CallID
	Target domain.ShardID
	ID     domain.RequestID
	// Cancel also cancels the request there.
	Cancel bool
}

// Reply answers a waiting client. Each CallID is answered once. An outcome
// without a state carries only Err: the call was not accepted and nothing was
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

// Measured reports what counts for the service-level objective of a batch task
// or watch: its first start, or that it failed or was not run.
type Measured struct {
	Kind domain.Kind
	// State is OutcomeRunning for a start; otherwise the final state.
	State domain.OutcomeState
	// Took is the time since the shard accepted the task.
	Took time.Duration
}

// StepDown reports that the shard has another owner. It is the last effect of a
// state machine; the driver drops the state machine.
type StepDown struct {
	Reason string
}

// Drained reports that all accepted work that a planned stop waits for is
// finished; the driver hands the shard over.
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
