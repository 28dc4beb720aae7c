package journal

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// expiryInterval is how often, in log time, old requests are forgotten.
const expiryInterval = time.Minute

// maxSeenRecords bounds the record ids kept to drop repeats. A repeat follows
// its first append within the seconds that a writer retries.
const maxSeenRecords = 4096

// Domain folds the stream of one failure domain.
type Domain struct {
	shards       map[domain.ShardID]*Shard
	firstOffset  platform.Offset
	lastOffset   platform.Offset
	lastExpiryAt time.Time
	seen         map[string]bool
	seenOrder    []string
}

// NewDomain returns the state before any record.
func NewDomain() *Domain {
	return &Domain{shards: map[domain.ShardID]*Shard{}, seen: map[string]bool{}}
}

// LastOffset returns the offset of the last record applied.
func (d *Domain) LastOffset() platform.Offset { return d.lastOffset }

// Shard returns what is known of a shard; never nil.
func (d *Domain) Shard(id domain.ShardID) *Shard {
	s, ok := d.shards[id]
	if !ok {
		s = newShard(id, d.firstOffset <= 1)
		d.shards[id] = s
	}
	return s
}

// ApplyRecord applies the next record of the stream. Records that were applied
// before, repeats of an append and records of another form change nothing; the
// error tells of a malformed record.
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
// offset and was appended at the log service's time at. The caller drops
// repeated records.
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
