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
	// TickInterval is how often each scheduler gets shard.Tick.
	TickInterval = shard.TickInterval
	// AppendTimeout limits the wait for shard.AppendDone.
	AppendTimeout = 300 * time.Millisecond
	// appendCallTimeout limits one append call. It is longer than AppendTimeout,
	// because an append that succeeds late need not be looked up in the stream.
	appendCallTimeout = time.Second
	// appendInterval is the minimum time between the starts of two appends.
	appendInterval = 20 * time.Millisecond
	// appendRetryDelay is the wait before the append of a batch is retried.
	// probeInterval is the time between the empty appends that find out whether the
	// log service responds again.
	appendRetryDelay = 100 * time.Millisecond
	probeInterval    = time.Second
	// maxBatchEntries and maxBatchBytes limit one log record. The log protocol
	// encodes the record's data in base64 and limits a message to 1 MiB.
	maxBatchEntries = 1024
	maxBatchBytes   = 700 << 10

	// pollWait is how long a read waits for a record. It lets several reads
	// complete within shard.ConfirmWindow, after which ownership must be confirmed
	// again.
	pollWait = 500 * time.Millisecond
	// readTimeout is the time for a read in addition to its wait for a record.
	readTimeout    = time.Second
	readRetryDelay = 100 * time.Millisecond
	// readLimit is the maximum number of records that one read returns.
	readLimit = 128
	// dedupSpan is the distance in offsets within which repeated record ids are
	// dropped: 7 minutes at 150 appends/s.
	dedupSpan = 1 << 16

	// maxQueuedRequests limits the client requests that wait for one scheduler.
	maxQueuedRequests = 1024

	// callTimeout limits attach, renew, throttle and lookup calls to workers.
	callTimeout = time.Second
	// startTimeout limits Worker.Start. Worker.Run of an urgent task is limited to
	// the task's deadline plus runMargin.
	startTimeout = 2 * time.Second
	runMargin    = time.Second
	// stopTimeout limits Worker.Stop, which may write a checkpoint first.
	stopTimeout = 10 * time.Second
)

// Reasons stores the reasons for scheduling decisions. It must be safe for
// concurrent use.
type Reasons interface {
	Record(id domain.RequestID, reason string)
	Entries(id domain.RequestID) []explain.Entry
}

// Config configures an Engine. All fields are required unless stated otherwise.
type Config struct {
	Node   domain.NodeID
	Domain domain.FailureDomain
	Ring   *ring.Ring
	Log    platform.Log
	// Dial returns a client for the worker at "ip:port". It must not block.
	Dial func(address string) platform.Worker
	// IsNotSent reports whether the error of a worker call proves that the command
	// did not reach the worker. It must return false for a nil error. If IsNotSent
	// is nil, every failed call counts as one that may have reached the worker.
	IsNotSent    func(error) bool
	NewScheduler NewScheduler
	NewReadModel func() ReadModel
	Delegator    service.Delegator
	Reasons      Reasons
	Logger       *log.Logger
	// OnLogRead, if set, is called with the result of every log read after it was
	// applied. It must not block.
	OnLogRead func(LogRead)
	// Measured, if set, is called for the first start of each batch task or watch
	// and for each one that fails or is not run. It must not block.
	Measured func(shard.Measured)
	// Start is the zero point of the node's Instants.
	Start time.Time
}

func (c Config) reportMeasured(m shard.Measured) {
	if c.Measured != nil {
		c.Measured(m)
	}
}

// now returns the node's monotonic time.
func (c Config) now() shard.Instant { return time.Since(c.Start) }
