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

// ShardReport is a node's own statement that it owns a shard under an epoch.
type ShardReport struct {
	Shard domain.ShardID
	Epoch domain.Epoch
	// Ready is true if the owner accepts requests.
	Ready bool
	// FreeSlots is the number of free slots on the shard's workers.
	FreeSlots int64
}

// Answered is a peer's answer to a ping.
type Answered struct {
	From          domain.NodeID
	ConfigVersion domain.Version
	OwnedShards   []ShardReport
	// Stopping is true during a planned stop of the peer; it then claims no
	// shards.
	Stopping bool
}

// SelfReport is the current state of this node.
type SelfReport struct {
	ConfigVersion domain.Version
	OwnedShards   []ShardReport
	// Stopping is true during a planned stop of this node.
	Stopping bool
}

// LogRead is the result of one read of the stream of this node's domain.
type LogRead struct {
	OK bool
	// SentAt is when the read was issued.
	SentAt Instant
	// AtEnd is true if the read reached the end of the stream; Owners then lists
	// every shard of the domain.
	AtEnd  bool
	Owners []Ownership
	// OwnedShards lists the shards that this node owns after it applied the
	// records read; valid if AtEnd is true.
	OwnedShards []ShardReport
}

// Tick makes State check its timeouts.
type Tick struct{}

func (Answered) event()   {}
func (SelfReport) event() {}
func (LogRead) event()    {}
func (Tick) event()       {}

// Claim asks the driver to append a claim of this node to the log.
type Claim struct {
	Shard domain.ShardID
	// Previous is the epoch that the claim replaces.
	Previous domain.Epoch
	// Reason says why the shard is claimed, for the log output.
	Reason string
}
