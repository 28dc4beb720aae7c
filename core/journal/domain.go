package journal

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// expiryInterval is how often old requests are dropped, by the log service's
// clock.
const expiryInterval = time.Minute

// maxSeenRecords is the maximum number of record ids that are kept to recognize
// repeats. Writers retry an append for a few seconds only, so a repeat soon
// follows the first append.
const maxSeenRecords = 4096

// Domain is the state of one failure domain according to its stream. It is not
// safe for concurrent use.
type Domain struct {
	shards map[domain.ShardID]*Shard
	// firstOffset is the offset of the first record applied; 0 if there is none.
	firstOffset  platform.Offset
	lastOffset   platform.Offset
	lastExpiryAt time.Time
	// seen and seenOrder have the ids of the newest records; seenOrder has the
	// oldest first.
	seen      map[string]bool
	seenOrder []string
}

// NewDomain returns the state before any record.
func NewDomain() *Domain {
	return &Domain{shards: map[domain.ShardID]*Shard{}, seen: map[string]bool{}}
}

// LastOffset returns the offset of the last record applied.
func (d *Domain) LastOffset() platform.Offset { return d.lastOffset }

// Shard returns the state of a shard; never nil.
func (d *Domain) Shard(id domain.ShardID) *Shard {
	s, ok := d.shards[id]
	if !ok {
		// The stream starts at offset 1. A reader that starts later has not seen
		// all claims.
		s = newShard(id, d.firstOffset <= 1)
		d.shards[id] = s
	}
	return s
}

// ApplyRecord applies the next record of the stream. Records that were applied
// before and repeats of an append change nothing. A malformed record changes
// nothing and returns an error.
func (d *Domain) ApplyRecord(rec platform.Record) error {
	if rec.Offset <= d.lastOffset || d.isRepeat(rec.ID) {
		return nil
	}
	entries, err := Decode(rec)
	if err != nil {
		return err
	}
	d.Apply(rec.Offset, rec.AppendedAt, entries)
	return nil
}

// Apply applies the entries of the next record of the stream, which is at
// offset and was appended at the given time by the log service's clock. The
// caller must drop repeated records.
func (d *Domain) Apply(offset platform.Offset, at time.Time, entries []Entry) {
	if d.firstOffset == 0 {
		d.firstOffset = offset
	}
	d.lastOffset = max(d.lastOffset, offset)
	for _, e := range entries {
		d.Shard(e.Shard).apply(offset, at, e)
	}
	if at.Sub(d.lastExpiryAt) < expiryInterval {
		return
	}
	d.lastExpiryAt = at
	for _, s := range d.shards {
		s.dropOldRequests(at.Add(-KeyRetention))
	}
}

// isRepeat reports whether a record with this id was passed to ApplyRecord
// before, and remembers the id. A record without an id is never a repeat.
func (d *Domain) isRepeat(id string) bool {
	if id == "" {
		return false
	}
	if d.seen[id] {
		return true
	}
	d.seen[id] = true
	d.seenOrder = append(d.seenOrder, id)
	if len(d.seenOrder) > maxSeenRecords {
		delete(d.seen, d.seenOrder[0])
		d.seenOrder = d.seenOrder[1:]
	}
	return false
}
