package storelog

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/steady"
)

const (
	// readWait is how long a read waits for a record. It bounds how long a
	// connection that went silent is not noticed.
	readWait = 900 * time.Millisecond
	// maxAnswerAge is how old the state in an answer may be when it arrives: the
	// store answers in 4 ms, and in up to 250 ms when it is slow.
	maxAnswerAge = 250 * time.Millisecond
	// readRetryDelay is the pause after a read without an answer.
	readRetryDelay = 150 * time.Millisecond
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Store     platform.Store
	Partition platform.Partition
	Clock     *steady.Clock
	Logger    *slog.Logger
	// Reset is called before the newest records are applied from the start:
	// keys that they lack are gone. It may be nil.
	Reset func()
	// Apply takes each record, in the order of the offsets, from one goroutine.
	Apply func(platform.KeyedRecord)
	// OnCaughtUp is called when the log was read to an end.
	OnCaughtUp func(end int64)
	// Pause is the time between two reads; it groups the records of a busy log.
	Pause func() time.Duration
}

// Follower reads one partition for as long as the process runs.
type Follower struct {
	cfg FollowerConfig
	// lastRead is when the partition was last known to be read to its end, as
	// nanoseconds of the clock; negative before the first time. A read that waits
	// for a record in vain tells about the time of its answer.
	lastRead atomic.Int64
	// end is the offset up to which the partition was read.
	end       atomic.Int64
	storeLost bool
	wake      chan struct{}
	// paused tells that the follower is between two reads, so that the store may
	// have records that it has not.
	paused atomic.Bool
	// read is closed, and made anew, when the partition was read to its end.
	mu       sync.Mutex
	readDone chan struct{}
}

// NewFollower returns a follower; Run starts it.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, wake: make(chan struct{}, 1), readDone: make(chan struct{})}
	f.lastRead.Store(-1)
	f.end.Store(-1)
	return f
}

// LastRead returns when the partition was last read to its end; ok is false
// before the first time.
func (f *Follower) LastRead() (at time.Duration, ok bool) {
	v := f.lastRead.Load()
	return time.Duration(v), v >= 0
}

// End returns the offset up to which the partition was read.
func (f *Follower) End() int64 { return f.end.Load() }

// ReadNow ends the pause between two reads.
func (f *Follower) ReadNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Refresh brings the follower up to date: it ends a pause and waits for the read
// after it, at most the given time. A follower that is not paused has a read
// under way, which brings a new record as soon as the store has it.
func (f *Follower) Refresh(ctx context.Context, longest time.Duration) {
	f.mu.Lock()
	readDone := f.readDone
	f.mu.Unlock()
	if !f.paused.Load() {
		return
	}
	f.ReadNow()
	timer := time.NewTimer(longest)
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
		from, err := f.loadNewest(ctx)
		if err != nil {
			f.handleReadError(ctx, err)
			continue
		}
		f.follow(ctx, from)
	}
}

// loadNewest applies the newest record of each key and returns where to read on. The
// pages are no snapshot, so reading goes on from the end of the first page.
func (f *Follower) loadNewest(ctx context.Context) (int64, error) {
	if f.cfg.Reset != nil {
		f.cfg.Reset()
	}
	from, after := int64(-1), ""
	for {
		sent := f.cfg.Clock.Now()
		page, err := f.cfg.Store.ReadNewest(ctx, f.cfg.Partition, after)
		if err != nil {
			return 0, err
		}
		if from < 0 {
			from = page.End
		}
		for _, r := range page.Records {
			f.cfg.Apply(r)
			after = r.Key
		}
		if !page.More || len(page.Records) == 0 {
			f.markRegained()
			f.markCaughtUp(sent, from)
			return from, nil
		}
	}
}

// follow reads from the offset on until the records are no longer kept.
func (f *Follower) follow(ctx context.Context, from int64) {
	for ctx.Err() == nil {
		sent := f.cfg.Clock.Now()
		batch, err := f.cfg.Store.Read(ctx, f.cfg.Partition, from, readWait)
		if errors.Is(err, platform.ErrTrimmed) {
			f.cfg.Logger.Info("history dropped", "topic", f.cfg.Partition.Topic, "part", f.cfg.Partition.Part, "from", from)
			return
		}
		if err != nil {
			f.handleReadError(ctx, err)
			continue
		}
		f.markRegained()
		for _, r := range batch.Records {
			f.cfg.Apply(r)
		}
		from += int64(len(batch.Records))
		if from >= batch.End {
			f.markCaughtUp(sent, from)
			f.waitForNextRead(ctx)
		}
	}
}

func (f *Follower) markCaughtUp(sent time.Duration, end int64) {
	f.lastRead.Store(int64(max(sent, f.cfg.Clock.Now()-maxAnswerAge)))
	f.end.Store(end)
	f.mu.Lock()
	close(f.readDone)
	f.readDone = make(chan struct{})
	f.mu.Unlock()
	if f.cfg.OnCaughtUp != nil {
		f.cfg.OnCaughtUp(end)
	}
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

func (f *Follower) handleReadError(ctx context.Context, err error) {
	if !f.storeLost && ctx.Err() == nil {
		f.storeLost = true
		f.cfg.Logger.Warn("dependency lost", "dependency", "store", "topic", f.cfg.Partition.Topic,
			"part", f.cfg.Partition.Part, "err", err)
	}
	select {
	case <-time.After(readRetryDelay):
	case <-ctx.Done():
	}
}

func (f *Follower) markRegained() {
	if f.storeLost {
		f.storeLost = false
		f.cfg.Logger.Info("dependency regained", "dependency", "store", "topic", f.cfg.Partition.Topic, "part", f.cfg.Partition.Part)
	}
}
