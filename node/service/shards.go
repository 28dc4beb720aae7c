package service

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/shard"
)

// OwnedShard describes a shard that this node owns. A shard is a part of the workers
// of a failure domain. Its epoch is the log offset of the owner's claim.
type OwnedShard struct {
	Shard domain.ShardID
	Epoch domain.Epoch
	// Ready is true once the shard's state is recovered and requests are accepted.
	Ready     bool
	FreeSlots int64
}

// Shards runs the shards that this node owns. Package engine implements it.
// A method for one shard returns an error of kind KindStaleEpoch if the node does not
// own the shard or has not recovered it yet. Nothing was started then.
type Shards interface {
	// Owned returns the shards that this node owns, ordered by shard.
	Owned() []OwnedShard
	// Draw reserves n consecutive sequence numbers and returns the epoch and the
	// first of them.
	Draw(id domain.ShardID, n int) (domain.Epoch, uint64, error)
	// Submit passes a task to its shard and waits for the outcome. If ctx ends first,
	// the outcome is OutcomeUnknown and the task continues.
	Submit(ctx context.Context, id domain.ShardID, req shard.Submitted) (domain.Outcome, error)
	// Lookup and Cancel apply to a request that belongs to the shard or was moved to
	// it.
	Lookup(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error)
	Cancel(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error)
	Explain(id domain.RequestID) []explain.Entry
	Workers() []WorkerStatus
}

// Peers is this node's view of the other nodes. It is backed by package membership.
type Peers interface {
	// Owner returns the live node that owns the shard, if one is known.
	Owner(id domain.ShardID) (domain.NodeID, bool)
	// LiveInDomain returns the live nodes of this node's failure domain, including
	// this node, ordered by id.
	LiveInDomain() []domain.NodeID
	// ReachableShards returns the shards of other failure domains that are ready and
	// whose owners respond, those with the most free slots first.
	ReachableShards() []domain.ShardID
	// Isolated reports whether neither the log service nor another failure domain
	// has responded within the isolation window.
	Isolated() bool
	LogUp() bool
	// Status returns the last known status of every node in the settings, ordered by
	// id.
	Status() []NodeStatus
}

// Config is the configuration as this node knows it. Package configsync
// implements it.
type Config interface {
	Current() domain.Configuration
	History(limit int) []configlog.Decision
	// Propose appends a change and waits for its decision.
	Propose(ctx context.Context, change configlog.Change) (configlog.Decision, error)
	// Provisional returns the domains taken out while the log service is down.
	Provisional() []domain.FailureDomain
	// AddProvisional adds a provisional take-out; it is appended once the log
	// service answers.
	AddProvisional(d domain.FailureDomain, operator, reason string)
}

// Delegator submits a task to the owner of a shard in another failure domain.
type Delegator interface {
	Delegate(ctx context.Context, target domain.ShardID, req shard.Submitted) (domain.Outcome, error)
	// LookupAt and CancelAt send the call to the owner of the shard that a request
	// was moved to.
	LookupAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error)
	CancelAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error)
}

// CallTimeout limits a call between nodes that has no deadline of its own.
const CallTimeout = 2 * time.Second
