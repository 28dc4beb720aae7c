package dispatcher

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
	"github.com/basilferry/basilferry/node/guard"
	"github.com/basilferry/basilferry/node/steady"
	"github.com/basilferry/basilferry/node/storelog"
)

// Platform contains the dispatcher's clients of the platform.
type Platform struct {
	Store        platform.Store
	WorkerClient platform.WorkerClient
	// Advisor is the client of the policy service; nil if there is none.
	Advisor platform.Advisor
	// Requests holds the records of client requests and of ownership, States the
	// job states that the owner writes, and Registry the registered workers. In Pulse
	// the owner shows that it is alive to the nodes that do not follow States: a slow
	// store queues the appends of all nodes to Requests.
	Requests, States, Pulse, Registry platform.Partition
	// DecodeEntry decodes a record of Registry. An entry that it returns an error
	// for is ignored.
	DecodeEntry func(platform.KeyedRecord) (platform.RegistryEntry, error)
	// Limits are the sizes that Store accepts.
	Limits platform.StoreLimits
}

// maxCallBytes returns the largest size of an append.
func (p Platform) maxCallBytes() int {
	if p.Limits.Call == 0 {
		return math.MaxInt
	}
	return p.Limits.Call
}

// Config configures a Dispatcher.
type Config struct {
	// Domain is the failure domain of this node.
	Domain    domain.FailureDomain
	Platform  Platform
	Ownership ownership.Settings
	Scheduler scheduler.Settings
	Clock     *steady.Clock
	Logger    *slog.Logger
	View      *jobview.View
	// RequestsFollower and StatesFollower pass the records that they read to View
	// and to the dispatcher.
	RequestsFollower, StatesFollower *storelog.Follower
	// FollowStates runs StatesFollower until ctx ends, for an ownership term. It is nil
	// if the follower always runs.
	FollowStates func(ctx context.Context)
	Metrics      Metrics
	// Guard confines panics to one event, round or command.
	Guard *guard.Guard
	// OnOwnershipChange is called with true when an ownership term of this node
	// starts and with false when it ends.
	OnOwnershipChange func(bool)
}

// Metrics receives the dispatcher's metrics.
type Metrics interface {
	// Count adds n to the named counter of decisions.
	Count(name string, n int64)
	// CountDeferred adds n to the number of jobs of the named queue that were deferred.
	CountDeferred(queue string, n int64)
	// Gauge sets the named gauge.
	Gauge(name string, value float64)
	// AccountGauge sets the named gauge of a client account and a resource.
	AccountGauge(name, account, resource string, value float64)
	// Observe records the latency of the named call.
	Observe(name string, d time.Duration)
	// ObserveStage records the time of a stage of a job of the named queue.
	ObserveStage(stage, queue string, d time.Duration)
	// SetHeld sets the size in bytes of the records that the store refuses for a job; 0
	// once they are stored.
	SetHeld(job string, bytes int)
	// SetBacklog sets the gauges of the outstanding work of a pool.
	SetBacklog(p backlog.Pool)
}

const (
	// ownerTick is the longest time between two scheduling rounds of the owner, so
	// that a decision that depends on time is at most this late.
	ownerTick = 25 * time.Millisecond
	// followerTick is the same for a node that is not the owner.
	followerTick = 150 * time.Millisecond
	// appendInterval is the shortest time between two appends of job states. It
	// batches changes, because calls to the store and bytes are charged for and
	// each append wakes the other nodes.
	appendInterval = 25 * time.Millisecond
	// statusLoad is the pause after an append of statuses, as a multiple of the time
	// that it took. The store performs the appends to a partition one by one, and those
	// of accepted jobs wait there too.
	statusLoad = 3
	// registryPause is the time between two reads of the worker registry. It
	// batches the records that the workers' heartbeats write.
	registryPause = 400 * time.Millisecond
	// eventQueueLength is the maximum number of events that wait for the decision
	// goroutine.
	eventQueueLength = 8192
	// unresponsiveAfter is the time without a response after which a worker counts
	// as unreachable. An owner that cannot reach most workers resigns.
	unresponsiveAfter = 2500 * time.Millisecond
	// reachabilityGrace is the time after the first scheduling round of a term, or
	// after a suspension of the process, in which the owner does not resign because
	// of unreachable workers.
	reachabilityGrace = 4 * time.Second
	// handOverLimit is the longest time for which a planned hand-over is prepared. A
	// worker that is lost when it begins misses a heartbeat within 1.7 s.
	handOverLimit = 1800 * time.Millisecond
	// sealLimit is the longest time after it until the lease bounds of all workers are
	// stored. The owner starts nothing meanwhile.
	sealLimit = 300 * time.Millisecond
	// maxReadGap is the time without a complete read of the log after which the
	// owner timeout restarts. A read of an idle log returns within a second.
	maxReadGap = 2 * time.Second
	// suspensionThreshold is the time between two scheduling rounds after which the
	// process is assumed to have been suspended. Workers that did not respond in
	// that time may be reachable.
	suspensionThreshold = time.Second
)
