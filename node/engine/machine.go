package engine

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

// Scheduler is the state machine of one shard. It is used from one goroutine.
type Scheduler interface {
	Step(now shard.Instant, ev shard.Event) []shard.Effect
	// Draw returns the first of n consecutive fresh sequence numbers.
	Draw(n int) (first uint64)
	Status() Status
}

// Status describes a machine.
type Status struct {
	// Ready tells that the shard's state is recovered.
	Ready     bool
	FreeSlots int64
	Workers   []WorkerView
}

// WorkerView describes a worker of the shard.
type WorkerView struct {
	ID                 domain.WorkerID
	Rack, State        string
	Capacity, Reserved domain.Resources
	Tasks              int
}

// SchedulerConfig is what a new machine starts from.
type SchedulerConfig struct {
	Shard domain.ShardID
	Node  domain.NodeID
	Epoch domain.Epoch
	// Journal is a copy that the machine may keep.
	Journal Journal
	Now     shard.Instant
}

// NewScheduler makes a machine and returns its first effects.
type NewScheduler func(cfg SchedulerConfig) (Scheduler, []shard.Effect)

// Journal is what the domain's stream says of one shard.
type Journal interface {
	// Snapshot returns the entries that are still needed.
	Snapshot() []journal.Entry
}

// ReadModel is the folded stream of the node's failure domain. A Job entry for an
// id that has ended or moved, or with a lower attempt than recorded, must have
// no effect, because snapshots are appended after they were taken.
type ReadModel interface {
	// Apply applies the entries of the record at offset; at is the log service's
	// time of the append.
	Apply(offset platform.Offset, at time.Time, entries []journal.Entry)
	Ownership(id domain.ShardID) membership.Ownership
	// Journal returns a copy of the shard's part.
	Journal(id domain.ShardID) Journal
}
