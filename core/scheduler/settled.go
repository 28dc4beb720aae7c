package scheduler

import (
	"fmt"
	"strconv"
	"time"

	"github.com/basilferry/basilferry/core/fleet"
)

// A start is settled once its owner knows whether the worker has carried it out, or has
// stored a bound of the worker's lease that covers it. Before that, it may run on an
// incarnation that nobody has noticed, under the longest lease that a worker grants. The
// owner stores the offset in the states before which all placements are settled, so that a
// later owner waits for that lease only where it has to.

// settleTime is how long after its issue a start, or a heartbeat that was issued before it
// was noticed that the worker has restarted, can still be in progress.
const settleTime = 8 * time.Second

// settledOffsetInterval is the shortest time between two stored offsets.
const settledOffsetInterval = time.Second

// SettledOffset finds the offset in the states before which all placements of an owner and
// of its predecessors are settled. The zero value is that of a new owner.
type SettledOffset struct {
	// appends are the appends whose placements may not be settled, at most one for each
	// settledOffsetInterval. Each ends at the offset that was stored last in its interval.
	appends []storedAppend
	settled int64
}

type storedAppend struct {
	from, to fleet.Instant
	end      int64
}

// Observe records that an append of states that ends at the given offset was stored, and
// its starts issued at now.
func (o *SettledOffset) Observe(end int64, now fleet.Instant) {
	if n := len(o.appends); n > 0 && now-o.appends[n-1].from < settledOffsetInterval {
		o.appends[n-1].to, o.appends[n-1].end = now, end
		return
	}
	o.appends = append(o.appends, storedAppend{from: now, to: now, end: end})
}

// Take returns the settled offset if it has grown; ok is false otherwise. It must be called
// only while the lease bounds are stored.
func (o *SettledOffset) Take(now fleet.Instant) (offset int64, ok bool) {
	for len(o.appends) > 0 && now-o.appends[0].to >= settleTime {
		o.settled, ok = o.appends[0].end, true
		o.appends = o.appends[1:]
	}
	return o.settled, ok
}

// EncodeSettledOffset returns the stored form of a settled offset.
func EncodeSettledOffset(offset int64) []byte { return strconv.AppendInt(nil, offset, 10) }

// DecodeSettledOffset decodes the stored form of a settled offset.
func DecodeSettledOffset(data []byte) (int64, error) {
	offset, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("decode settled offset: %w", err)
	}
	return offset, nil
}

// AreLeaseBoundsStored reports whether the stored lease bounds record of this owner is up to
// date.
func (s *Scheduler) AreLeaseBoundsStored(now fleet.Instant) bool {
	_, changed := s.currentLeaseBounds(now)
	return !changed
}

// isSettled reports whether the owners that placed the attempts of an inherited job have
// settled their starts.
func (p *PreviousOwner) isSettled(r *fleet.Attempt) bool {
	offset, ok := p.StateOffsets[r.ID.Job]
	return ok && offset < p.SettledOffset
}

// restoreUnsettledStarts takes into account that the start of an inherited attempt may have
// been carried out by an incarnation that the previous owners have not noticed. lastGrant
// is the latest time at which one of them can have issued a command.
func (s *Scheduler) restoreUnsettledStarts(previous *PreviousOwner, w *fleet.Worker, lastGrant fleet.Instant) {
	for _, r := range w.Attempts {
		if !previous.isSettled(r) {
			r.MayRunLater = true
			w.Lease.ExtendLaterEnd(lastGrant + s.maxLaterLease())
		}
	}
}
