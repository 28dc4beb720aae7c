package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/fleet"
)

// Before a planned change of owner, the owner finds out which workers still respond and
// stores the lease bounds of the others. The next owner would otherwise have to assume
// that their leases were renewed until the change, and for as long as an owner without
// the store renews leases.

const (
	// minHandOverWait is how long a worker may delay its heartbeat response while a
	// hand-over is being prepared. A worker that is lost meanwhile is noticed sooner.
	minHandOverWait = 250 * time.Millisecond
	// handOverWaitPerWorker limits the rate of the heartbeats in a large fleet.
	handOverWaitPerWorker = 2500 * time.Microsecond
	// handOverMargin is the time for the rest of a heartbeat.
	handOverMargin = 150 * time.Millisecond
)

// handOver is the preparation of a hand-over.
type handOver struct {
	since fleet.Instant
	// heartbeatWait is how long a worker may delay its heartbeat response.
	heartbeatWait time.Duration
	// sealed is true once no more leases are granted.
	sealed bool
}

// PrepareHandOver makes the scheduler store the lease bounds of each worker that misses
// a heartbeat, without delay. It goes on scheduling.
func (s *Scheduler) PrepareHandOver(now fleet.Instant) {
	wait := minHandOverWait
	for _, w := range s.fleet.All() {
		if len(w.Attempts) == 0 {
			continue
		}
		wait += handOverWaitPerWorker
		if hb := s.heartbeats[w.ID]; hb != nil {
			hb.next = min(hb.next, now)
		}
	}
	s.handOver = &handOver{since: now, heartbeatWait: min(wait, s.settings.HeartbeatWait)}
}

// IsReadyToHandOver reports whether each worker with attempts has responded since the
// preparation began, and just now, or is in the stored lease bounds record. It also
// returns how many are neither.
func (s *Scheduler) IsReadyToHandOver(now fleet.Instant) (ready bool, unknown int) {
	if s.handOver == nil {
		return false, 0
	}
	respondedAfter := max(s.handOver.since, now-s.handOver.heartbeatWait-handOverMargin)
	for _, w := range s.fleet.All() {
		if len(w.Attempts) > 0 && w.LastContact < respondedAfter && !s.storedBounds.suspended[w.ID] {
			unknown++
		}
	}
	return unknown == 0 && s.leaseBoundsStored, unknown
}

// SealLeases ends the starts and the grants of leases of this owner, which is about to
// release its claim: the next lease bounds record lists all workers with attempts. The next
// owner then knows when the lease of each ends, also of one that is lost before it answers
// the next owner.
func (s *Scheduler) SealLeases() {
	s.StopStarting()
	if s.handOver != nil {
		s.handOver.sealed = true
	}
}

// AreLeasesSealed reports whether the stored lease bounds record lists all workers with
// attempts.
func (s *Scheduler) AreLeasesSealed() bool {
	if s.handOver == nil || !s.handOver.sealed {
		return false
	}
	for _, w := range s.fleet.All() {
		if len(w.Attempts) > 0 && !s.storedBounds.suspended[w.ID] {
			return false
		}
	}
	return true
}

// LeaseWait is how long the attempts on workers that do not respond count as executing
// because of their leases.
type LeaseWait struct {
	// Bounded is the number of workers in the lease bounds record, and BoundedFor the
	// longest remaining time of their leases.
	Bounded    int
	BoundedFor time.Duration
	// Unbounded and UnboundedFor are the same for the other workers with attempts.
	Unbounded    int
	UnboundedFor time.Duration
	// Unsettled is the number of inherited attempts whose starts are not settled.
	Unsettled int
}

// LeaseWait returns how long the leases of the workers with attempts can still last.
func (s *Scheduler) LeaseWait(now fleet.Instant) LeaseWait {
	var out LeaseWait
	for _, w := range s.fleet.All() {
		for _, r := range w.Attempts {
			if r.Phase == fleet.AttemptInherited && r.MayRunLater {
				out.Unsettled++
			}
		}
		remaining := s.leaseRemaining(w, now)
		switch {
		case len(w.Attempts) == 0:
		case s.storedBounds.suspended[w.ID]:
			out.Bounded++
			out.BoundedFor = max(out.BoundedFor, remaining)
		default:
			out.Unbounded++
			out.UnboundedFor = max(out.UnboundedFor, remaining)
		}
	}
	return out
}
