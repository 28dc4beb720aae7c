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

// LogRead is the result of one read of the domain's stream. If OK is false, only
// SentAt is set.
type LogRead struct {
	// OK is true if the read succeeded.
	OK bool
	// SentAt is when the read was issued.
	SentAt shard.Instant
	// AtEnd is true if the read reached the end of the stream, so that Owners is
	// up to date.
	AtEnd  bool
	Owners []membership.Ownership
	// Owned holds the shards that this node owns after the read was applied.
	Owned []service.OwnedShard
	// Retention is how long the log retains records.
	Retention time.Duration
}

// followerHooks are called from the follower's goroutine.
type followerHooks struct {
	// isOutstanding reports whether this process created the record and has not
	// read it back yet.
	isOutstanding func(recordID string) bool
	// onRead is called after a read was applied or has failed. For a read that was
	// applied, it is called before readBack is called for its records, so that a
	// replaced scheduler is dropped before its appends are reported as done.
	onRead func(LogRead)
	// readBack is called after onRead for each record of this process.
	readBack func(recordID string)
}

// follower reads the stream of a failure domain and applies it to a ReadModel.
type follower struct {
	log      platform.Log
	stream   platform.Stream
	shards   []domain.ShardID
	newModel func() ReadModel
	hooks    followerHooks
	logger   *log.Logger
	now      func() shard.Instant
	// interrupt makes a read that waits for records end, so that a new one is
	// issued.
	interrupt chan struct{}

	// next is the offset of the next record to apply. Only the reading goroutine
	// uses next and dedupWindow.
	next        platform.Offset
	dedupWindow *dedupWindow

	mu    sync.Mutex
	model ReadModel
	// ownClaims holds the epoch of the latest claim of this process by shard.
	ownClaims map[domain.ShardID]domain.Epoch
	// issuedReads is the number of reads issued. lastReadToEnd is the number of
	// the latest read that reached the end of the stream; endReached is closed and
	// replaced when it changes.
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

// run reads the stream until ctx ends.
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

// readOnce issues one read and applies its result. interrupted is true if
// readToEnd interrupted the read to have a new one issued.
func (f *follower) readOnce(ctx context.Context, wait time.Duration) (ok, interrupted bool) {
	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	readNumber, sentAt := f.beginRead(), f.now()
	result := make(chan readResult, 1)
	go func() {
		reply, err := f.log.Read(readCtx, f.stream, f.next, readLimit, wait)
		result <- readResult{reply: reply, err: err}
	}()
	select {
	case r := <-result:
		return f.finishRead(ctx, r, readNumber, sentAt), false
	case <-f.interruptIf(wait > 0):
		cancel()
		// The read uses f.next, so it must end before f.next changes.
		r := <-result
		if r.err != nil {
			return true, true
		}
		return f.finishRead(ctx, r, readNumber, sentAt), true
	}
}

type readResult struct {
	reply platform.ReadReply
	err   error
}

// interruptIf returns the interrupt channel if the read may be interrupted, and
// otherwise nil, from which a receive never succeeds.
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

func (f *follower) finishRead(ctx context.Context, r readResult, readNumber uint64, sentAt shard.Instant) bool {
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
		f.recordEndReached(readNumber)
	}
	return true
}

// apply applies the records and returns the ids of those that this process created.
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

// restartAt starts again with an empty read model at the first record that is
// retained. Entries that expired unread are either no longer needed or were appended
// again in a snapshot, so the new read model gets the complete state.
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
		f.logger.Error("skipping a malformed log record", "offset", rec.Offset, "err", err)
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

func (f *follower) recordEndReached(readNumber uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadToEnd = readNumber
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
// of an earlier process with the same node id does not count: it is not known which
// sequence numbers that process has used, so ids could be issued twice.
func (f *follower) isOwnClaim(id domain.ShardID, epoch domain.Epoch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return epoch != 0 && f.ownClaims[id] == epoch
}

// forgetClaim removes a claim, so that no scheduler is started for it again. A newer
// claim of this process stays.
func (f *follower) forgetClaim(id domain.ShardID, epoch domain.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ownClaims[id] == epoch {
		delete(f.ownClaims, id)
	}
}

// journal returns a copy of the shard's state in the read model.
func (f *follower) journal(id domain.ShardID) Journal {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model.Journal(id)
}

// readToEnd waits until a read that was issued after the call has reached the end of
// the stream. It returns false if ctx ends first.
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
