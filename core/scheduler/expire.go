package scheduler

import (
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

// closedJob is a job that is over.
type closedJob struct {
	id       job.ID
	closedAt fleet.Instant
}

// maxExpiredBatch bounds the jobs that are dropped at once.
const maxExpiredBatch = 100

// RemoveExpiredJobs forgets the jobs that have been over for long and returns them, so
// that the driver drops their records. A job with a run that may still be
// executing stays. If the records are not dropped after all, the next owner
// finds the jobs and drops them.
func (m *Scheduler) RemoveExpiredJobs(now fleet.Instant) []job.ID {
	var out []job.ID
	for len(m.closed) > 0 && len(out) < maxExpiredBatch && now-m.closed[0].closedAt >= m.settings.Keep {
		first := m.closed[0]
		if e := m.ledger.Entry(first.id); e != nil && e.PlacedCount() > 0 {
			break
		}
		m.closed = m.closed[1:]
		m.ledger.Drop(first.id)
		delete(m.accepted, first.id)
		delete(m.finished, first.id)
		out = append(out, first.id)
	}
	return out
}
