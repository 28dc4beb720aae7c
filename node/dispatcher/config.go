package dispatcher

import (
	"log/slog"
	"time"

	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
	"github.com/basilferry/basilferry/node/steady"
	"github.com/basilferry/basilferry/node/storelog"
)

// Platform is how the dispatcher reaches the platform.
type Platform struct {
	Store    platform.Store
	Commands platform.Orders
	// Advisor is the policy service; nil if there is none.
	Advisor platform.Advisor
	// Requests holds the records of callers' requests and of the ownership,
	// States those of the owner, Registry the workers' entries.
	Requests, States, Registry platform.Partition
	// DecodeEntry reads a record of Registry; an error names no worker to use.
	DecodeEntry func(platform.KeyedRecord) (platform.RegistryEntry, error)
}

// Config configures a Dispatcher.
type Config struct {
	Platform  Platform
	Ownership ownership.Settings
	Scheduler scheduler.Settings
	Clock     *steady.Clock
	Logger    *slog.Logger
	View      *jobview.View
	// RequestsFollower and StatesFollower feed View and the dispatcher.
	RequestsFollower, StatesFollower *storelog.Follower
	Metrics                          Metrics
	// OnOwnershipChange is told when this node becomes the owner and when that ends.
	OnOwnershipChange func(bool)
}

// Metrics takes the dispatcher's figures.
type Metrics interface {
	// Count adds to a counter of decisions.
	Count(name string, n int64)
	// Gauge sets a value.
	Gauge(name string, value float64)
	// Observe adds a latency.
	Observe(name string, d time.Duration)
}

const (
	// ownerTick bounds how late a timed decision of the owner is.
	ownerTick = 25 * time.Millisecond
	// followerTick is the same for a node that only watches the owner.
	followerTick = 150 * time.Millisecond
	// appendInterval groups the changes of jobs into one append: the calls and
	// bytes of the store are priced, and each append wakes the other nodes.
	appendInterval = 25 * time.Millisecond
	// registryPause groups the workers' heartbeats.
	registryPause = 400 * time.Millisecond
	// eventQueueLength bounds the events that wait for the decision goroutine.
	eventQueueLength = 8192
	// unresponsiveAfter is how long workers must be silent, and the owner in office,
	// before it resigns because it does not reach most of them.
	unresponsiveAfter = 2500 * time.Millisecond
	// reachabilityGrace is how long an owner must have been in office to judge.
	reachabilityGrace = 4 * time.Second
	// maxReadGap is the time without a complete read of the log after which the
	// owner's silence is measured anew. Reads of an idle log end each second.
	maxReadGap = 2 * time.Second
	// suspensionThreshold is the gap between two rounds after which the process was
	// suspended: what it has not heard meanwhile proves nothing.
	suspensionThreshold = time.Second
)
