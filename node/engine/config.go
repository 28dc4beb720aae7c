package engine

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/ring"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/service"
)

// Limits and intervals of the engine.
const (
	// TickInterval is how often each machine gets shard.Tick.
	TickInterval = shard.TickInterval
	// AppendTimeout bounds the wait for AppendDone.
	AppendTimeout = 300 * time.Millisecond
	// appendCallTimeout bounds one append call. It is longer than
	// AppendTimeout, because a slow append that is waited for needs no look-up.
	appendCallTimeout = time.Second
	// appendInterval is the least time between the starts of two appends.
	appendInterval = 20 * time.Millisecond
	// appendRetryDelay separates tries of the same batch, and probeInterval the
	// empty appends that find out whether the log service answers again.
	appendRetryDelay = 100 * time.Millisecond
	probeInterval    = time.Second
	// maxBatchEntries and maxBatchBytes bound one log record. The record's data
	// is base64 in the log's protocol, and the message limit is 1 MiB.
	maxBatchEntries = 1024
	maxBatchBytes   = 700 << 10

	// pollWait is how long a read waits for a record. Ownership must be
	// confirmed every 2 s, so several reads fit into that time.
	pollWait       = 500 * time.Millisecond
	readTimeout    = time.Second
	readRetryDelay = 100 * time.Millisecond
	readLimit      = 128
	// dedupSpan is the distance in offsets over which repeated record ids are
	// dropped: 7 minutes at 150 appends/s.
	dedupSpan = 1 << 16

	// maxQueuedRequests bounds the callers' events that wait for one machine.
	maxQueuedRequests = 1024

	// callTimeout bounds attach, renew, throttle and lookup calls to workers.
	callTimeout = time.Second
	// startTimeout bounds Worker.Start; runMargin is added to the deadline of an
	// urgent task for Worker.Run.
	startTimeout = 2 * time.Second
	runMargin    = time.Second
	// stopTimeout bounds Worker.Stop, which may write a checkpoint first.
	stopTimeout = 10 * time.Second
)

// Reasons keeps the reasons of decisions. It is used from many goroutines.
type Reasons interface {
	Record(id domain.RequestID, reason string)
	Entries(id domain.RequestID) []explain.Entry
}

// Config is what an Engine needs. All fields are required unless stated.
type Config struct {
	Node   domain.NodeID
	Domain domain.FailureDomain
	Ring   *ring.Ring
	Log    platform.Log
	// Dial returns a client for the worker at "ip:port". It must not block.
	Dial func(address string) platform.Worker
	// NotSent tells that an error of a worker call means that the command
	// surely did not reach the worker; it is false for nil. Without it every
	// failed call may have reached the worker.
	NotSent      func(error) bool
	NewScheduler NewScheduler
	NewReadModel func() ReadModel
	Delegator    service.Delegator
	Reasons      Reasons
	Logger       *log.Logger
	// Observe, if set, is told the result of every log read, after it was
	// applied. It must not block.
	OnLogRead func(LogRead)
	// Measured, if set, is told the starts and bad ends of batch tasks and
	// watches. It must not block.
	Measured func(shard.Measured)
	// Start is the origin of the node's Instants.
	Start time.Time
}

func (c Config) reportMeasured(m shard.Measured) {
	if c.Measured != nil {
		c.Measured(m)
	}
}

// now returns the node's monotonic time.
func (c Config) now() shard.Instant { return time.Since(c.Start) }
