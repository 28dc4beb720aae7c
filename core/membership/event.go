package membership

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Instant is a reading of the node's monotonic clock, counted from an
// arbitrary start.
type Instant = time.Duration

// Event is an input of State.Step. The concrete types are in this file.
type Event interface{ event() }

// ShardReport tells that a node owns a shard under an epoch, by its own account.
type ShardReport struct {
	Shard domain.ShardID
	Epoch domain.Epoch
	// Ready tells that the owner takes requests.
	Ready     bool
	FreeSlots int64
}

// Answered is a peer's answer to a ping.
type Answered struct {
	From          domain.NodeID
	ConfigVersion domain.Version
	OwnedShards   []ShardReport
	// Stopping tells that the peer is on a planned stop and claims nothing.
	Stopping bool
}

// SelfReport gives the shards that this node holds itself.
type SelfReport struct {
	ConfigVersion domain.Version
	OwnedShards   []ShardReport
	// Stopping tells that this node is on a planned stop.
	Stopping bool
}

// LogRead is the result of one read of the stream of this node's domain.
type LogRead struct {
	OK bool
	// SentAt is when the read was issued.
	SentAt Instant
	// AtEnd tells that the read reached the end of the stream; Owners then has
	// every shard of the domain.
	AtEnd  bool
	Owners []Ownership
	// OwnedShards are those of this node once it has applied the read; valid with
	// AtEnd.
	OwnedShards []ShardReport
}

// Tick lets time-outs be noticed.
type Tick struct{}

func (Answered) event()   {}
func (SelfReport) event() {}
func (LogRead) event()    {}
func (Tick) event()       {}

// Claim asks the driver to append a claim of this node.
type Claim struct {
	Shard domain.ShardID
	// Previous is the epoch that the claim replaces.
	Previous domain.Epoch
	// Reason is a short sentence for the log output.
	Reason string
}
