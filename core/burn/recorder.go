package burn

import (
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// BucketWidth is the time resolution of all windows. A window includes the bucket
// that is still being filled, so it may cover up to one width less than its
// length.
const BucketWidth = 30 * time.Second

// longestWindow is the length of the longest window.
const longestWindow = 6 * time.Hour

// ringSize is the number of buckets of one objective. At 24 bytes per
// bucket, an objective takes 17 KiB.
const ringSize = int64(longestWindow / BucketWidth)

// Bucket counts the events of one BucketWidth.
type Bucket struct {
	// Index is the Unix time of the bucket's start divided by BucketWidth.
	Index int64  `json:"index"`
	Good  uint64 `json:"good"`
	Bad   uint64 `json:"bad"`
}

// indexOf returns the index of the bucket of a time.
func indexOf(now time.Time) int64 { return now.Unix() / int64(BucketWidth/time.Second) }

// ring holds the newest buckets of one objective; a bucket is at
// position Index modulo ringSize.
type ring [ringSize]Bucket

func (r *ring) record(now time.Time, verdict Verdict) {
	index := indexOf(now)
	if index < 0 {
		// The time is before 1970, as the zero time.Time is.
		return
	}
	b := &r[index%ringSize]
	if b.Index > index {
		// The event is older than the longest window, for example because the
		// clock was set back.
		return
	}
	if b.Index < index {
		*b = Bucket{Index: index}
	}
	if verdict == Good {
		b.Good++
	} else {
		b.Bad++
	}
}

// bucketsUntil returns the buckets of the longest window that ends at now, oldest
// first. Empty buckets are left out.
func (r *ring) bucketsUntil(now time.Time) []Bucket {
	last := indexOf(now)
	var buckets []Bucket
	for _, b := range r {
		if b.Index > last-ringSize && b.Index <= last && b.Good+b.Bad > 0 {
			buckets = append(buckets, b)
		}
	}
	slices.SortFunc(buckets, func(a, b Bucket) int { return int(a.Index - b.Index) })
	return buckets
}

// Recorder counts the events of one node in bounded memory. It is not safe for
// concurrent use.
type Recorder struct {
	objectives []Objective
	rings      map[domain.Kind]*ring
}

// NewRecorder returns a Recorder of the objectives, at most one for each kind.
func NewRecorder(objectives []Objective) *Recorder {
	r := &Recorder{objectives: slices.Clone(objectives), rings: make(map[domain.Kind]*ring)}
	for _, o := range objectives {
		r.rings[o.Kind] = &ring{}
	}
	return r
}

// Observe classifies an outcome and counts it. Outcomes of kinds without an
// objective are not counted.
func (r *Recorder) Observe(now time.Time, kind domain.Kind, state domain.OutcomeState, took time.Duration) {
	for _, o := range r.objectives {
		if o.Kind == kind {
			r.Record(now, kind, o.Classify(state, took))
		}
	}
}

// Record counts one event, unless it is Ignored or its kind has no objective.
func (r *Recorder) Record(now time.Time, kind domain.Kind, verdict Verdict) {
	if ring, ok := r.rings[kind]; ok && verdict != Ignored {
		ring.record(now, verdict)
	}
}

// Series holds the counts of one objective, oldest bucket first, without empty
// buckets.
type Series struct {
	Objective Objective `json:"objective"`
	Buckets   []Bucket  `json:"buckets"`
}

// Snapshot holds the counts of the longest window that ends at At.
type Snapshot struct {
	At     time.Time `json:"at"`
	Series []Series  `json:"series"`
}

// Snapshot returns a copy of the counts, in the order of the objectives.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	s := Snapshot{At: now}
	for _, o := range r.objectives {
		s.Series = append(s.Series, Series{Objective: o, Buckets: r.rings[o.Kind].bucketsUntil(now)})
	}
	return s
}

// Merge adds up the counts of several nodes. The result has the latest of their
// times. If the nodes have different objectives for a kind, the first one is kept.
func Merge(snapshots ...Snapshot) Snapshot {
	var merged Snapshot
	for _, s := range snapshots {
		if s.At.After(merged.At) {
			merged.At = s.At
		}
		for _, series := range s.Series {
			merged.add(series)
		}
	}
	return merged
}

func (s *Snapshot) add(series Series) {
	i := slices.IndexFunc(s.Series, func(own Series) bool { return own.Objective.Kind == series.Objective.Kind })
	if i < 0 {
		series.Buckets = slices.Clone(series.Buckets)
		s.Series = append(s.Series, series)
		return
	}
	s.Series[i].Buckets = addBuckets(s.Series[i].Buckets, series.Buckets)
}

func addBuckets(own, other []Bucket) []Bucket {
	for _, b := range other {
		i, found := slices.BinarySearchFunc(own, b, func(x, y Bucket) int { return int(x.Index - y.Index) })
		if !found {
			own = slices.Insert(own, i, b)
			continue
		}
		own[i].Good += b.Good
		own[i].Bad += b.Bad
	}
	return own
}
