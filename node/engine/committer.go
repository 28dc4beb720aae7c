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

// committer appends the journal entries of all shards of the node in batches (a
// group commit), one append at a time.
type committer struct {
	log    platform.Log
	stream platform.Stream
	// readToEnd reads the stream to its end; see follower.readToEnd.
	readToEnd func(context.Context) bool
	// changed is called when the log service starts or stops responding to
	// appends in time.
	changed func(up bool)
	wake    chan struct{}
	logger  *log.Logger

	mu      sync.Mutex
	pending []item
	// outstanding holds the batches whose records the follower has not read yet,
	// by record id.
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

// add queues entries. done, if not nil, is called at most once: with nil when the
// follower has read the entries, or with an error if they were refused or
// AppendTimeout has passed. Entries with a nil done are retried until they are
// appended or refused. Once canTakeEffect returns false, entries that have not been
// appended are dropped. The caller must then ignore the result: done may be called
// with nil, with an error, or not at all.
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
// that have not been sent yet are dropped.
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

// isOutstanding reports whether this process created the record and has not read
// it back yet.
func (c *committer) isOutstanding(recordID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding[recordID] != nil
}

// readBack resolves the batch of a record that the follower has read.
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

// setLogUp records whether the log service responds to appends in time.
func (c *committer) setLogUp(up bool) {
	c.mu.Lock()
	changed := c.up != up
	c.up = up
	c.mu.Unlock()
	if changed {
		c.changed(up)
	}
}

// isLogUp reports whether the log service responds to appends in time.
func (c *committer) isLogUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up
}

// run appends batches until ctx ends.
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

// waitForWork waits for entries or, while the log service does not respond, for
// the time of the next probe. It returns false when ctx ends.
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

// nextBatch returns the next batch of pending items. If no item must be appended,
// it returns an empty batch as a probe while the log service does not respond, and
// otherwise nil.
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
			// Either the result was already reported, or the entries can no longer take
			// effect. In neither case is done called here.
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

// commit retries the append of a batch until its record is known to be in the
// stream or the log service refuses it. All retries use the same record id, so that
// readers drop every copy but the first. A batch whose entries were all dropped
// meanwhile is still appended: its empty record makes readers drop a copy of the
// full one that arrives later.
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

// tryAppend sends one append. It returns true if the batch is resolved: the record
// is in the stream or was refused. After false, the record may or may not be in the
// stream.
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

// isRefused reports whether the error means that the log service will never accept
// the record. Retrying it would block all later records.
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

// rejectBatch drops a batch that cannot be appended and reports the error.
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
	c.logger.Error("dropping journal entries that cannot be appended", "entries", len(b.items), "err", err)
	for _, f := range done {
		f(err)
	}
}

// isAppended reports whether the batch is found in the stream after an append
// without a response.
func (c *committer) isAppended(ctx context.Context, b *batch) bool {
	if !c.readToEnd(ctx) {
		return false
	}
	return !c.isOutstanding(b.id)
}
