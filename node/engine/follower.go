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
	// isOutstanding tells whether this process made the record.
	isOutstanding func(recordID string) bool
	// onRead is called after a read was applied and before its records count as
	// seen: a replaced owner is dropped before it learns of its append.
	onRead func(LogRead)
	// readBack is called for each record of this process, after read.
	readBack func(recordID string)
}

// follower reads a domain's stream into a ReadModel.
type follower struct {
	log       platform.Log
	stream    platform.Stream
	shards    []domain.ShardID
	newModel  func() ReadModel
	hooks     followerHooks
	logger    *log.Logger
	now       func() shard.Instant
	interrupt chan struct{}

	// next and recent belong to the reading goroutine.
	next        platform.Offset
	dedupWindow *dedupWindow

	mu    sync.Mutex
	model ReadModel
	// ownClaims is the epoch of the latest claim of this process per shard.
	ownClaims map[domain.ShardID]domain.Epoch
	// issuedReads counts reads; endRead is the number of the latest read that
	// reached the end.
	issuedReads, lastReadToEnd uint64
	endReached                 chan struct{}
}

func newFollower(c Config, hooks followerHooks) *follower {
	return &follower{
		log:         c.Log,
		stream:      journal.StreamOf(c.Domain),
		shards:      c.Ring.ShardsOf(c.Domain),
		newModel:    c.NewReadModel,
		hooks:       hooks,
		logger:      c.Logger,
		now:         c.now,
		interrupt:   make(chan struct{}, 1),
		next:        1,
		dedupWindow: newDedupWindow(dedupSpan),
		model:       c.NewReadModel(),
		ownClaims:   make(map[domain.ShardID]domain.Epoch),
		endReached:  make(chan struct{}),
	}
}

// run reads until ctx ends.
func (f *follower) run(ctx context.Context) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		ok, interrupted := f.readOnce(ctx, wait)
		wait = pollWait
		if interrupted || !ok {
			wait = 0
		}
		if !ok {
			sleep(ctx, readRetryDelay)
		}
	}
}

// readOnce issues one read and applies it. kicked tells that the read was
// given up because sync asks for a fresh one.
func (f *follower) readOnce(ctx context.Context, wait time.Duration) (ok, interrupted bool) {
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
	case <-f.interruptIf(wait > 0):
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

// interruptIf returns the kick channel if a read may be interrupted.
func (f *follower) interruptIf(interruptible bool) <-chan struct{} {
	if interruptible {
		return f.interrupt
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
		f.hooks.onRead(LogRead{SentAt: sentAt})
		return false
	}
	ownIDs := f.apply(r.reply)
	atEnd := f.next >= r.reply.Next
	f.hooks.onRead(LogRead{
		OK: true, SentAt: sentAt, AtEnd: atEnd, Owners: f.owners(), Retention: r.reply.Retention,
	})
	for _, id := range ownIDs {
		f.hooks.readBack(id)
	}
	if atEnd {
		f.recordEndReached(number)
	}
	return true
}

// apply folds the records and returns the ids of those of this process.
func (f *follower) apply(reply platform.ReadReply) (ownIDs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.First > f.next {
		f.restartAt(reply.First)
	}
	for _, rec := range reply.Records {
		if rec.Offset < f.next {
			continue
		}
		f.next = rec.Offset + 1
		isOutstanding := f.hooks.isOutstanding(rec.ID)
		if isOutstanding {
			ownIDs = append(ownIDs, rec.ID)
		}
		if f.dedupWindow.addIfNew(rec.ID, rec.Offset) {
			f.applyRecord(rec, isOutstanding)
		}
	}
	return ownIDs
}

// restartAt starts again at the first record that is kept. What expired unread is
// either dead or was appended again, so a new fold gets the whole state.
func (f *follower) restartAt(first platform.Offset) {
	if f.next > 1 {
		f.logger.Warn("records expired before they were read", "from", f.next, "first", first)
	}
	f.model = f.newModel()
	f.dedupWindow = newDedupWindow(dedupSpan)
	f.next = first
}

func (f *follower) applyRecord(rec platform.Record, outstanding bool) {
	entries, err := journal.Decode(rec)
	if err != nil {
		f.logger.Error("a log record is skipped", "offset", rec.Offset, "err", err)
		return
	}
	f.model.Apply(rec.Offset, rec.AppendedAt, entries)
	if !outstanding {
		return
	}
	for _, e := range entries {
		if e.Claim != nil && f.model.Ownership(e.Shard).Epoch == domain.Epoch(rec.Offset) {
			f.ownClaims[e.Shard] = domain.Epoch(rec.Offset)
		}
	}
}

func (f *follower) recordEndReached(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadToEnd = number
	close(f.endReached)
	f.endReached = make(chan struct{})
}

// owners returns the ownership of each shard of the domain.
func (f *follower) owners() []membership.Ownership {
	f.mu.Lock()
	defer f.mu.Unlock()
	owners := make([]membership.Ownership, 0, len(f.shards))
	for _, id := range f.shards {
		o := f.model.Ownership(id)
		o.Shard = id
		owners = append(owners, o)
	}
	return owners
}

// isOwnClaim reports whether the epoch comes from a claim of this process. A claim
// of an earlier process with the same node id does not count: its sequence
// numbers are lost, and ids would be issued twice under its epoch.
func (f *follower) isOwnClaim(id domain.ShardID, epoch domain.Epoch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return epoch != 0 && f.ownClaims[id] == epoch
}

// forgetClaim forgets a claim, so that no machine is started for it again. A newer
// claim of this process stays.
func (f *follower) forgetClaim(id domain.ShardID, epoch domain.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ownClaims[id] == epoch {
		delete(f.ownClaims, id)
	}
}

// journal returns a copy of the shard's part of the fold.
func (f *follower) journal(id domain.ShardID) Journal {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model.Journal(id)
}

// readToEnd returns once a read that was issued after the call has reached the end
// of the stream, or with false when ctx ends.
func (f *follower) readToEnd(ctx context.Context) bool {
	f.mu.Lock()
	after := f.issuedReads
	f.mu.Unlock()
	select {
	case f.interrupt <- struct{}{}:
	default:
	}
	for {
		f.mu.Lock()
		reached, endReached := f.lastReadToEnd > after, f.endReached
		f.mu.Unlock()
		if reached {
			return true
		}
		select {
		case <-endReached:
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
