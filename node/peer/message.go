package peer

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/service"
)

// OwnedShard tells that a node owns a shard under an epoch.
type OwnedShard struct {
	Shard domain.ShardID
	Epoch domain.Epoch
	// Ready tells that the owner has recovered the shard's state and accepts
	// requests.
	Ready bool
	// FreeSlots is the number of free slots on the shard's workers.
	FreeSlots int64
}

// PingArgs describes the caller of a ping.
type PingArgs struct {
	From          domain.NodeID
	Domain        domain.FailureDomain
	ConfigVersion domain.Version
	// ProvisionalTakeOuts lists domains that an operator took out while the
	// log service was down.
	ProvisionalTakeOuts []domain.FailureDomain
	Owned               []OwnedShard
	// Stopping tells that the node is on a planned stop.
	Stopping bool
}

// PingReply describes the node that answers, in the same form.
type PingReply = PingArgs

// ForwardArgs carries a request to the owner of its shard.
type ForwardArgs struct {
	Shard domain.ShardID
	Task  domain.Task
	// Draw asks the owner to draw an id; Task.ID is then zero.
	Draw bool
	// Budget is the part of the deadline that is left, or the call's time-out.
	Budget time.Duration
	// Delegated, Attempt, Checkpoint and Moves are those of shard.Submitted.
	Delegated  bool
	Attempt    int
	Checkpoint string
	Moves      int
}

// OutcomeReply carries an outcome. Length and Sum (xxhash64) are those of
// Outcome.Answer; the receiver checks both and the id.
type OutcomeReply struct {
	Outcome domain.Outcome
	Length  int
	Sum     uint64
}

// IDArgs names a request.
type IDArgs struct {
	ID domain.RequestID
	// Shard is the shard that the request was moved to; nil if it is still
	// with the shard that its id names.
	Shard *domain.ShardID
	// Budget is the call's time-out.
	Budget time.Duration
}

// DrawArgs asks the owner of a shard for fresh ids.
type DrawArgs struct {
	Shard domain.ShardID
	Count int
}

// DrawReply returns the ids {Shard, Epoch, First} to {Shard, Epoch,
// First+Count-1}.
type DrawReply struct {
	Epoch domain.Epoch
	First uint64
}

// ConfigArgs asks for the config records after a version.
type ConfigArgs struct {
	After domain.Version
}

// ConfigReply holds the configuration in force and the records after
// ConfigArgs.After, in offset order.
type ConfigReply struct {
	Configuration domain.Configuration
	Records       []platform.Record
}

// ExplainReply returns recorded reasons, oldest first.
type ExplainReply struct {
	Entries []explain.Entry
}

// WorkersReply returns the workers of the shards that the node owns.
type WorkersReply struct {
	Workers []service.WorkerStatus
}

// StatusReply describes the node that answers.
type StatusReply struct {
	Status service.NodeStatus
}

// ShardOwner tells which live node owns a shard.
type ShardOwner struct {
	Shard domain.ShardID
	Node  domain.NodeID
}

// OwnersReply holds the owners of the shards of the failure domain of the node
// that answers; shards without a live owner are left out.
type OwnersReply struct {
	Owners []ShardOwner
}

// Empty is the argument or reply of calls that need none.
type Empty struct{}

// Handler is what a node does for its peers. Package router implements it.
// Errors are *domain.Error; a node that does not own the shard answers with
// KindStaleEpoch, and has then not started anything.
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
