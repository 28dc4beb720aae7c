package scheduler

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/platform"
)

// The lease bounds record lists the unresponsive workers, with the longest time
// that their last lease can still be valid. A worker in the record gets no lease
// until a record without it is stored. A later owner therefore knows when the
// attempts on such a worker can no longer be running, and need not assume that an
// earlier owner renewed the lease until it was replaced.

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
	}
	// storedLeaseBound is the entry of one worker.
	storedLeaseBound struct {
		_       struct{} `cbor:",toarray"`
		ID      domain.WorkerID
		Address string
		// RemainingMS is how long the lease can still be valid after the record was
		// written, in milliseconds.
		RemainingMS int64
	}
)

// needsLeaseBound reports whether the worker belongs in the lease bounds record: it
// has been unresponsive for some time, and attempts may be running on it.
func (s *Scheduler) needsLeaseBound(w *fleet.Worker, now fleet.Instant) bool {
	if len(w.Attempts) == 0 || w.UnresponsiveSince == 0 {
		return false
	}
	// The first record contains every worker that has not responded yet. It separates
	// the leases of the previous owner from those of this one.
	return !s.leaseBoundsStored || s.handOver != nil || now-w.UnresponsiveSince >= unresponsiveDelay
}

// encodeLeaseBounds returns the lease bounds record to store and the workers in it.
// Both are nil if the stored record of this owner lists the same workers.
func (s *Scheduler) encodeLeaseBounds(now fleet.Instant) (record []byte, bounded map[domain.WorkerID]bool, err error) {
	bounded = map[domain.WorkerID]bool{}
	out := storedLeaseBounds{Token: int64(s.token)}
	changed := !s.leaseBoundsStored
	for _, w := range s.fleet.All() {
		if !s.needsLeaseBound(w, now) {
			changed = changed || s.boundedWorkers[w.ID]
			continue
		}
		changed = changed || !s.boundedWorkers[w.ID]
		bounded[w.ID] = true
		out.Workers = append(out.Workers, storedLeaseBound{
			ID: w.ID, Address: w.Address, RemainingMS: s.leaseRemaining(w, now).Milliseconds() + 1,
		})
	}
	if !changed {
		return nil, nil, nil
	}
	if record, err = cbor.Marshal(out); err != nil {
		return nil, nil, fmt.Errorf("encode lease bounds: %w", err)
	}
	return record, bounded, nil
}

// leaseRemaining returns how long attempts on the worker can still be running under its
// lease. A start in progress may reach a later incarnation.
func (s *Scheduler) leaseRemaining(w *fleet.Worker, now fleet.Instant) time.Duration {
	remaining := max(0, w.LeaseRemaining(now))
	for _, r := range w.Attempts {
		if r.Phase == fleet.AttemptSent {
			remaining = max(remaining, s.maxLaterLease())
		}
	}
	return remaining
}

// maxLaterLease returns how long the lease can last that a later incarnation of a worker
// grants for a start in progress.
func (s *Scheduler) maxLaterLease() time.Duration {
	return fleet.LongestLease(s.settings.LeaseLimit) + previousLeaseMargin
}

// suspendLeases stops lease renewals for the workers in a lease bounds record that
// is about to be stored.
func (s *Scheduler) suspendLeases(bounded map[domain.WorkerID]bool) {
	for id := range bounded {
		if w := s.fleet.Worker(id); w != nil {
			w.LeaseSuspended = true
		}
	}
}

// applyLeaseBounds applies a stored lease bounds record: workers that are no longer
// in it may get leases again.
func (s *Scheduler) applyLeaseBounds(bounded map[domain.WorkerID]bool, now fleet.Instant) {
	s.leaseBoundsStored = true
	s.boundedWorkers = bounded
	for _, w := range s.fleet.All() {
		if w.LeaseSuspended && !bounded[w.ID] {
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
	var stored storedLeaseBounds
	var err error
	if previous.LeaseBounds != nil {
		if err = cbor.Unmarshal(previous.LeaseBounds, &stored); err != nil {
			stored, err = storedLeaseBounds{}, fmt.Errorf("decode lease bounds: %w", err)
		}
	}
	for _, b := range stored.Workers {
		if b.RemainingMS < 0 || b.RemainingMS > max(s.settings.MaxOffline+s.maxLeaseDuration(), s.maxLaterLease()).Milliseconds() {
			err = fmt.Errorf("decode lease bounds: a lease of worker %s lasts %d ms", b.ID, b.RemainingMS)
			stored = storedLeaseBounds{}
			break
		}
	}
	last := previous.LastSeenAt + s.settings.MaxOffline
	if previous.ProcessEnded && stored.Token == int64(previous.Token) {
		// The latest previous owner granted its last lease before now, and its
		// record covers the leases of earlier owners.
		last = min(last, now)
	}
	for _, w := range s.fleet.All() {
		w.Lease.ExtendLatestEnd(last+s.maxLeaseDuration(), fleet.LeaseOfPreviousOwner)
	}
	for _, b := range stored.Workers {
		w := s.fleet.Ensure(b.ID)
		w.Address = b.Address
		w.LeaseSuspended = true
		w.Lease.SetLatestEnd(previous.LeaseBoundsReadAt+time.Duration(b.RemainingMS)*time.Millisecond, fleet.LeaseOfBoundsRecord)
		s.boundedWorkers[b.ID] = true
		s.heartbeat(w, now)
	}
	return err
}

// maxLeaseDuration returns how long a lease granted by a previous owner can be
// valid on a slow clock, with a margin for the time between the issue of the
// command and the clock reading that it is based on.
func (s *Scheduler) maxLeaseDuration() time.Duration {
	return time.Duration(float64(s.settings.Lease)*slowClockFactor) + previousLeaseMargin
}

// slowClockFactor is an upper bound for the factor by which a lease lasts longer on
// the slowest worker clock. The platform's workers are at most 2% slow.
const slowClockFactor = 1.03
