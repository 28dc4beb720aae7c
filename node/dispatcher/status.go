package dispatcher

import (
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
)

// statusQueue collects the status records of jobs whose stored state has changed. A
// status is queued only after the state that it is taken from is stored: a job must
// not be shown as completed while another owner could run it again.
type statusQueue struct {
	// queued is the newest status of each job that was queued in this term.
	queued map[job.ID]ledger.Summary
	// pending holds the records that were not taken yet, by job.
	pending map[job.ID]platform.KeyedRecord
	urgent  bool
}

func newStatusQueue() statusQueue {
	return statusQueue{queued: map[job.ID]ledger.Summary{}, pending: map[job.ID]platform.KeyedRecord{}}
}

// addStates queues the statuses of stored state records that clients see differently.
func (q *statusQueue) addStates(states []scheduler.Record) {
	for _, r := range states {
		if r.Part != ledger.MainPart {
			continue
		}
		summary, err := ledger.DecodeSummary(r.State)
		if err != nil {
			continue // The scheduler has just encoded the record.
		}
		before, ok := q.queued[r.Job]
		if !ok {
			before = ledger.Summary{State: job.StatePending}
		}
		if jobview.ChangesForClients(before, summary) {
			q.add(r.Job, summary)
		}
	}
}

// addBegun queues the statuses of jobs of which the first task has begun.
func (q *statusQueue) addBegun(ids []job.ID) {
	for _, id := range ids {
		q.add(id, ledger.Summary{State: job.StateActive, Started: true, Placed: true})
	}
}

func (q *statusQueue) add(id job.ID, summary ledger.Summary) {
	q.queued[id] = summary
	q.pending[id] = platform.KeyedRecord{Key: jobview.Key(jobview.KindStatus, id), Value: summary.Record()}
	q.urgent = q.urgent || summary.State.IsFinal()
}

// addAll queues records that a previous owner has not stored.
func (q *statusQueue) addAll(records []platform.KeyedRecord) {
	for _, r := range records {
		_, id, ok := jobview.ParseKey(r.Key)
		if !ok {
			continue
		}
		q.pending[id], q.urgent = r, true
	}
}

// isUrgent reports whether a job has reached a final state. Its client waits for that,
// while the other statuses can wait for the next renewal.
func (q *statusQueue) isUrgent() bool { return q.urgent }

// maxTakenStatuses bounds the statuses of one append: a new owner may have those of all
// jobs to write.
const maxTakenStatuses = 10_000

// take returns and removes queued records, at most maxTakenStatuses. They must be appended
// until the store confirms them.
func (q *statusQueue) take() []platform.KeyedRecord {
	out := make([]platform.KeyedRecord, 0, min(maxTakenStatuses, len(q.pending)))
	for id, r := range q.pending {
		if len(out) == maxTakenStatuses {
			return out
		}
		out = append(out, r)
		delete(q.pending, id)
	}
	q.urgent = false
	return out
}

// forget drops what is known about a removed job.
func (q *statusQueue) forget(id job.ID) {
	delete(q.queued, id)
	delete(q.pending, id)
}
