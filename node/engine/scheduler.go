package engine

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

// Scheduler decides where the requests of one shard run. It is a state machine
// that is used from one goroutine only.
type Scheduler interface {
	// Step handles one event and returns the effects to execute.
	Step(now shard.Instant, ev shard.Event) []shard.Effect
	// Draw returns the first of n consecutive fresh sequence numbers.
	Draw(n int) (first uint64)
	Status() Status
}

// Status describes the state of a scheduler.
type Status struct {
	// Ready is true once the shard's state is recovered.
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

// SchedulerConfig configures a new scheduler.
type SchedulerConfig struct {
	Shard domain.ShardID
	Node  domain.NodeID
	Epoch domain.Epoch
	// Journal is a copy that the scheduler may keep and change.
	Journal Journal
	Now     shard.Instant
}

// NewScheduler creates a scheduler and returns it with its first effects.
type NewScheduler func(cfg SchedulerConfig) (Scheduler, []shard.Effect)

// Journal is the state of one shard as recorded in the domain's stream.
type Journal interface {
	// Snapshot returns the entries that are still needed.
	Snapshot() []journal.Entry
}

// ReadModel is the state that results from the records in the stream of the
// node's failure domain. A Job entry must have no effect if its id has ended or
// moved, or if its attempt number is lower than the recorded one: a snapshot is
// appended some time after it was taken, so its entries may be outdated.
type ReadModel interface {
	// Apply applies the entries of the record at offset. at is when the log
	// service appended the record.
	Apply(offset platform.Offset, at time.Time, entries []journal.Entry)
	Ownership(id domain.ShardID) membership.Ownership
	// Journal returns a copy of the shard's state.
	Journal(id domain.ShardID) Journal
}
