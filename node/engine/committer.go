package engine

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// committer appends the journal entries of all shards of the node in groups,
// one append at a time.
type committer struct {
	log    platform.Log
	stream platform.Stream
	// readToEnd reads the stream to its end, see follower.readToEnd.
	readToEnd func(context.Context) bool
	// endReached is told when the log starts or stops answering appends.
	changed func(up bool)
	wake    chan struct{}
	logger  *log.Logger

	mu      sync.Mutex
	pending []item
	// outstanding holds the batches that the follower has not read yet.
	outstanding map[string]*batch
	up          bool
}

func newCommitter(c Config, changed func(up bool)) *committer {
	return &committer{
		log:         c.Log,
		stream:      journal.StreamOf(c.Domain),
		changed:     changed,
		logger:      c.Logger,
		wake:        make(chan struct{}, 1),
		outstanding: make(map[string]*batch),
		up:          true,
	}
}

// add queues entries. done, if not nil, is called once: with nil when the
// follower has read the entries, or with an error after AppendTimeout. Entries
// with a nil done are retried until they are appended or live reports false.
func (c *committer) add(entries []journal.Entry, canTakeEffect func() bool, done func(*domain.Error)) {
	r := &appendRequest{done: done, canTakeEffect: canTakeEffect}
	items := splitEntries(r, entries)
	c.mu.Lock()
	if done != nil {
		r.timer = time.AfterFunc(AppendTimeout, func() { c.timeOut(r) })
	}
	c.pending = append(c.pending, items...)
	c.mu.Unlock()
	c.notify()
}

func (c *committer) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// timeOut reports an error for a request that was not appended in time. Entries
// that were never sent are not sent any more.
func (c *committer) timeOut(r *appendRequest) {
	c.mu.Lock()
	done := r.resolve()
	c.mu.Unlock()
	if done == nil {
		return
	}
	c.setLogUp(false)
	done(&domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "the log service did not answer an append within " + AppendTimeout.String(),
		Remedy:  "check the log service; the record may still be appended",
	})
}

// isOutstanding reports whether this process made the record and has not read it yet.
func (c *committer) isOutstanding(recordID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding[recordID] != nil
}

// readBack settles the batch of a record that the follower has read.
func (c *committer) readBack(recordID string) {
	c.mu.Lock()
	b := c.outstanding[recordID]
	if b == nil {
		c.mu.Unlock()
		return
	}
	delete(c.outstanding, recordID)
	close(b.readBack)
	var done []func(*domain.Error)
	for _, it := range b.items {
		it.request.unreadItems--
		if it.request.unreadItems > 0 {
			continue
		}
		if f := it.request.resolve(); f != nil {
			done = append(done, f)
		}
	}
	c.mu.Unlock()
	for _, f := range done {
		f(nil)
	}
}

// setLogUp records whether the log service answers appends in time.
func (c *committer) setLogUp(up bool) {
	c.mu.Lock()
	changed := c.up != up
	c.up = up
	c.mu.Unlock()
	if changed {
		c.changed(up)
	}
}

// isLogUp reports whether the log service answers appends in time.
func (c *committer) isLogUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up
}

// run commits batches until ctx ends.
func (c *committer) run(ctx context.Context) {
	var started time.Time
	for c.waitForWork(ctx) {
		sleep(ctx, appendInterval-time.Since(started))
		started = time.Now()
		if b := c.nextBatch(); b != nil {
			c.commit(ctx, b)
		}
	}
}

// waitForWork waits for entries, or for the next probe while the log does not
// answer. It returns false when ctx ends.
func (c *committer) waitForWork(ctx context.Context) bool {
	for ctx.Err() == nil {
		c.mu.Lock()
		ready, up := len(c.pending) > 0, c.up
		c.mu.Unlock()
		if ready {
			return true
		}
		probe := time.NewTimer(probeInterval)
		select {
		case <-c.wake:
			probe.Stop()
		case <-probe.C:
			if !up {
				return true
			}
		case <-ctx.Done():
			probe.Stop()
		}
	}
	return false
}

// nextBatch makes the next batch of pending items. It is empty, as a probe, while
// the log does not answer, and nil if there is nothing to append.
func (c *committer) nextBatch() *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := &batch{id: uuid.NewString(), readBack: make(chan struct{})}
	total := item{}
	taken := 0
	for _, it := range c.pending {
		shouldAppend := it.request.shouldAppend()
		if shouldAppend && len(b.items) > 0 && !total.hasRoomFor(len(it.entries), it.bytes) {
			break
		}
		taken++
		if !shouldAppend {
			// The owner is gone and awaits no answer, or has had it.
			it.request.resolve()
			continue
		}
		total.entries = append(total.entries, it.entries...)
		total.bytes += it.bytes
		b.items = append(b.items, it)
	}
	c.pending = append([]item(nil), c.pending[taken:]...)
	if len(b.items) == 0 && c.up {
		return nil
	}
	c.outstanding[b.id] = b
	return b
}

// commit appends a batch until it is known to be in the stream. The record id
// stays the same, so a late copy of an earlier try is dropped by all readers.
// A batch without entries left is still appended: it takes the place of a copy
// that may arrive late.
func (c *committer) commit(ctx context.Context, b *batch) {
	for ctx.Err() == nil && c.isOutstanding(b.id) {
		if c.tryAppend(ctx, b) {
			return
		}
		c.setLogUp(false)
		if c.isAppended(ctx, b) {
			return
		}
		sleep(ctx, appendRetryDelay)
	}
}

// tryAppend returns true if the batch is settled: the record is in the stream,
// or it never will be. After false it may be there or not.
func (c *committer) tryAppend(ctx context.Context, b *batch) bool {
	rec, err := c.encode(b)
	if err != nil {
		c.rejectBatch(b, domain.AsError(err))
		return true
	}
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, appendCallTimeout)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := c.log.Append(callCtx, c.stream, rec)
		result <- err
	}()
	select {
	case err = <-result:
	case <-b.readBack:
	case <-callCtx.Done():
		err = callCtx.Err()
	}
	if isRefused(err) {
		c.rejectBatch(b, domain.AsError(err))
		return true
	}
	if err == nil {
		c.setLogUp(time.Since(started) < AppendTimeout)
	}
	return err == nil
}

// isRefused reports whether the log service will never take the record. Trying
// again would hold up all later records.
func isRefused(err error) bool {
	kind := domain.KindOf(err)
	return kind == domain.KindTooLarge || kind == domain.KindBadRequest
}

func (c *committer) encode(b *batch) (platform.Record, error) {
	c.mu.Lock()
	entries := b.entries()
	c.mu.Unlock()
	return journal.Encode(b.id, entries)
}

// rejectBatch reports a batch that cannot be appended.
func (c *committer) rejectBatch(b *batch, err *domain.Error) {
	c.mu.Lock()
	delete(c.outstanding, b.id)
	var done []func(*domain.Error)
	for _, it := range b.items {
		if f := it.request.resolve(); f != nil {
			done = append(done, f)
		}
	}
	c.mu.Unlock()
	c.logger.Error("log entries are refused", "entries", len(b.items), "err", err)
	for _, f := range done {
		f(err)
	}
}

// isAppended looks the batch up by its record id after an append without an answer.
func (c *committer) isAppended(ctx context.Context, b *batch) bool {
	if !c.readToEnd(ctx) {
		return false
	}
	return !c.isOutstanding(b.id)
}
