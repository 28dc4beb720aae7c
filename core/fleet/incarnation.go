package fleet

import "time"

// Incarnation is what is known about the current incarnation of a worker, which is
// the process that runs under the worker's ID. Numbers, clock readings and
// confirmations of one incarnation mean nothing for the next one, so a new
// incarnation starts from the zero value.
type Incarnation struct {
	// IncarnationID identifies the incarnation: the time at which its process started, in
	// Unix milliseconds; 0 if no heartbeat has been answered.
	IncarnationID int64
	// HeartbeatAnswered is true if the incarnation has answered a heartbeat with the
	// current fencing token.
	HeartbeatAnswered bool
	// HeartbeatAddress is where the incarnation answered its first heartbeat.
	HeartbeatAddress string
	// LeavesAt is when the incarnation is going to leave; 0 if it has not
	// announced that.
	LeavesAt Instant
	Lease    Lease
	// AliveAt is when the last heartbeat that the incarnation has answered was issued.
	AliveAt Instant
	// LastRead is the number of the last completion that was read, Stored that of
	// the last one whose effect is stored, and Forgotten that of the last one that
	// the worker has been told to forget.
	LastRead, Stored, Forgotten int64
	// AvoidUntil is until when the incarnation gets no new attempts, for example
	// after it refused one.
	AvoidUntil Instant
	// SuspectUntil is until when the incarnation is the last resort for new attempts, after
	// one of its attempts was given up as a straggler. It runs only what no other worker can.
	SuspectUntil Instant
	// Health rates how attempts finish on the incarnation.
	Health Health
	// BestEffortFinishedAt is when a best-effort attempt last finished. Its CPU use
	// still affects the tail latencies of the last half second although it is no
	// longer in Attempts.
	BestEffortFinishedAt Instant
}

// BeginIncarnation records that an incarnation has answered its first heartbeat at
// the address.
func (w *Worker) BeginIncarnation(id int64, address string) {
	w.IncarnationID, w.HeartbeatAnswered, w.HeartbeatAddress = id, true, address
}

// EndIncarnation records that the current incarnation no longer runs. The worker's
// attempts stay, and so does the latest time at which their lease can expire.
func (w *Worker) EndIncarnation() {
	w.FormerIncarnationID = w.IncarnationID
	w.Incarnation = Incarnation{Lease: Lease{latestEnd: w.Lease.latestEnd, laterEnd: w.Lease.laterEnd, basis: w.Lease.basis}}
}

// MatchesRegistry reports whether the registry entry describes the incarnation that
// answers. Address, capacity and labels may differ between incarnations.
func (w *Worker) MatchesRegistry() bool {
	return w.StartedUnixMS == w.IncarnationID
}

// HasUnlistedAttempts reports whether the worker has an attempt that a later incarnation
// than the current one may have started and finished: a start request that was carried
// out or given up, whose attempt the current one has not listed. A request without an
// answer counts once a heartbeat has failed or the answer is late.
func (w *Worker) HasUnlistedAttempts(now Instant) bool {
	for _, r := range w.Attempts {
		switch {
		case r.Listed, r.ClockMatches, r.Phase == AttemptUnsent, r.Phase == AttemptSent && w.MissedHeartbeats == 0 && now-r.SentAt < MaxAnswerTime:
		default:
			return true
		}
	}
	return false
}

// MayRun reports whether the attempt can still be running under a lease of the worker.
func (w *Worker) MayRun(r *Attempt, now Instant) bool {
	return !w.Lease.IsExpired(now) || (w.mayRunLater(r) && now <= w.Lease.laterEnd)
}

// mayRunLater reports whether a later incarnation than the current one may run the attempt.
func (w *Worker) mayRunLater(r *Attempt) bool { return r.MayRunLater && !r.Listed }

// LaterLeaseRemaining returns how long the attempt can still be running under the lease of
// a later incarnation; negative or 0 if it cannot.
func (w *Worker) LaterLeaseRemaining(r *Attempt, now Instant) time.Duration {
	if !w.mayRunLater(r) {
		return 0
	}
	return w.Lease.laterEnd - now
}

// MaxAnswerTime is the longest time in which a worker answers a start request, unless the
// request or its answer is lost or delayed. No attempt starts and finishes within it.
const MaxAnswerTime = 200 * time.Millisecond
