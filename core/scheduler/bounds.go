package scheduler

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// The lease bounds record lists the unresponsive workers, with the longest time
// that their last lease can still be valid. A worker in the record gets no lease
// until a record without it is stored. A later owner therefore knows when the
// attempts on such a worker can no longer be running, and need not assume that an
// earlier owner renewed the lease until it was replaced.
//
// The record also lists the workers that respond but may hold a lease that ends later
// than a later owner would assume. It is stored with the placements on these workers.

// PreviousOwner is what a new owner knows about the owners before it.
type PreviousOwner struct {
	// LastSeenAt is when the last record of any previous owner was read.
	LastSeenAt fleet.Instant
	// Token is the fencing token of the latest previous owner. ProcessEnded is
	// true if its process is known to have ended, so that it renews no more leases.
	Token        platform.Token
	ProcessEnded bool
	// LeaseBounds is the newest lease bounds record; nil if there is none.
	// LeaseBoundsReadAt is when it was read.
	LeaseBounds       []byte
	LeaseBoundsReadAt fleet.Instant
	// SettledOffset is the offset in the states before which all starts are settled, and
	// StateOffsets holds the offset of the newest state of each job.
	SettledOffset int64
	StateOffsets  map[job.ID]int64
	// Unreadable are the jobs whose records cannot be decoded.
	Unreadable []job.ID
}

// unresponsiveDelay is how long a worker must have been unresponsive before it is
// added to the lease bounds record. A single lost response does not justify a new
// record.
const unresponsiveDelay = 500 * time.Millisecond

type (
	// storedLeaseBounds is the stored form of the lease bounds record. Token is the
	// fencing token of the owner that wrote it.
	storedLeaseBounds struct {
		_       struct{} `cbor:",toarray"`
		Token   int64
		Workers []storedLeaseBound
		// LongLeases are the responsive workers whose leases may end later than a later
		// owner assumes. If they are too many, LongLeaseMS applies to all workers instead.
		LongLeases  []storedLongLease
		LongLeaseMS int64
	}
	// storedLongLease is the entry of one responsive worker. RemainingMS is as in
	// storedLeaseBound.
	storedLongLease struct {
		_           struct{} `cbor:",toarray"`
		ID          domain.WorkerID
		RemainingMS int64
	}
	// storedLeaseBound is the entry of one worker.
	storedLeaseBound struct {
		_       struct{} `cbor:",toarray"`
		ID      domain.WorkerID
		Address string
		// RemainingMS is how long the lease can still be valid after the record was
		// written, in milliseconds. LaterMS is the same for a lease of a later incarnation
		// that may run some of the attempts; 0 for none. Later are the tasks of these
		// attempts; empty for all.
		RemainingMS, LaterMS int64
		Later                []string
	}
)

// needsLeaseBound reports whether the worker belongs in the lease bounds record: attempts
// may be running on it, and it has been unresponsive for some time or the leases are sealed.
func (s *Scheduler) needsLeaseBound(w *fleet.Worker, now fleet.Instant) bool {
	if len(w.Attempts) == 0 {
		return false
	}
	if s.handOver != nil && s.handOver.sealed {
		return true
	}
	if w.UnresponsiveSince == 0 {
		return false
	}
	// The first record contains every worker that has not responded yet. It separates
	// the leases of the previous owner from those of this one.
	return !s.leaseBoundsStored || s.handOver != nil || now-w.UnresponsiveSince >= unresponsiveDelay
}

// leaseBounds is the content of a lease bounds record.
type leaseBounds struct {
	// suspended are the unresponsive workers.
	suspended map[domain.WorkerID]bool
	// longLeases holds the latest ends of the leases of responsive workers that end later
	// than a later owner assumes. If they are too many, it is empty, and longLease is the
	// latest of them.
	longLeases map[domain.WorkerID]fleet.Instant
	longLease  fleet.Instant
}

// maxLongLeases limits the size of a lease bounds record.
const maxLongLeases = 128

// covers reports whether a later owner that knows the record waits until end for a
// responsive worker.
func (b *leaseBounds) covers(id domain.WorkerID, end fleet.Instant) bool {
	return end <= max(b.longLeases[id], b.longLease)
}

// hasLongLeases reports whether the record lists responsive workers.
func (b *leaseBounds) hasLongLeases() bool { return len(b.longLeases) > 0 || b.longLease > 0 }

// currentLeaseBounds returns the lease bounds to store, and whether the stored record of
// this owner does not cover them.
func (s *Scheduler) currentLeaseBounds(now fleet.Instant) (bounds leaseBounds, changed bool) {
	bounds = leaseBounds{suspended: map[domain.WorkerID]bool{}, longLeases: map[domain.WorkerID]fleet.Instant{}}
	changed = !s.leaseBoundsStored
	assumed := now + s.maxLeaseDuration()
	for _, w := range s.fleet.All() {
		suspended, end := s.needsLeaseBound(w, now), w.Lease.LatestEnd()
		if suspended != s.storedBounds.suspended[w.ID] {
			changed = true
		}
		switch {
		case suspended:
			bounds.suspended[w.ID] = true
		case end > assumed:
			if len(bounds.longLeases) <= maxLongLeases {
				bounds.longLeases[w.ID] = end
			}
			bounds.longLease = max(bounds.longLease, end)
			changed = changed || len(w.Attempts) > 0 && !s.storedBounds.covers(w.ID, end)
		}
	}
	// The next process of this node counts stored leases from when it reads the record.
	changed = changed || len(bounds.longLeases) == 0 && s.storedBounds.hasLongLeases()
	if len(bounds.longLeases) > maxLongLeases {
		bounds.longLeases = nil
	} else {
		bounds.longLease = 0
	}
	return bounds, changed
}

// encodeLeaseBounds returns the lease bounds record to store and its content. Both are nil
// if the stored record of this owner says as much.
func (s *Scheduler) encodeLeaseBounds(now fleet.Instant) ([]byte, *leaseBounds, error) {
	bounds, changed := s.currentLeaseBounds(now)
	if !changed {
		return nil, nil, nil
	}
	named := 0
	out := storedLeaseBounds{Token: int64(s.token), LongLeaseMS: remainingMS(bounds.longLease - now)}
	for _, w := range s.fleet.All() {
		if bounds.suspended[w.ID] {
			bound := s.storedBoundOf(w, now)
			if named += len(bound.Later); named > maxNamedTasks {
				bound.Later = nil
			}
			out.Workers = append(out.Workers, bound)
		}
		if end, ok := bounds.longLeases[w.ID]; ok {
			out.LongLeases = append(out.LongLeases, storedLongLease{ID: w.ID, RemainingMS: remainingMS(end - now)})
		}
	}
	record, err := out.encode()
	if err != nil {
		return nil, nil, fmt.Errorf("encode lease bounds: %w", err)
	}
	return record, &bounds, nil
}

// remainingMS returns a remaining time in milliseconds, rounded up; 0 if it is negative.
func remainingMS(remaining time.Duration) int64 {
	if remaining < 0 {
		return 0
	}
	return remaining.Milliseconds() + 1
}

// maxNamedTasks is how many tasks a lease bounds record names at most, which limits its
// size.
const maxNamedTasks = 2000

// storedBoundOf returns the entry of an unresponsive worker.
func (s *Scheduler) storedBoundOf(w *fleet.Worker, now fleet.Instant) storedLeaseBound {
	out := storedLeaseBound{ID: w.ID, Address: w.Address, RemainingMS: remainingMS(w.Lease.Remaining(now))}
	for _, r := range w.Attempts {
		if later := remainingMS(s.laterLeaseRemaining(w, r, now)); later > out.RemainingMS {
			out.LaterMS = max(out.LaterMS, later)
			out.Later = append(out.Later, r.ID.String())
		}
	}
	return out
}

// leaseRemaining returns how long attempts on the worker can still be running under its
// lease, or under that of a later incarnation.
func (s *Scheduler) leaseRemaining(w *fleet.Worker, now fleet.Instant) time.Duration {
	remaining := max(0, w.Lease.Remaining(now))
	for _, r := range w.Attempts {
		remaining = max(remaining, s.laterLeaseRemaining(w, r, now))
	}
	return remaining
}

// laterLeaseRemaining returns how long an attempt can still be running under the lease of a
// later incarnation, which a command in progress may reach; negative or 0 if it cannot.
func (s *Scheduler) laterLeaseRemaining(w *fleet.Worker, r *fleet.Attempt, now fleet.Instant) time.Duration {
	if r.Phase == fleet.AttemptSent || mayRunUnderNewLease(w, r) {
		return maxCallTime + s.maxLaterLease()
	}
	return w.LaterLeaseRemaining(r, now)
}

// maxCallTime is the longest time from the issue of a command that grants a lease until
// its call has ended.
const maxCallTime = 3 * time.Second

// mayRunUnderNewLease reports whether a command from before the last raise of the token may
// still extend the lease of an attempt.
func mayRunUnderNewLease(w *fleet.Worker, r *fleet.Attempt) bool {
	return !w.HeartbeatAnswered && !r.Listed && (r.Phase == fleet.AttemptStarted || r.Phase == fleet.AttemptUnresolved)
}

// maxLaterLease returns how long the lease can last that a later incarnation of a worker
// grants for a start in progress.
func (s *Scheduler) maxLaterLease() time.Duration {
	return fleet.LongestLease(s.settings.LeaseLimit) + previousLeaseMargin
}

// suspendLeases stops lease renewals for the workers in a lease bounds record that
// is about to be stored.
func (s *Scheduler) suspendLeases(bounds *leaseBounds) {
	if bounds == nil {
		return
	}
	for id := range bounds.suspended {
		if w := s.fleet.Worker(id); w != nil {
			w.LeaseSuspended = true
		}
	}
}

// applyLeaseBounds applies a stored lease bounds record: workers that are no longer
// in it may get leases again.
func (s *Scheduler) applyLeaseBounds(bounds *leaseBounds, now fleet.Instant) {
	s.leaseBoundsStored = true
	s.storedBounds = *bounds
	for _, w := range s.fleet.All() {
		if w.LeaseSuspended && !bounds.suspended[w.ID] {
			w.LeaseSuspended = false
			s.needsPlan = true
		}
		if hb := s.heartbeats[w.ID]; hb != nil && !w.LeaseSuspended && len(w.Attempts) > 0 {
			hb.next = now
		}
	}
}

// restoreLeaseBounds sets the latest time at which the leases granted by previous
// owners can end. If the lease bounds record cannot be decoded, it assumes the
// longest lease for all workers.
func (s *Scheduler) restoreLeaseBounds(previous PreviousOwner, now fleet.Instant) error {
	stored, err := s.decodeLeaseBounds(previous.LeaseBounds)
	last := previous.LastSeenAt + s.settings.MaxOffline
	if previous.ProcessEnded && stored.Token == int64(previous.Token) {
		// The latest previous owner granted its last lease before now, and its
		// record covers the leases of earlier owners.
		last = min(last, now)
	}
	lease := s.maxLeaseDuration()
	if err != nil {
		lease = max(lease, s.maxLaterLease())
	}
	readAt := previous.LeaseBoundsReadAt
	for _, w := range s.fleet.All() {
		w.Lease.ExtendLatestEnd(last+lease, fleet.LeaseOfPreviousOwner)
		w.Lease.ExtendLatestEnd(readAt+milliseconds(stored.LongLeaseMS), fleet.LeaseOfBoundsRecord)
	}
	for _, b := range stored.LongLeases {
		if w := s.fleet.Worker(b.ID); w != nil {
			w.Lease.ExtendLatestEnd(readAt+milliseconds(b.RemainingMS), fleet.LeaseOfBoundsRecord)
		}
	}
	for _, b := range stored.Workers {
		w := s.fleet.Ensure(b.ID)
		w.Address = b.Address
		w.LeaseSuspended = true
		w.Lease.SetLatestEnd(readAt+milliseconds(b.RemainingMS), fleet.LeaseOfBoundsRecord)
		w.Lease.ExtendLaterEnd(readAt + milliseconds(b.LaterMS))
		for _, r := range w.Attempts {
			r.MayRunLater = b.LaterMS > 0 && (len(b.Later) == 0 || slices.Contains(b.Later, r.ID.String()))
		}
		s.storedBounds.suspended[b.ID] = true
		s.heartbeat(w, now)
	}
	for _, w := range s.fleet.All() {
		if !s.storedBounds.suspended[w.ID] { // The record covers the others.
			s.restoreUnsettledStarts(&previous, w, last)
		}
	}
	return err
}

// decodeLeaseBounds decodes a lease bounds record; an empty one is decoded as one without
// workers.
func (s *Scheduler) decodeLeaseBounds(record []byte) (storedLeaseBounds, error) {
	var stored storedLeaseBounds
	if record == nil {
		return stored, nil
	}
	if err := stored.decode(record); err != nil {
		return storedLeaseBounds{}, fmt.Errorf("decode lease bounds: %w", err)
	}
	longest := remainingMS(max(s.settings.MaxOffline, maxOrderDelay) + max(s.maxLeaseDuration(), s.maxLaterLease()))
	check := func(id domain.WorkerID, remainingMS int64) error {
		if remainingMS < 0 || remainingMS > longest {
			return fmt.Errorf("decode lease bounds: a lease of worker %s lasts %d ms", id, remainingMS)
		}
		return nil
	}
	err := check("(all)", stored.LongLeaseMS)
	for _, b := range stored.Workers {
		err = errors.Join(err, check(b.ID, b.RemainingMS), check(b.ID, b.LaterMS))
	}
	for _, b := range stored.LongLeases {
		err = errors.Join(err, check(b.ID, b.RemainingMS))
	}
	if err != nil {
		return storedLeaseBounds{}, err
	}
	return stored, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// maxLeaseDuration returns how long a lease granted by a previous owner can be
// valid on a slow clock, with a margin for the time between the issue of the
// command and the clock reading that it is based on.
func (s *Scheduler) maxLeaseDuration() time.Duration {
	return time.Duration(float64(s.settings.Lease)*slowClockFactor) + previousLeaseMargin
}

// slowClockFactor is an upper bound for the factor by which a lease lasts longer on
// the slowest worker clock. The platform's workers are at most 2% slow.
const slowClockFactor = 1.03
