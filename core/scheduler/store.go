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

// modelStoreInterval is the time between two records of what was learned.
const modelStoreInterval = 4 * time.Second

// Batch is what one append stores, and what may be done once it is stored.
type Batch struct {
	Records []Record
	// SharingModel is what was learned of images that share workers; nil if it was
	// stored lately.
	SharingModel []byte
	// LeaseBounds is the list of the workers that get no lease; nil if it has not
	// changed.
	LeaseBounds    []byte
	boundedWorkers map[domain.WorkerID]bool
	entries        []*ledger.Entry
	starts         []unsentStart
	completions    []processedCompletions
}

// processedCompletions are the ends of one life of a worker that the batch stores.
type processedCompletions struct {
	worker      domain.WorkerID
	incarnation int64
	lastNumber  int64
}

// TakeBatch returns the records to store, or nil if there is nothing to store
// or an append is under way. The driver answers with Stored or NotStored.
func (m *Scheduler) TakeBatch(now fleet.Instant) (*Batch, error) {
	if m.unresolvedBatch != nil {
		return nil, nil
	}
	bounds, boundedWorkers, err := m.encodeLeaseBounds(now)
	if err != nil {
		return nil, err
	}
	if bounds == nil && !m.ledger.HasChanges() && !m.hasUnstoredCompletions && len(m.unsentStarts) == 0 {
		return nil, nil
	}
	m.barWorkers(boundedWorkers)
	b := &Batch{entries: m.ledger.TakeChanged(), starts: m.unsentStarts, LeaseBounds: bounds, boundedWorkers: boundedWorkers}
	for _, e := range b.entries {
		state, err := ledger.EncodeState(e)
		if err != nil {
			return nil, fmt.Errorf("make state records: %w", err)
		}
		b.Records = append(b.Records, Record{Job: e.Job.ID, State: state})
	}
	for _, w := range m.fleet.All() {
		if w.LastRead != w.Stored {
			b.completions = append(b.completions, processedCompletions{worker: w.ID, incarnation: w.Incarnation, lastNumber: w.LastRead})
		}
	}
	if now-m.modelStoredAt >= modelStoreInterval {
		learned, err := m.sharing.Encode()
		if err != nil {
			return nil, err
		}
		b.SharingModel, m.modelStoredAt = learned, now
	}
	m.unsentStarts, m.hasUnstoredCompletions = nil, false
	m.unresolvedBatch = b
	return b, nil
}

// Stored takes note that the batch, whose append was sent at the given time, is
// stored: its starts may be sent, and the workers may forget its ends.
func (m *Scheduler) Stored(b *Batch, sent, now fleet.Instant) {
	if m.unresolvedBatch != b {
		return
	}
	m.unresolvedBatch = nil
	m.RecordRenewal(sent)
	if b.LeaseBounds != nil {
		m.applyLeaseBounds(b.boundedWorkers, now)
	}
	m.dropFinishedJobs(b.entries)
	for _, t := range b.completions {
		w := m.fleet.Worker(t.worker)
		if w == nil || w.Incarnation != t.incarnation {
			continue
		}
		w.Stored = t.lastNumber
		if c := m.heartbeats[w.ID]; c != nil {
			c.next = now
		}
	}
	for _, p := range b.starts {
		m.sendStart(p, now)
	}
}

// dropFinishedJobs forgets the tasks of stored jobs for which nothing is left to do.
func (m *Scheduler) dropFinishedJobs(entries []*ledger.Entry) {
	for _, e := range entries {
		id := e.Job.ID
		if e.IsClosed() && e.PlacedCount() == 0 && m.ledger.Entry(id) == e && !m.ledger.IsChanged(id) {
			m.ledger.Drop(id)
			delete(m.accepted, id)
			m.finished[id] = e.State()
		}
	}
}

// RecordRenewal takes note that the store has acknowledged a renewal of the claim
// that was sent at the given time.
func (m *Scheduler) RecordRenewal(sent fleet.Instant) { m.lastStoreAck = max(m.lastStoreAck, sent) }

// NotStored takes note that the batch was surely not stored; its content is
// stored with the next batch.
func (m *Scheduler) NotStored(b *Batch) {
	if m.unresolvedBatch != b {
		return
	}
	m.unresolvedBatch = nil
	for _, e := range b.entries {
		m.ledger.MarkChanged(e)
	}
	m.unsentStarts = append(b.starts, m.unsentStarts...)
	m.hasUnstoredCompletions = m.hasUnstoredCompletions || len(b.completions) > 0
}
