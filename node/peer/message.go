package peer

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/service"
)

// OwnedShard is a shard that a node owns, with the epoch of its ownership.
type OwnedShard struct {
	Shard domain.ShardID
	Epoch domain.Epoch
	// Ready is true if the owner has recovered the shard's state and accepts
	// requests.
	Ready bool
	// FreeSlots is the number of free slots on the shard's workers.
	FreeSlots int64
}

// PingArgs describes the node that sends a ping.
type PingArgs struct {
	From          domain.NodeID
	Domain        domain.FailureDomain
	ConfigVersion domain.Version
	// ProvisionalTakeOuts lists failure domains that an operator took out while
	// the log service was down.
	ProvisionalTakeOuts []domain.FailureDomain
	Owned               []OwnedShard
	// Stopping is true if the node is shutting down as planned.
	Stopping bool
}

// PingReply describes the node that replies, with the same fields.
type PingReply = PingArgs

// ForwardArgs carries a request to the owner of its shard.
type ForwardArgs struct {
	Shard domain.ShardID
	Task  domain.Task
	// Draw asks the owner to assign an id to the task; Task.ID is then zero.
	Draw bool
	// Budget is the time left until the deadline, or the timeout of the call.
	Budget time.Duration
	// Delegated, Attempt, Checkpoint and Moves are the fields of
	// shard.Submitted.
	Delegated  bool
	Attempt    int
	Checkpoint string
	Moves      int
}

// OutcomeReply contains an outcome. Length and Sum (xxhash64) are the length and
// checksum of Outcome.Answer; the receiver checks both and the request id.
type OutcomeReply struct {
	Outcome domain.Outcome
	Length  int
	Sum     uint64
}

// IDArgs identifies a request.
type IDArgs struct {
	ID domain.RequestID
	// Shard is the shard that the request was moved to, or nil if it is still in
	// the shard that its id names.
	Shard *domain.ShardID
	// Budget is the timeout of the call.
	Budget time.Duration
}

// DrawArgs asks the owner of a shard to reserve Count new request ids.
type DrawArgs struct {
	Shard domain.ShardID
	Count int
}

// DrawReply returns the reserved ids: {Shard, Epoch, First} to {Shard, Epoch,
// First+Count-1}.
type DrawReply struct {
	Epoch domain.Epoch
	First uint64
}

// ConfigArgs asks for the configuration records after a version.
type ConfigArgs struct {
	After domain.Version
}

// ConfigReply holds the configuration in force and the records after
// ConfigArgs.After, in offset order.
type ConfigReply struct {
	Configuration domain.Configuration
	Records       []platform.Record
}

// ExplainReply returns the recorded reasons for decisions, oldest first.
type ExplainReply struct {
	Entries []explain.Entry
}

// WorkersReply returns the workers of the shards that the node owns.
type WorkersReply struct {
	Workers []service.WorkerStatus
}

// StatusReply describes the node that replies.
type StatusReply struct {
	Status service.NodeStatus
}

// ShardOwner names the live node that owns a shard.
type ShardOwner struct {
	Shard domain.ShardID
	Node  domain.NodeID
}

// OwnersReply lists the owners of the shards in the failure domain of the node
// that replies. Shards without a live owner are omitted.
type OwnersReply struct {
	Owners []ShardOwner
}

// Empty is the argument or reply of a call that has none.
type Empty struct{}

// Handler handles the calls of peers. Package router implements it. Errors are
// *domain.Error. A node that does not own the shard returns KindStaleEpoch and
// has not started anything.
type Handler interface {
	Ping(args PingArgs) (PingReply, error)
	Forward(args ForwardArgs) (OutcomeReply, error)
	Lookup(args IDArgs) (OutcomeReply, error)
	Cancel(args IDArgs) (OutcomeReply, error)
	Draw(args DrawArgs) (DrawReply, error)
	Config(args ConfigArgs) (ConfigReply, error)
	Explain(args IDArgs) (ExplainReply, error)
	Workers() (WorkersReply, error)
	Owners() (OwnersReply, error)
	Status() (StatusReply, error)
}
