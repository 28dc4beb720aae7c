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
	// answerAge is how old the state in an answer may be when it arrives: the
	// store answers in 4 ms, and in up to 250 ms when it is slow.
	answerAge = 250 * time.Millisecond
	// retryRead is the pause after a read without an answer.
	retryRead = 150 * time.Millisecond
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
	// Read is called when the log was read to an end.
	Read func(end int64)
	// Pause is the time between two reads; it groups the records of a busy log.
	Pause func() time.Duration
}

// Follower reads one partition for as long as the process runs.
type Follower struct {
	cfg FollowerConfig
	// heard is when the partition was last known to be read to its end, as
	// nanoseconds of the clock; negative before the first time. A read that waits
	// for a record in vain tells about the time of its answer.
	heard atomic.Int64
	// end is the offset up to which the partition was read.
	end  atomic.Int64
	lost bool
	wake chan struct{}
	// paused tells that the follower is between two reads, so that the store may
	// have records that it has not.
	paused atomic.Bool
	// read is closed, and made anew, when the partition was read to its end.
	mu   sync.Mutex
	read chan struct{}
}

// NewFollower returns a follower; Run starts it.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, wake: make(chan struct{}, 1), read: make(chan struct{})}
	f.heard.Store(-1)
	f.end.Store(-1)
	return f
}

// Heard returns when the partition was last read to its end; ok is false
// before the first time.
func (f *Follower) Heard() (at time.Duration, ok bool) {
	v := f.heard.Load()
	return time.Duration(v), v >= 0
}

// End returns the offset up to which the partition was read.
func (f *Follower) End() int64 { return f.end.Load() }

// Hurry ends the pause between two reads.
func (f *Follower) Hurry() {
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
	read := f.read
	f.mu.Unlock()
	if !f.paused.Load() {
		return
	}
	f.Hurry()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-read:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		from, err := f.load(ctx)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.follow(ctx, from)
	}
}

// load applies the newest record of each key and returns where to read on. The
// pages are no snapshot, so reading goes on from the end of the first page.
func (f *Follower) load(ctx context.Context) (int64, error) {
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
			f.regained()
			f.caughtUp(sent, from)
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
			f.failed(ctx, err)
			continue
		}
		f.regained()
		for _, r := range batch.Records {
			f.cfg.Apply(r)
		}
		from += int64(len(batch.Records))
		if from >= batch.End {
			f.caughtUp(sent, from)
			f.pause(ctx)
		}
	}
}

func (f *Follower) caughtUp(sent time.Duration, end int64) {
	f.heard.Store(int64(max(sent, f.cfg.Clock.Now()-answerAge)))
	f.end.Store(end)
	f.mu.Lock()
	close(f.read)
	f.read = make(chan struct{})
	f.mu.Unlock()
	if f.cfg.Read != nil {
		f.cfg.Read(end)
	}
}

func (f *Follower) pause(ctx context.Context) {
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

func (f *Follower) failed(ctx context.Context, err error) {
	if !f.lost && ctx.Err() == nil {
		f.lost = true
		f.cfg.Logger.Warn("dependency lost", "dependency", "store", "topic", f.cfg.Partition.Topic,
			"part", f.cfg.Partition.Part, "err", err)
	}
	select {
	case <-time.After(retryRead):
	case <-ctx.Done():
	}
}

func (f *Follower) regained() {
	if f.lost {
		f.lost = false
		f.cfg.Logger.Info("dependency regained", "dependency", "store", "topic", f.cfg.Partition.Topic, "part", f.cfg.Partition.Part)
	}
}
