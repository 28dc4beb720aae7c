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

// Former is what a new owner knows of the owners before it.
type Former struct {
	// SeenAt is when the last record of any of them was read.
	SeenAt fleet.Instant
	// Token is that of the last of them; Dead tells that its process has surely
	// ended, so that it renews no leases any more.
	Token platform.Token
	Dead  bool
	// Bounds is the newest bounds record, nil if there is none, and BoundsAt is
	// when it was read.
	Bounds   []byte
	BoundsAt fleet.Instant
}

// silentSettle is how long a worker must be silent before it is listed: one
// lost answer is not worth a record.
const silentSettle = 500 * time.Millisecond

type (
	storedBounds struct {
		_       struct{} `cbor:",toarray"`
		Token   int64
		Workers []storedBound
	}
	storedBound struct {
		_       struct{} `cbor:",toarray"`
		ID      domain.WorkerID
		Address string
		// LeftMS is how long the lease can last after the record was written.
		LeftMS int64
	}
)

// unleased reports whether the worker gets no lease at present although runs
// may be executing on it.
func (m *Machine) unleased(w *fleet.Worker, now fleet.Instant) bool {
	if len(w.Attempts) == 0 || w.UnresponsiveSince == 0 {
		return false
	}
	// The first record lists every worker that was not heard yet: it separates
	// the leases of the former owner from those of this one.
	return !m.boundsStored || now-w.UnresponsiveSince >= silentSettle
}

// takeBounds returns the bounds record to store, or nil if the list has not
// changed.
func (m *Machine) takeBounds(now fleet.Instant) (record []byte, listed map[domain.WorkerID]bool, err error) {
	listed = map[domain.WorkerID]bool{}
	out := storedBounds{Token: int64(m.token)}
	changed := !m.boundsStored
	for _, w := range m.fleet.All() {
		if !m.unleased(w, now) {
			changed = changed || m.bounded[w.ID]
			continue
		}
		changed = changed || !m.bounded[w.ID]
		listed[w.ID] = true
		out.Workers = append(out.Workers, storedBound{
			ID: w.ID, Address: w.Address, LeftMS: max(0, w.Lease.Remaining(now)).Milliseconds() + 1,
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

// boundsTaken bars the listed workers from leases while the record is stored.
func (m *Machine) boundsTaken(listed map[domain.WorkerID]bool) {
	for id := range listed {
		if w := m.fleet.Worker(id); w != nil {
			w.LeaseSuspended = true
		}
	}
}

// boundsInForce takes note that a bounds record is stored.
func (m *Machine) boundsInForce(listed map[domain.WorkerID]bool, now fleet.Instant) {
	m.boundsStored = true
	m.bounded = listed
	for _, w := range m.fleet.All() {
		if w.LeaseSuspended && !listed[w.ID] {
			w.LeaseSuspended = false
			m.planWanted = true
		}
		if c := m.contacts[w.ID]; c != nil && !w.LeaseSuspended && len(w.Attempts) > 0 {
			c.nextHold = now
		}
	}
}

// restoreBounds sets until when the runs of the former owners can last. If the
// bounds record cannot be read, the longest lease counts for all workers.
func (m *Machine) restoreBounds(f Former, now fleet.Instant) error {
	var stored storedBounds
	var err error
	if f.Bounds != nil {
		if err = cbor.Unmarshal(f.Bounds, &stored); err != nil {
			stored, err = storedBounds{}, fmt.Errorf("decode lease bounds: %w", err)
		}
	}
	last := f.SeenAt + m.settings.Offline
	if f.Dead && stored.Token == int64(f.Token) {
		// It gave its last lease before now, and the list has those of earlier
		// owners.
		last = min(last, now)
	}
	for _, w := range m.fleet.All() {
		w.Lease.ExtendLatestEnd(last + m.longestLease())
	}
	for _, b := range stored.Workers {
		w := m.fleet.Ensure(b.ID)
		w.Address = b.Address
		w.LeaseSuspended = true
		w.Lease.SetLatestEnd(f.BoundsAt + time.Duration(b.LeftMS)*time.Millisecond)
		m.bounded[b.ID] = true
		m.contact(w, now)
	}
	return err
}

// longestLease is how long a lease that a former owner gave can last on a slow
// clock, with a margin for the time between the order's issue and its clock
// reading.
func (m *Machine) longestLease() time.Duration {
	return time.Duration(float64(m.settings.Lease)*slowClock) + inheritedMargin
}

// slowClock is the factor by which a lease lasts longer on the slowest clock.
const slowClock = 1.03
