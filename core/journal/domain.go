package journal

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// expireEvery is how often, in log time, old requests are forgotten.
const expireEvery = time.Minute

// recentRecords bounds the record ids kept to drop repeats. A repeat follows
// its first append within the seconds that a writer retries.
const recentRecords = 4096

// Domain folds the stream of one failure domain.
type Domain struct {
	shards     map[domain.ShardID]*Shard
	first      platform.Offset
	last       platform.Offset
	lastExpiry time.Time
	seen       map[string]bool
	order      []string
}

// NewDomain returns the state before any record.
func NewDomain() *Domain {
	return &Domain{shards: map[domain.ShardID]*Shard{}, seen: map[string]bool{}}
}

// Last returns the offset of the last record applied.
func (d *Domain) Last() platform.Offset { return d.last }

// Shard returns what is known of a shard; never nil.
func (d *Domain) Shard(id domain.ShardID) *Shard {
	s, ok := d.shards[id]
	if !ok {
		s = newShard(id, d.first <= 1)
		d.shards[id] = s
	}
	return s
}

// ApplyRecord applies the next record of the stream. Records that were applied
// before, repeats of an append and records of another form change nothing; the
// error tells of a malformed record.
func (d *Domain) ApplyRecord(rec platform.Record) error {
	if rec.Offset <= d.last || d.repeated(rec.ID) {
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
	if d.first == 0 {
		d.first = offset
	}
	d.last = max(d.last, offset)
	for _, e := range entries {
		d.Shard(e.Shard).apply(offset, at, e)
	}
	if at.Sub(d.lastExpiry) < expireEvery {
		return
	}
	d.lastExpiry = at
	for _, s := range d.shards {
		s.expire(at.Add(-KeyRetention))
	}
}

func (d *Domain) repeated(id string) bool {
	if id == "" {
		return false
	}
	if d.seen[id] {
		return true
	}
	d.seen[id] = true
	d.order = append(d.order, id)
	if len(d.order) > recentRecords {
		delete(d.seen, d.order[0])
		d.order = d.order[1:]
	}
	return false
}
