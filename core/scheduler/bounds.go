package scheduler

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/platform"
)

// The bounds record lists the workers that are not reached, with the time that
// their last lease can still last. A worker on the list gets no lease until a
// record without it is stored. A later owner therefore knows when the runs on
// such a worker are surely over, and need not assume that an earlier owner
// renewed the lease until it was replaced.

// PreviousOwner is what a new owner knows of the owners before it.
type PreviousOwner struct {
	// LastSeenAt is when the last record of any of them was read.
	LastSeenAt fleet.Instant
	// Token is that of the last of them; Dead tells that its process has surely
	// ended, so that it renews no leases any more.
	Token        platform.Token
	ProcessEnded bool
	// LeaseBounds is the newest bounds record, nil if there is none, and BoundsAt is
	// when it was read.
	LeaseBounds       []byte
	LeaseBoundsReadAt fleet.Instant
}

// unresponsiveDelay is how long a worker must be silent before it is listed: one
// lost answer is not worth a record.
const unresponsiveDelay = 500 * time.Millisecond

type (
	storedLeaseBounds struct {
		_       struct{} `cbor:",toarray"`
		Token   int64
		Workers []storedLeaseBound
	}
	storedLeaseBound struct {
		_       struct{} `cbor:",toarray"`
		ID      domain.WorkerID
		Address string
		// RemainingMS is how long the lease can last after the record was written.
		RemainingMS int64
	}
)

// isWithoutLease reports whether the worker gets no lease at present although runs
// may be executing on it.
func (m *Scheduler) isWithoutLease(w *fleet.Worker, now fleet.Instant) bool {
	if len(w.Attempts) == 0 || w.UnresponsiveSince == 0 {
		return false
	}
	// The first record lists every worker that was not heard yet: it separates
	// the leases of the former owner from those of this one.
	return !m.leaseBoundsStored || now-w.UnresponsiveSince >= unresponsiveDelay
}

// encodeLeaseBounds returns the bounds record to store, or nil if the list has not
// changed.
func (m *Scheduler) encodeLeaseBounds(now fleet.Instant) (record []byte, listed map[domain.WorkerID]bool, err error) {
	listed = map[domain.WorkerID]bool{}
	out := storedLeaseBounds{Token: int64(m.token)}
	changed := !m.leaseBoundsStored
	for _, w := range m.fleet.All() {
		if !m.isWithoutLease(w, now) {
			changed = changed || m.boundedWorkers[w.ID]
			continue
		}
		changed = changed || !m.boundedWorkers[w.ID]
		listed[w.ID] = true
		out.Workers = append(out.Workers, storedLeaseBound{
			ID: w.ID, Address: w.Address, RemainingMS: max(0, w.Lease.Remaining(now)).Milliseconds() + 1,
		})
	}
	if !changed {
		return nil, nil, nil
	}
	if record, err = cbor.Marshal(out); err != nil {
		return nil, nil, fmt.Errorf("encode lease bounds: %w", err)
	}
	return record, listed, nil
}

// barWorkers bars the listed workers from leases while the record is stored.
func (m *Scheduler) barWorkers(listed map[domain.WorkerID]bool) {
	for id := range listed {
		if w := m.fleet.Worker(id); w != nil {
			w.LeaseSuspended = true
		}
	}
}

// applyLeaseBounds takes note that a bounds record is stored.
func (m *Scheduler) applyLeaseBounds(listed map[domain.WorkerID]bool, now fleet.Instant) {
	m.leaseBoundsStored = true
	m.boundedWorkers = listed
	for _, w := range m.fleet.All() {
		if w.LeaseSuspended && !listed[w.ID] {
			w.LeaseSuspended = false
			m.needsPlan = true
		}
		if c := m.heartbeats[w.ID]; c != nil && !w.LeaseSuspended && len(w.Attempts) > 0 {
			c.next = now
		}
	}
}

// restoreLeaseBounds sets until when the runs of the former owners can last. If the
// bounds record cannot be read, the longest lease counts for all workers.
func (m *Scheduler) restoreLeaseBounds(f PreviousOwner, now fleet.Instant) error {
	var stored storedLeaseBounds
	var err error
	if f.LeaseBounds != nil {
		if err = cbor.Unmarshal(f.LeaseBounds, &stored); err != nil {
			stored, err = storedLeaseBounds{}, fmt.Errorf("decode lease bounds: %w", err)
		}
	}
	last := f.LastSeenAt + m.settings.MaxOffline
	if f.ProcessEnded && stored.Token == int64(f.Token) {
		// It gave its last lease before now, and the list has those of earlier
		// owners.
		last = min(last, now)
	}
	for _, w := range m.fleet.All() {
		w.Lease.ExtendLatestEnd(last + m.maxLeaseDuration())
	}
	for _, b := range stored.Workers {
		w := m.fleet.Ensure(b.ID)
		w.Address = b.Address
		w.LeaseSuspended = true
		w.Lease.SetLatestEnd(f.LeaseBoundsReadAt + time.Duration(b.RemainingMS)*time.Millisecond)
		m.boundedWorkers[b.ID] = true
		m.heartbeat(w, now)
	}
	return err
}

// maxLeaseDuration is how long a lease that a former owner gave can last on a slow
// clock, with a margin for the time between the order's issue and its clock
// reading.
func (m *Scheduler) maxLeaseDuration() time.Duration {
	return time.Duration(float64(m.settings.Lease)*slowClockFactor) + previousLeaseMargin
}

// slowClockFactor is the factor by which a lease lasts longer on the slowest clock.
const slowClockFactor = 1.03
