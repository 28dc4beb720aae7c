package engine

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/service"
)

// LogRead is the result of one read of the domain's stream.
type LogRead struct {
	OK bool
	// SentAt is when the read was issued.
	SentAt shard.Instant
	// AtEnd tells that the read reached the end of the stream. Owners is then
	// what the whole stream says.
	AtEnd  bool
	Owners []membership.Ownership
	// Owned is what this node owns after the read was applied.
	Owned []service.OwnedShard
	// Retention is how long the log keeps records.
	Retention time.Duration
}

// followerHooks are called from the follower's goroutine.
type followerHooks struct {
	// issued tells whether this process made the record.
	issued func(recordID string) bool
	// read is called after a read was applied and before its records count as
	// seen: a replaced owner is dropped before it learns of its append.
	read func(LogRead)
	// seen is called for each record of this process, after read.
	seen func(recordID string)
}

// follower reads a domain's stream into a Fold.
type follower struct {
	log     platform.Log
	stream  platform.Stream
	shards  []domain.ShardID
	newFold func() Fold
	hooks   followerHooks
	logger  *log.Logger
	now     func() shard.Instant
	kick    chan struct{}

	// next and recent belong to the reading goroutine.
	next   platform.Offset
	recent *recent

	mu   sync.Mutex
	fold Fold
	// own is the epoch of the latest claim of this process per shard.
	own map[domain.ShardID]domain.Epoch
	// issuedReads counts reads; endRead is the number of the latest read that
	// reached the end.
	issuedReads, endRead uint64
	changed              chan struct{}
}

func newFollower(c Config, hooks followerHooks) *follower {
	return &follower{
		log:     c.Log,
		stream:  journal.StreamOf(c.Domain),
		shards:  c.Ring.ShardsOf(c.Domain),
		newFold: c.NewFold,
		hooks:   hooks,
		logger:  c.Logger,
		now:     c.now,
		kick:    make(chan struct{}, 1),
		next:    1,
		recent:  newRecent(recentIDs),
		fold:    c.NewFold(),
		own:     make(map[domain.ShardID]domain.Epoch),
		changed: make(chan struct{}),
	}
}

// run reads until ctx ends.
func (f *follower) run(ctx context.Context) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		ok, kicked := f.readOnce(ctx, wait)
		wait = pollWait
		if kicked || !ok {
			wait = 0
		}
		if !ok {
			sleep(ctx, readRetryDelay)
		}
	}
}

// readOnce issues one read and applies it. kicked tells that the read was
// given up because sync asks for a fresh one.
func (f *follower) readOnce(ctx context.Context, wait time.Duration) (ok, kicked bool) {
	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	number, sentAt := f.beginRead(), f.now()
	result := make(chan readResult, 1)
	go func() {
		reply, err := f.log.Read(readCtx, f.stream, f.next, readLimit, wait)
		result <- readResult{reply: reply, err: err}
	}()
	select {
	case r := <-result:
		return f.finishRead(ctx, r, number, sentAt), false
	case <-f.kickIf(wait > 0):
		cancel()
		// The read must have ended before f.next can change.
		r := <-result
		if r.err != nil {
			return true, true
		}
		return f.finishRead(ctx, r, number, sentAt), true
	}
}

type readResult struct {
	reply platform.ReadReply
	err   error
}

// kickIf returns the kick channel if a read may be interrupted.
func (f *follower) kickIf(interruptible bool) <-chan struct{} {
	if interruptible {
		return f.kick
	}
	return nil
}

func (f *follower) beginRead() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.issuedReads++
	return f.issuedReads
}

func (f *follower) finishRead(ctx context.Context, r readResult, number uint64, sentAt shard.Instant) bool {
	if ctx.Err() != nil {
		return false
	}
	if r.err != nil {
		f.hooks.read(LogRead{SentAt: sentAt})
		return false
	}
	mine := f.apply(r.reply)
	atEnd := f.next >= r.reply.Next
	f.hooks.read(LogRead{
		OK: true, SentAt: sentAt, AtEnd: atEnd, Owners: f.owners(), Retention: r.reply.Retention,
	})
	for _, id := range mine {
		f.hooks.seen(id)
	}
	if atEnd {
		f.reachedEnd(number)
	}
	return true
}

// apply folds the records and returns the ids of those of this process.
func (f *follower) apply(reply platform.ReadReply) (mine []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.First > f.next {
		f.skipTo(reply.First)
	}
	for _, rec := range reply.Records {
		if rec.Offset < f.next {
			continue
		}
		f.next = rec.Offset + 1
		issued := f.hooks.issued(rec.ID)
		if issued {
			mine = append(mine, rec.ID)
		}
		if f.recent.add(rec.ID, rec.Offset) {
			f.applyRecord(rec, issued)
		}
	}
	return mine
}

// skipTo starts again at the first record that is kept. What expired unread is
// either dead or was appended again, so a new fold gets the whole state.
func (f *follower) skipTo(first platform.Offset) {
	if f.next > 1 {
		f.logger.Warn("records expired before they were read", "from", f.next, "first", first)
	}
	f.fold = f.newFold()
	f.recent = newRecent(recentIDs)
	f.next = first
}

func (f *follower) applyRecord(rec platform.Record, issued bool) {
	entries, err := journal.Decode(rec)
	if err != nil {
		f.logger.Error("a log record is skipped", "offset", rec.Offset, "err", err)
		return
	}
	f.fold.Apply(rec.Offset, rec.AppendedAt, entries)
	if !issued {
		return
	}
	for _, e := range entries {
		if e.Claim != nil && f.fold.Ownership(e.Shard).Epoch == domain.Epoch(rec.Offset) {
			f.own[e.Shard] = domain.Epoch(rec.Offset)
		}
	}
}

func (f *follower) reachedEnd(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endRead = number
	close(f.changed)
	f.changed = make(chan struct{})
}

// owners returns the ownership of each shard of the domain.
func (f *follower) owners() []membership.Ownership {
	f.mu.Lock()
	defer f.mu.Unlock()
	owners := make([]membership.Ownership, 0, len(f.shards))
	for _, id := range f.shards {
		o := f.fold.Ownership(id)
		o.Shard = id
		owners = append(owners, o)
	}
	return owners
}

// claimed reports whether the epoch comes from a claim of this process. A claim
// of an earlier process with the same node id does not count: its sequence
// numbers are lost, and ids would be issued twice under its epoch.
func (f *follower) claimed(id domain.ShardID, epoch domain.Epoch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return epoch != 0 && f.own[id] == epoch
}

// disown forgets a claim, so that no machine is started for it again. A newer
// claim of this process stays.
func (f *follower) disown(id domain.ShardID, epoch domain.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.own[id] == epoch {
		delete(f.own, id)
	}
}

// journal returns a copy of the shard's part of the fold.
func (f *follower) journal(id domain.ShardID) Journal {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Journal(id)
}

// sync returns once a read that was issued after the call has reached the end
// of the stream, or with false when ctx ends.
func (f *follower) sync(ctx context.Context) bool {
	f.mu.Lock()
	after := f.issuedReads
	f.mu.Unlock()
	select {
	case f.kick <- struct{}{}:
	default:
	}
	for {
		f.mu.Lock()
		reached, changed := f.endRead > after, f.changed
		f.mu.Unlock()
		if reached {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
