package engine

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
)

// item is one Append effect, or a part of a large one. Its fields are guarded
// by the committer's mutex.
type item struct {
	entries []journal.Entry
	bytes   int
	// done is told the result; nil if none is awaited.
	done func(*domain.Error)
	// live, if set, tells that the entries can still take effect.
	live    func() bool
	timer   *time.Timer
	settled bool
}

// batch is one log record in the making.
type batch struct {
	id    string
	items []*item
	// seen is closed once the follower has read the record.
	seen chan struct{}
}

// entries returns the entries to write. Those whose error was already reported
// are left out: their caller was told that they are not kept.
func (b *batch) entries() []journal.Entry {
	entries := []journal.Entry{}
	for _, it := range b.items {
		if !it.settled {
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

// split cuts entries into items that each fit into one batch.
func split(entries []journal.Entry) []*item {
	var items []*item
	current := &item{}
	for _, e := range entries {
		size := entryBytes(e)
		if len(current.entries) > 0 && !current.fits(1, size) {
			items = append(items, current)
			current = &item{}
		}
		current.entries = append(current.entries, e)
		current.bytes += size
	}
	return append(items, current)
}

// fits reports whether more entries fit beside those of the item.
func (it *item) fits(entries, bytes int) bool {
	return len(it.entries)+entries <= maxBatchEntries && it.bytes+bytes <= maxBatchBytes
}
