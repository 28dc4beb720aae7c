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
	canTakeEffect func() bool
	timer         *time.Timer
	// unreadItems is the number of items that the follower has not read yet.
	unreadItems int
	resolved    bool
}

// resolve marks the request as answered and returns done if it is still to be
// called. The committer's mutex is held; done is called without it.
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

// shouldAppend reports whether the entries are still to be appended. Those whose
// error was already reported are not: their caller was told that they are not
// kept.
func (r *appendRequest) shouldAppend() bool {
	return !r.resolved && (r.canTakeEffect == nil || r.canTakeEffect())
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
	// readBack is closed once the follower has read the record.
	readBack chan struct{}
}

// entries returns the entries to write.
func (b *batch) entries() []journal.Entry {
	entries := []journal.Entry{}
	for _, it := range b.items {
		if it.request.shouldAppend() {
			entries = append(entries, it.entries...)
		}
	}
	return entries
}

// entryOverheadBytes is more than an entry's JSON without payload and answer takes.
const entryOverheadBytes = 640

// entryBytes estimates the size of an entry in JSON, where bytes are base64.
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

// splitEntries cuts the entries of a request into items that each fit into one batch.
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

// hasRoomFor reports whether more entries fit beside those of the item.
func (it item) hasRoomFor(entries, bytes int) bool {
	return len(it.entries)+entries <= maxBatchEntries && it.bytes+bytes <= maxBatchBytes
}
