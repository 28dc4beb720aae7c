package engine

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
)

// appendRequest is one Append effect. It is cut into items if it does not fit into
// one batch. The fields are guarded by the committer's mutex.
type appendRequest struct {
	// done is told the result once; nil if none is awaited.
	done func(*domain.Error)
	// live, if set, tells that the entries can still take effect.
	live  func() bool
	timer *time.Timer
	// open is the number of items that the follower has not read yet.
	open    int
	settled bool
}

// settle marks the request as answered and returns done if it is still to be
// called. The committer's mutex is held; done is called without it.
func (r *appendRequest) settle() func(*domain.Error) {
	if r.settled {
		return nil
	}
	r.settled = true
	if r.timer != nil {
		r.timer.Stop()
	}
	return r.done
}

// wanted reports whether the entries are still to be appended. Those whose
// error was already reported are not: their caller was told that they are not
// kept.
func (r *appendRequest) wanted() bool {
	return !r.settled && (r.live == nil || r.live())
}

// item is a part of a request that fits into one batch.
type item struct {
	request *appendRequest
	entries []journal.Entry
	bytes   int
}

// batch is one log record in the making.
type batch struct {
	id    string
	items []item
	// seen is closed once the follower has read the record.
	seen chan struct{}
}

// entries returns the entries to write.
func (b *batch) entries() []journal.Entry {
	entries := []journal.Entry{}
	for _, it := range b.items {
		if it.request.wanted() {
			entries = append(entries, it.entries...)
		}
	}
	return entries
}

// entryOverhead is more than an entry's JSON without payload and answer takes.
const entryOverhead = 640

// entryBytes estimates the size of an entry in JSON, where bytes are base64.
func entryBytes(e journal.Entry) int {
	raw := 0
	switch {
	case e.Job != nil:
		raw = len(e.Job.Task.Payload)
	case e.Moved != nil && e.Moved.Job != nil:
		raw = len(e.Moved.Job.Task.Payload)
	case e.Ended != nil:
		raw = len(e.Ended.Outcome.Answer)
	}
	return entryOverhead + raw*4/3
}

// split cuts the entries of a request into items that each fit into one batch.
func split(r *appendRequest, entries []journal.Entry) []item {
	var items []item
	current := item{request: r}
	for _, e := range entries {
		size := entryBytes(e)
		if len(current.entries) > 0 && !current.fits(1, size) {
			items = append(items, current)
			current = item{request: r}
		}
		current.entries = append(current.entries, e)
		current.bytes += size
	}
	r.open = len(items) + 1
	return append(items, current)
}

// fits reports whether more entries fit beside those of the item.
func (it item) fits(entries, bytes int) bool {
	return len(it.entries)+entries <= maxBatchEntries && it.bytes+bytes <= maxBatchBytes
}
