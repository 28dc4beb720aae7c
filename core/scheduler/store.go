package scheduler

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
)

// Record is one state record to store.
type Record struct {
	Job   job.ID
	State []byte
}

// learnedEvery is the time between two records of what was learned.
const learnedEvery = 4 * time.Second

// Batch is what one append stores, and what may be done once it is stored.
type Batch struct {
	Records []Record
	// Learned is what was learned of images that share workers; nil if it was
	// stored lately.
	Learned []byte
	// Bounds is the list of the workers that get no lease; nil if it has not
	// changed.
	Bounds  []byte
	bounded map[domain.WorkerID]bool
	entries []*ledger.Entry
	starts  []placed
	taken   []takenEnds
}

// takenEnds are the ends of one life of a worker that the batch stores.
type takenEnds struct {
	worker domain.WorkerID
	life   int64
	number int64
}

// TakeBatch returns the records to store, or nil if there is nothing to store
// or an append is under way. The driver answers with Stored or NotStored.
func (m *Machine) TakeBatch(now fleet.Instant) (*Batch, error) {
	if m.inFlight != nil {
		return nil, nil
	}
	bounds, bounded, err := m.takeBounds(now)
	if err != nil {
		return nil, err
	}
	if bounds == nil && !m.ledger.HasChanges() && !m.unstored && len(m.unsent) == 0 {
		return nil, nil
	}
	m.boundsTaken(bounded)
	b := &Batch{entries: m.ledger.TakeChanged(), starts: m.unsent, Bounds: bounds, bounded: bounded}
	for _, e := range b.entries {
		state, err := ledger.EncodeState(e)
		if err != nil {
			return nil, fmt.Errorf("make state records: %w", err)
		}
		b.Records = append(b.Records, Record{Job: e.Job.ID, State: state})
	}
	for _, w := range m.fleet.All() {
		if w.LastRead != w.Stored {
			b.taken = append(b.taken, takenEnds{worker: w.ID, life: w.Incarnation, number: w.LastRead})
		}
	}
	if now-m.learnedAt >= learnedEvery {
		learned, err := m.sharing.Encode()
		if err != nil {
			return nil, err
		}
		b.Learned, m.learnedAt = learned, now
	}
	m.unsent, m.unstored = nil, false
	m.inFlight = b
	return b, nil
}

// Stored takes note that the batch, whose append was sent at the given time, is
// stored: its starts may be sent, and the workers may forget its ends.
func (m *Machine) Stored(b *Batch, sent, now fleet.Instant) {
	if m.inFlight != b {
		return
	}
	m.inFlight = nil
	m.Renewed(sent)
	if b.Bounds != nil {
		m.boundsInForce(b.bounded, now)
	}
	m.dropOver(b.entries)
	for _, t := range b.taken {
		w := m.fleet.Worker(t.worker)
		if w == nil || w.Incarnation != t.life {
			continue
		}
		w.Stored = t.number
		if c := m.contacts[w.ID]; c != nil {
			c.nextHold = now
		}
	}
	for _, p := range b.starts {
		m.sendStart(p, now)
	}
}

// dropOver forgets the tasks of stored jobs for which nothing is left to do.
func (m *Machine) dropOver(entries []*ledger.Entry) {
	for _, e := range entries {
		id := e.Job.ID
		if e.IsClosed() && e.PlacedCount() == 0 && m.ledger.Entry(id) == e && !m.ledger.IsChanged(id) {
			m.ledger.Drop(id)
			delete(m.accepted, id)
			m.over[id] = e.State()
		}
	}
}

// Renewed takes note that the store has acknowledged a renewal of the claim
// that was sent at the given time.
func (m *Machine) Renewed(sent fleet.Instant) { m.storedAt = max(m.storedAt, sent) }

// NotStored takes note that the batch was surely not stored; its content is
// stored with the next batch.
func (m *Machine) NotStored(b *Batch) {
	if m.inFlight != b {
		return
	}
	m.inFlight = nil
	for _, e := range b.entries {
		m.ledger.MarkChanged(e)
	}
	m.unsent = append(b.starts, m.unsent...)
	m.unstored = m.unstored || len(b.taken) > 0
}
