package scheduler

import (
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

// closedJob is a job in a final state.
type closedJob struct {
	id       job.ID
	closedAt fleet.Instant
}

// maxExpiredBatch is the maximum number of jobs that one call of RemoveExpiredJobs
// removes.
const maxExpiredBatch = 100

// RemoveExpiredJobs removes the jobs whose retention time has passed and returns
// them, so that the driver drops their records. It keeps a job with an attempt
// that may still be running, and the jobs that closed after it. If the records are
// not dropped, the next owner finds the jobs and drops them.
func (s *Scheduler) RemoveExpiredJobs(now fleet.Instant) []job.ID {
	var out []job.ID
	for len(s.closed) > 0 && len(out) < maxExpiredBatch && now-s.closed[0].closedAt >= s.settings.Retention {
		first := s.closed[0]
		if e := s.ledger.Entry(first.id); e != nil && e.PlacedCount() > 0 {
			break
		}
		s.closed = s.closed[1:]
		s.ledger.Drop(first.id)
		delete(s.accepted, first.id)
		delete(s.wasDeferred, first.id)
		delete(s.finished, first.id)
		s.dropHold(first.id)
		out = append(out, first.id)
	}
	return out
}
