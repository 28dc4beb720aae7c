package scheduler

import (
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
)

// holdRetryInterval is the time after which the state of a held job is stored again. It
// may have become small enough since.
const holdRetryInterval = 5 * time.Second

// heldJob is a job whose state the store refuses for good, or whose records this owner
// cannot decode. Nothing of it is started, and the workers keep its completions, until its
// state has been stored, or for a later owner that can decode it.
type heldJob struct {
	// unreadable is true if the records cannot be decoded.
	unreadable bool
	retryAt    fleet.Instant
	// retrying is true while the state is part of the batch that is taken.
	retrying bool
	// ends are the first completions that the workers must keep, by worker.
	ends map[domain.WorkerID]unstoredEnd
}

func (h *heldJob) keep(end unstoredEnd) {
	first, ok := h.ends[end.worker]
	if !ok || first.incarnation != end.incarnation || end.number < first.number {
		h.ends[end.worker] = end
	}
}

// holdUnreadable holds the jobs whose records this owner cannot decode.
func (s *Scheduler) holdUnreadable(ids []job.ID) {
	for _, id := range ids {
		s.held[id] = &heldJob{unreadable: true, ends: map[domain.WorkerID]unstoredEnd{}}
		s.Counters.Held++
		s.recordDecision(Decision{Action: "hold job", Job: id, Reason: "its records cannot be decoded"})
	}
}

// isUnreadable reports whether this owner cannot decode the records of a job.
func (s *Scheduler) isUnreadable(id job.ID) bool {
	h := s.held[id]
	return h != nil && h.unreadable
}

// unstoredEnd identifies a completion that a worker must not forget yet.
type unstoredEnd struct {
	job         job.ID
	worker      domain.WorkerID
	incarnation int64
	number      int64
}

// Hold records that the store refuses the state of a job in a batch that is being stored
// without it. The driver calls Stored for the rest of the batch afterwards.
func (s *Scheduler) Hold(b *Batch, id job.ID, reason error, now fleet.Instant) {
	if s.unresolvedBatch != b {
		return
	}
	h := s.held[id]
	if h == nil {
		h = &heldJob{ends: map[domain.WorkerID]unstoredEnd{}}
		s.held[id] = h
	}
	h.retryAt = now + holdRetryInterval
	b.entries = slices.DeleteFunc(b.entries, func(e *ledger.Entry) bool { return e.Job.ID == id })
	b.Records = slices.DeleteFunc(b.Records, func(r Record) bool {
		if r.Job == id {
			s.markUnstored([]Record{r})
		}
		return r.Job == id
	})
	b.ends = slices.DeleteFunc(b.ends, func(end unstoredEnd) bool {
		if end.job == id {
			h.keep(end)
		}
		return end.job == id
	})
	b.starts = s.releaseStarts(b.starts, id, now)
	s.unsentStarts = s.releaseStarts(s.unsentStarts, id, now)
	s.Counters.Held++
	s.recordDecision(Decision{Action: "hold job", Job: id, Reason: reason.Error(), Age: holdRetryInterval})
}

// releaseStarts releases the attempts of a job whose start was not sent, and returns the
// starts of the other jobs.
func (s *Scheduler) releaseStarts(starts []unsentStart, id job.ID, now fleet.Instant) []unsentStart {
	return slices.DeleteFunc(starts, func(start unsentStart) bool {
		if start.attempt.ID.Job != id {
			return false
		}
		if start.worker.Attempts[start.attempt.ID] == start.attempt {
			s.releaseAttempt(start.worker, start.attempt, "the store refuses the state of the job", now)
		}
		return true
	})
}

// IsHeld reports whether the store refuses the state of a job.
func (s *Scheduler) IsHeld(id job.ID) bool { return s.held[id] != nil }

// HeldCount returns the number of jobs whose state the store refuses, or which this owner
// cannot decode.
func (s *Scheduler) HeldCount() int { return len(s.held) }

// retryHeldJobs schedules the states of held jobs to be stored again when that is due.
func (s *Scheduler) retryHeldJobs(now fleet.Instant) {
	for id, h := range s.held {
		if h.retrying = now >= h.retryAt; !h.retrying {
			continue
		}
		h.retryAt = now + holdRetryInterval
		if e := s.ledger.Entry(id); e != nil {
			s.ledger.MarkChanged(e)
		}
	}
}

// takeChangedJobs returns the jobs whose state has to be stored, without the held ones
// whose turn has not come.
func (s *Scheduler) takeChangedJobs() []*ledger.Entry {
	return slices.DeleteFunc(s.ledger.TakeChanged(), func(e *ledger.Entry) bool {
		h := s.held[e.Job.ID]
		return h != nil && !h.retrying
	})
}

// takeUnstoredEnds returns the completions that the next batch stores.
func (s *Scheduler) takeUnstoredEnds() []unstoredEnd {
	taken := s.unstoredEnds
	s.unstoredEnds = nil
	if len(s.held) == 0 {
		return taken
	}
	return slices.DeleteFunc(taken, func(end unstoredEnd) bool {
		h := s.held[end.job]
		if h == nil || h.retrying {
			return false
		}
		h.keep(end)
		return true
	})
}

// endHolds ends the holds of jobs whose state is stored.
func (s *Scheduler) endHolds(stored []*ledger.Entry) {
	if len(s.held) == 0 {
		return
	}
	for _, e := range stored {
		if s.held[e.Job.ID] != nil {
			s.dropHold(e.Job.ID)
			s.recordDecision(Decision{Action: "resume job", Job: e.Job.ID, Reason: "its state is stored"})
		}
	}
}

// dropHold ends the hold of a job, if there is one.
func (s *Scheduler) dropHold(id job.ID) {
	if s.held[id] == nil {
		return
	}
	delete(s.held, id)
	s.needsPlan, s.hasUnstoredCompletions = true, true
}

// lastStorableEnd returns the number up to which a worker may forget its completions, if
// all up to the given one are stored but those of held jobs.
func (s *Scheduler) lastStorableEnd(w *fleet.Worker, stored int64) int64 {
	for _, h := range s.held {
		if end, ok := h.ends[w.ID]; ok && end.incarnation == w.IncarnationID {
			stored = min(stored, end.number-1)
		}
	}
	return stored
}
