package scheduler

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
)

// Record is a state record of one job.
type Record struct {
	Job job.ID
	// Part is ledger.MainPart or the number of a part of the job's state.
	Part  int
	State []byte
}

// modelStoreInterval is the shortest time between two records of the sharing model.
const modelStoreInterval = 4 * time.Second

// Batch holds the records of one append, and the actions that are allowed once they
// are stored.
type Batch struct {
	Records []Record
	// SharingModel is the encoded sharing model; nil if it was stored recently.
	SharingModel []byte
	// LeaseBounds is the lease bounds record; nil if the stored record of this
	// owner says as much. bounds is its content.
	LeaseBounds []byte
	bounds      *leaseBounds
	entries     []*ledger.Entry
	starts      []unsentStart
	completions []processedCompletions
	ends        []unstoredEnd
}

// processedCompletions identifies the completions of one incarnation of a worker
// that a batch stores: those up to lastNumber.
type processedCompletions struct {
	worker      domain.WorkerID
	incarnation int64
	lastNumber  int64
}

// TakeBatch returns the records to store, or nil if there is nothing to store or an
// append is unresolved. The driver reports the outcome with Stored or NotStored.
func (s *Scheduler) TakeBatch(now fleet.Instant) (*Batch, error) {
	if s.unresolvedBatch != nil {
		return nil, nil
	}
	s.retryHeldJobs(now)
	record, bounds, err := s.encodeLeaseBounds(now)
	if err != nil {
		return nil, err
	}
	if record == nil && !s.ledger.HasChanges() && !s.hasUnstoredCompletions && len(s.unsentStarts) == 0 {
		return nil, nil
	}
	s.suspendLeases(bounds)
	b := &Batch{entries: s.takeChangedJobs(), starts: s.unsentStarts, ends: s.takeUnstoredEnds(), LeaseBounds: record, bounds: bounds}
	for _, e := range b.entries {
		records, err := e.TakeStateRecords()
		if err != nil {
			return nil, fmt.Errorf("encode state records: %w", err)
		}
		for _, r := range records {
			b.Records = append(b.Records, Record{Job: e.Job.ID, Part: r.Part, State: r.Value})
		}
	}
	for _, w := range s.fleet.All() {
		if w.LastRead != w.Stored {
			b.completions = append(b.completions, processedCompletions{worker: w.ID, incarnation: w.IncarnationID, lastNumber: w.LastRead})
		}
	}
	if now-s.modelStoredAt >= modelStoreInterval {
		learned, err := s.sharing.Encode()
		if err != nil {
			return nil, err
		}
		b.SharingModel, s.modelStoredAt = learned, now
	}
	s.unsentStarts, s.hasUnstoredCompletions = nil, false
	s.unresolvedBatch = b
	return b, nil
}

// Stored records that a batch, whose append was sent at the given time, is stored.
// Its start requests are sent, and the workers may forget its completions.
func (s *Scheduler) Stored(b *Batch, sent, now fleet.Instant) {
	if s.unresolvedBatch != b {
		return
	}
	s.unresolvedBatch = nil
	s.lastStoreAck, s.lastState = max(s.lastStoreAck, sent), max(s.lastState, sent)
	if b.LeaseBounds != nil {
		s.applyLeaseBounds(b.bounds, now)
	}
	s.endHolds(b.entries)
	s.dropFinishedJobs(b.entries)
	for _, processed := range b.completions {
		w := s.fleet.Worker(processed.worker)
		if w == nil || w.IncarnationID != processed.incarnation {
			continue
		}
		w.Stored = s.lastStorableEnd(w, processed.lastNumber)
		if hb := s.heartbeats[w.ID]; hb != nil {
			hb.next = now
		}
	}
	s.releaseOverLimit(b.starts, now)
	for _, start := range b.starts {
		if b.bounds != nil && b.LeaseBounds == nil {
			s.releaseAttempt(start.worker, start.attempt, "the store refuses the lease bounds", now)
			continue
		}
		s.sendStart(start, now)
	}
}

// dropFinishedJobs drops closed jobs without placed tasks, whose states are stored,
// from the job table and remembers their states.
func (s *Scheduler) dropFinishedJobs(entries []*ledger.Entry) {
	for _, e := range entries {
		id := e.Job.ID
		if e.IsClosed() && e.PlacedCount() == 0 && s.ledger.Entry(id) == e && !s.ledger.IsChanged(id) {
			s.ledger.Drop(id)
			delete(s.accepted, id)
			delete(s.wasDeferred, id)
			s.finished[id] = e.State()
		}
	}
}

// RecordRenewal records that the store has acknowledged a renewal of the owner's
// claim that was sent at the given time.
func (s *Scheduler) RecordRenewal(sent fleet.Instant) {
	s.lastStoreAck, s.lastRenewal = max(s.lastStoreAck, sent), max(s.lastRenewal, sent)
}

// RecordPulse records that the store has acknowledged a pulse that was sent at the given
// time.
func (s *Scheduler) RecordPulse(sent fleet.Instant) { s.lastPulse = max(s.lastPulse, sent) }

// NotStored records that a batch is known not to be stored. The next batch contains
// its job records, placements, completions and lease bounds. The sharing model
// follows after modelStoreInterval.
func (s *Scheduler) NotStored(b *Batch) {
	if s.unresolvedBatch != b {
		return
	}
	s.unresolvedBatch = nil
	for _, e := range b.entries {
		s.ledger.MarkChanged(e)
	}
	s.markUnstored(b.Records)
	s.unsentStarts = append(b.starts, s.unsentStarts...)
	s.unstoredEnds = append(b.ends, s.unstoredEnds...)
	s.hasUnstoredCompletions = s.hasUnstoredCompletions || len(b.completions) > 0
}

// markUnstored records that state records of a batch are not stored.
func (s *Scheduler) markUnstored(records []Record) {
	for _, r := range records {
		if e := s.ledger.Entry(r.Job); e != nil {
			e.MarkUnstored(r.Part)
		}
	}
}
