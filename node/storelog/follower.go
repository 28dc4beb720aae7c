package storelog

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/guard"
	"github.com/basilferry/basilferry/node/steady"
)

const (
	// readWait is the default of FollowerConfig.Wait.
	readWait = 900 * time.Millisecond
	// maxResponseAge is the maximum age of the data in a response when it arrives. The
	// store responds in 4 ms, or in up to 250 ms when it is slow.
	maxResponseAge = 250 * time.Millisecond
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 150 * time.Millisecond
	// slowRead is the time for the transfer of a response and for applying its records
	// from which on the read is logged.
	slowRead = 250 * time.Millisecond
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Store     platform.Store
	Partition platform.Partition
	// Wait is how long a read waits for a new record; 0 for the default of 900 ms. A
	// dead connection stays undetected for longer than this.
	Wait   time.Duration
	Clock  *steady.Clock
	Logger *slog.Logger
	// Reset is called before the newest record of each key is passed to Apply, which
	// happens at the start and whenever the follower has to start over. Keys that do
	// not occur in these records no longer exist. Reset may be nil.
	Reset func()
	// Apply is called from one goroutine, first with the newest record of each key and
	// then with the following records in the order of their offsets. It can be called
	// twice with the same record.
	Apply func(platform.KeyedRecord)
	// OnCaughtUp is called each time the partition has been read to its end, before End
	// and LastRead show it. It may be nil.
	OnCaughtUp func(end int64)
	// OnRead is called after each read. It may be nil.
	OnRead func(ReadStats)
	// Guard confines panics of Apply to one record, and others to one read. It may be nil.
	Guard *guard.Guard
	// Pause returns the time to wait before the next read, which batches the records
	// of a busy partition. It may be nil.
	Pause func() time.Duration
}

// ReadStats describes one read.
type ReadStats struct {
	// Err is nil for a complete read.
	Err      error
	Transfer platform.Transfer
	// Apply is how long it took to apply the records.
	Apply time.Duration
	// Records is the number of records in the response.
	Records int
}

// Follower reads one partition continuously.
type Follower struct {
	cfg FollowerConfig
	// lastRead is the latest time for which the partition is assumed to have been read
	// to its end, in nanoseconds of the clock; negative before the first time. A
	// read that waited for records counts for the time of its response less
	// maxResponseAge, not for its start.
	lastRead atomic.Int64
	// lastSent is when the latest complete read was sent; negative before the first one.
	lastSent atomic.Int64
	// end is the offset up to which the partition has been read; -1 before the first
	// complete read.
	end atomic.Int64
	// failedReads counts the reads that failed since the last complete one, and
	// lostSince is the time of the first of them.
	failedReads atomic.Int64
	lostSince   time.Duration
	wake        chan struct{}
	// applied is the offset up to which the records have been applied without a read;
	// see SkipTo.
	applied atomic.Int64
	// paused is true between two reads. The store may then have records that the
	// follower has not read.
	paused atomic.Bool
	// mu guards readDone, which is closed and replaced each time the partition has
	// been read to its end.
	mu       sync.Mutex
	readDone chan struct{}
	// ends reads the end of the partition for CatchUp.
	ends endReader
}

// NewFollower returns a follower. Run must be called to start it.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.Wait == 0 {
		cfg.Wait = readWait
	}
	f := &Follower{cfg: cfg, wake: make(chan struct{}, 1), readDone: make(chan struct{})}
	f.lastRead.Store(-1)
	f.lastSent.Store(-1)
	f.end.Store(-1)
	return f
}

// LastRead returns the latest time for which the partition is assumed to have been read
// to its end, if responses take no longer than usual. The result ok is false before the
// first complete read. See CatchUp for whether records have certainly been read.
func (f *Follower) LastRead() (at time.Duration, ok bool) {
	v := f.lastRead.Load()
	return time.Duration(v), v >= 0
}

// LastSent returns when the latest complete read was sent: every record that the store had
// then has certainly been passed to Apply. For a load of the newest records this is when
// its first page was requested. The result ok is false before the first complete read.
func (f *Follower) LastSent() (at time.Duration, ok bool) {
	v := f.lastSent.Load()
	return time.Duration(v), v >= 0
}

// End returns the offset up to which the partition has been read, or -1 before the
// first complete read.
func (f *Follower) End() int64 { return f.end.Load() }

// SkipTo tells the follower that the caller has applied the records before an offset
// itself: it has written them, as the partition's only writer. Records that a read in
// progress returns are applied again.
func (f *Follower) SkipTo(offset int64) {
	for {
		applied := f.applied.Load()
		if offset <= applied || f.applied.CompareAndSwap(applied, offset) {
			return
		}
	}
}

// ReadNow ends the current pause between two reads, or the next one if the follower
// is not paused.
func (f *Follower) ReadNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Refresh ends a pause and waits until the next read is complete, ctx ends or the
// timeout has passed. If the follower is not paused, Refresh returns immediately: a
// read is in progress, which returns a new record as soon as the store has it.
func (f *Follower) Refresh(ctx context.Context, timeout time.Duration) {
	readDone := f.nextRead()
	if !f.paused.Load() {
		return
	}
	f.ReadNow()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-readDone:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		if unexpected := f.cfg.Guard.Do("follow", func() { err = f.runOnce(ctx) }); unexpected != nil {
			err = unexpected
		}
		if err != nil {
			f.handleReadError(ctx, err)
		}
	}
}

// runOnce applies the newest records and then follows the partition, until it has to
// start over.
func (f *Follower) runOnce(ctx context.Context) error {
	from, err := f.loadNewest(ctx)
	if err != nil {
		return err
	}
	f.follow(ctx, from)
	return nil
}

// loadNewest applies the newest record of each key and returns the offset to continue
// from. The pages are not a consistent snapshot, so this is the end of the partition
// as of the first page.
func (f *Follower) loadNewest(ctx context.Context) (int64, error) {
	if f.cfg.Reset != nil {
		f.cfg.Reset()
	}
	from, after := int64(-1), ""
	firstSent := f.cfg.Clock.Now()
	for {
		sent := f.cfg.Clock.Now()
		page, err := f.cfg.Store.ReadNewest(ctx, f.cfg.Partition, after)
		if err != nil {
			return 0, err
		}
		if from < 0 {
			from = page.End
		}
		f.apply(page.Records, page.Transfer)
		if n := len(page.Records); n > 0 {
			after = page.Records[n-1].Key
		}
		if !page.More || len(page.Records) == 0 {
			f.markRegained()
			f.markCaughtUp(firstSent, sent, from)
			return from, nil
		}
	}
}

// follow reads from the given offset until ctx ends or the next records are no
// longer kept.
func (f *Follower) follow(ctx context.Context, from int64) {
	for ctx.Err() == nil {
		from = max(from, f.applied.Load())
		sent := f.cfg.Clock.Now()
		batch, err := f.cfg.Store.Read(ctx, f.cfg.Partition, from, f.cfg.Wait)
		if errors.Is(err, platform.ErrTrimmed) {
			f.cfg.Logger.Info("history dropped", "topic", f.cfg.Partition.Topic, "part", f.cfg.Partition.Part, "from", from)
			return
		}
		if err != nil {
			f.handleReadError(ctx, err)
			continue
		}
		f.markRegained()
		f.apply(batch.Records, batch.Transfer)
		from += int64(len(batch.Records))
		if from >= batch.End {
			f.markCaughtUp(sent, sent, from)
			f.waitForNextRead(ctx)
		}
	}
}

// markCaughtUp notes a complete read. firstSent is when the first of its calls was sent and
// sent when the last one was.
func (f *Follower) markCaughtUp(firstSent, sent time.Duration, end int64) {
	if f.cfg.OnCaughtUp != nil {
		f.cfg.OnCaughtUp(end)
	}
	f.lastRead.Store(int64(max(sent, f.cfg.Clock.Now()-maxResponseAge)))
	f.lastSent.Store(int64(firstSent))
	f.end.Store(end)
	f.mu.Lock()
	close(f.readDone)
	f.readDone = make(chan struct{})
	f.mu.Unlock()
}

func (f *Follower) waitForNextRead(ctx context.Context) {
	if f.cfg.Pause == nil {
		return
	}
	d := f.cfg.Pause()
	if d <= 0 {
		return
	}
	f.paused.Store(true)
	defer f.paused.Store(false)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}

// apply applies the records of one response.
func (f *Follower) apply(records []platform.KeyedRecord, transfer platform.Transfer) {
	start := f.cfg.Clock.Now()
	for _, r := range records {
		// The guard reports the error. The other records still apply.
		_ = f.cfg.Guard.Do("apply record", func() { f.cfg.Apply(r) }, "topic", f.cfg.Partition.Topic, "key", r.Key, "offset", r.Offset)
	}
	stats := ReadStats{Transfer: transfer, Apply: f.cfg.Clock.Now() - start, Records: len(records)}
	if transfer.Duration+stats.Apply > slowRead {
		f.cfg.Logger.Info("slow read", "topic", f.cfg.Partition.Topic, "part", f.cfg.Partition.Part, "records", stats.Records,
			"bytes", transfer.Bytes, "transfer_ms", transfer.Duration.Milliseconds(), "apply_ms", stats.Apply.Milliseconds())
	}
	f.reportRead(stats)
}

func (f *Follower) reportRead(stats ReadStats) {
	if f.cfg.OnRead != nil {
		f.cfg.OnRead(stats)
	}
}

func (f *Follower) handleReadError(ctx context.Context, err error) {
	if ctx.Err() == nil {
		if f.failedReads.Load() == 0 {
			f.lostSince = f.cfg.Clock.Now()
			f.cfg.Logger.Warn("dependency lost", "dependency", "store", "topic", f.cfg.Partition.Topic,
				"part", f.cfg.Partition.Part, "err", err)
		}
		f.failedReads.Add(1)
		f.reportRead(ReadStats{Err: err})
	}
	select {
	case <-time.After(readRetryDelay):
	case <-ctx.Done():
	}
}

func (f *Follower) markRegained() {
	if failed := f.failedReads.Load(); failed > 0 {
		f.cfg.Logger.Info("dependency regained", "dependency", "store", "topic", f.cfg.Partition.Topic, "part", f.cfg.Partition.Part,
			"failed_reads", failed, "after_ms", (f.cfg.Clock.Now() - f.lostSince).Milliseconds())
		f.failedReads.Store(0)
	}
}
