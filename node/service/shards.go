package service

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/shard"
)

// OwnedShard tells that this node owns a shard.
type OwnedShard struct {
	Shard domain.ShardID
	Epoch domain.Epoch
	// Ready tells that the shard's state is recovered and requests are taken.
	Ready     bool
	FreeSlots int64
}

// Shards runs the shards that this node owns. Package engine implements it.
// Each method returns an error of kind KindStaleEpoch if the node does not own
// the shard or has not recovered it yet; nothing was started then.
type Shards interface {
	// Owned returns the shards that this node owns, ordered by shard.
	Owned() []OwnedShard
	// Draw returns the epoch and the first of n consecutive fresh sequence
	// numbers.
	Draw(id domain.ShardID, n int) (domain.Epoch, uint64, error)
	// Submit hands a task to its shard and waits for the reply. If ctx ends
	// first the outcome is OutcomeUnknown; the task goes on.
	Submit(ctx context.Context, id domain.ShardID, req shard.Submitted) (domain.Outcome, error)
	// Lookup and Cancel ask a shard about a request of its own or one that was
	// moved to it.
	Lookup(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error)
	Cancel(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error)
	Explain(id domain.RequestID) []explain.Entry
	Workers() []WorkerStatus
}

// Peers is this node's view of the other nodes. Package membership keeps the
// state behind it.
type Peers interface {
	// Owner returns the live node that is known to own the shard.
	Owner(id domain.ShardID) (domain.NodeID, bool)
	// LiveInDomain returns the live nodes of this node's failure domain,
	// itself included, ordered by id.
	LiveInDomain() []domain.NodeID
	// ReachableShards returns shards of other failure domains that are ready
	// and whose owners answer, most free slots first.
	ReachableShards() []domain.ShardID
	// Isolated tells that neither the log service nor another failure domain
	// has answered within the isolation window.
	Isolated() bool
	LogUp() bool
	// Status returns what is known of every node in the settings, ordered by
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

// Delegator carries a task to the owner of a shard in another domain.
type Delegator interface {
	Delegate(ctx context.Context, target domain.ShardID, req shard.Submitted) (domain.Outcome, error)
	// LookupAt and CancelAt ask the owner of the shard that a request was moved
	// to.
	LookupAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error)
	CancelAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error)
}

// CallTimeout bounds a call between nodes that has no deadline of its own.
const CallTimeout = 2 * time.Second
