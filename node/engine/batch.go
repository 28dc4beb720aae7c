package engine

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
)

// appendRequest is a request to append entries. It is split into items if it does
// not fit into one batch. The committer's mutex guards its fields.
type appendRequest struct {
	// done, if not nil, is called with the result; committer.add says when.
	done func(*domain.Error)
	// canTakeEffect, if set, reports whether the entries can still take effect.
	canTakeEffect func() bool
	timer         *time.Timer
	// unreadItems is the number of items that the follower has not read yet.
	unreadItems int
	// resolved is true once the result is known or the entries were dropped.
	resolved bool
}

// resolve marks the request as resolved. It returns done, or nil if the request was
// already resolved. The caller holds the committer's mutex; it must release the
// mutex before it calls done.
func (r *appendRequest) resolve() func(*domain.Error) {
	if r.resolved {
		return nil
	}
	r.resolved = true
	if r.timer != nil {
		r.timer.Stop()
	}
	return r.done
}

// shouldAppend reports whether the entries must still be appended. Entries of a
// resolved request must not: if it timed out, its failure was already reported.
func (r *appendRequest) shouldAppend() bool {
	return !r.resolved && (r.canTakeEffect == nil || r.canTakeEffect())
}

// item is a part of a request that fits into one batch.
type item struct {
	request *appendRequest
	entries []journal.Entry
	bytes   int
}

// batch holds the entries of one log record until the record is appended.
type batch struct {
	id    string
	items []item
	// readBack is closed when the follower has read the record.
	readBack chan struct{}
}

// entries returns the entries that must still be appended.
func (b *batch) entries() []journal.Entry {
	entries := []journal.Entry{}
	for _, it := range b.items {
		if it.request.shouldAppend() {
			entries = append(entries, it.entries...)
		}
	}
	return entries
}

// entryOverheadBytes is an upper bound of the size of an entry in JSON without its
// payload and answer.
const entryOverheadBytes = 640

// entryBytes estimates the size of an entry in JSON, which encodes payload and
// answer in base64.
func entryBytes(e journal.Entry) int {
	contentBytes := 0
	switch {
	case e.Job != nil:
		contentBytes = len(e.Job.Task.Payload)
	case e.Moved != nil && e.Moved.Job != nil:
		contentBytes = len(e.Moved.Job.Task.Payload)
	case e.Finished != nil:
		contentBytes = len(e.Finished.Outcome.Answer)
	}
	return entryOverheadBytes + contentBytes*4/3
}

// splitEntries splits the entries of a request into items that each fit into one
// batch.
func splitEntries(r *appendRequest, entries []journal.Entry) []item {
	var items []item
	current := item{request: r}
	for _, e := range entries {
		size := entryBytes(e)
		if len(current.entries) > 0 && !current.hasRoomFor(1, size) {
			items = append(items, current)
			current = item{request: r}
		}
		current.entries = append(current.entries, e)
		current.bytes += size
	}
	r.unreadItems = len(items) + 1
	return append(items, current)
}

// hasRoomFor reports whether more entries of the given number and size fit into a
// batch with those of the item.
func (it item) hasRoomFor(entries, bytes int) bool {
	return len(it.entries)+entries <= maxBatchEntries && it.bytes+bytes <= maxBatchBytes
}
