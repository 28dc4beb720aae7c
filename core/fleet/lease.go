package fleet

import "time"

// Instant is a time on the node's monotonic clock, counted from the start of
// the process. It includes time during which the node was suspended, because
// worker leases keep running meanwhile.
type Instant = time.Duration

// slowestClockRate is the lowest rate of a worker's clock: the platform's
// workers are at most 2% slow.
const slowestClockRate = 0.98

// fastestClockRate is the highest rate of a worker's clock, with a margin for the
// difference between the node's clock and the true time.
const fastestClockRate = 1.01

// clockResolution is the resolution of the clock readings of workers.
const clockResolution = time.Millisecond

// LongestLease returns how long a lease can last that the worker limits to the
// given time on its own clock.
func LongestLease(limit time.Duration) time.Duration {
	return time.Duration(float64(limit) / slowestClockRate)
}

// LeaseBasis says what the latest end of a lease is computed from.
type LeaseBasis string

// Bases of the latest end of a lease.
const (
	// LeaseGranted: this owner granted the lease to the current incarnation.
	LeaseGranted LeaseBasis = "granted to this incarnation"
	// LeaseOfAnyCommand: a command that was meant for another incarnation, or of a
	// previous owner, may have granted the longest lease.
	LeaseOfAnyCommand LeaseBasis = "longest that a command to another incarnation grants"
	// LeaseOfPreviousOwner: a previous owner granted the lease.
	LeaseOfPreviousOwner LeaseBasis = "longest of the previous owners"
	// LeaseOfBoundsRecord: a previous owner has stored the end.
	LeaseOfBoundsRecord LeaseBasis = "lease bounds record"
)

// clockReading is one reading of a worker's clock.
type clockReading struct {
	worker time.Duration
	// at is when the reply with the reading arrived. The worker's clock has
	// shown at least this reading ever since. asked is when the command was issued that it
	// answers; the clock has shown the reading after that.
	asked, at Instant
}

// Lease tracks until when a worker may execute its attempts.
type Lease struct {
	reading clockReading
	known   bool
	// latestEnd is the latest time at which the lease can expire. laterEnd is the same
	// for a later incarnation that no answer and no registry entry has shown.
	latestEnd, laterEnd Instant
	// basis is what latestEnd is computed from.
	basis LeaseBasis
}

// ObserveClock records a clock reading from a reply that arrived at now, to a command that
// was issued at asked.
func (l *Lease) ObserveClock(clock time.Duration, asked, now Instant) {
	if l.known && clock < l.reading.worker {
		// Replies on different connections can arrive out of order. The newest
		// reading gives the tightest bound.
		return
	}
	l.reading, l.known = clockReading{worker: clock, asked: asked, at: now}, true
}

// Until returns the time on the worker's clock that is about length after now,
// and records that the lease can last until then. It returns zero while the
// worker's clock is unknown.
func (l *Lease) Until(length time.Duration, now Instant) time.Duration {
	if !l.known {
		return 0
	}
	until := l.reading.worker + (now - l.reading.at) + length
	needed := time.Duration(float64(until-l.reading.worker) / slowestClockRate)
	l.ExtendLatestEnd(l.reading.at+needed, LeaseGranted)
	return until
}

// EarliestClock returns the lowest value that the worker's clock can show at now; 0
// while its clock is unknown. A lower reading is from another incarnation.
func (l *Lease) EarliestClock(now Instant) time.Duration {
	if !l.known {
		return 0
	}
	return max(0, l.reading.worker+time.Duration(float64(now-l.reading.at)*slowestClockRate)-clockResolution)
}

// LatestClock returns the highest value that the worker's clock can show at now; 0 while
// its clock is unknown. A higher reading is from another incarnation.
func (l *Lease) LatestClock(now Instant) time.Duration {
	if !l.known {
		return 0
	}
	return l.reading.worker + time.Duration(float64(now-l.reading.asked)*fastestClockRate) + clockResolution
}

// maxInitialClock is higher than the clock of a worker shows when its process starts, by
// more than the time that an answer travels.
const maxInitialClock = 5 * time.Second

// ProvesIncarnation reports whether a clock reading that arrived at now, and was not
// lower than earliest, is not from an incarnation that started since the last reading with
// a clock near zero.
func (l *Lease) ProvesIncarnation(earliest time.Duration, now Instant) bool {
	return l.known && earliest > maxInitialClock+(now-l.reading.at)
}

// ExtendLatestEnd records that the lease can last at least until latestEnd.
func (l *Lease) ExtendLatestEnd(latestEnd Instant, basis LeaseBasis) {
	if latestEnd > l.latestEnd {
		l.latestEnd, l.basis = latestEnd, basis
	}
}

// LimitLatestEnd records that the lease expires at latestEnd at the latest, unless it is
// known to expire earlier.
func (l *Lease) LimitLatestEnd(latestEnd Instant, basis LeaseBasis) {
	if latestEnd < l.latestEnd {
		l.latestEnd, l.basis = latestEnd, basis
	}
}

// ExtendLaterEnd records that the lease of a later incarnation can last at least until
// laterEnd.
func (l *Lease) ExtendLaterEnd(laterEnd Instant) { l.laterEnd = max(l.laterEnd, laterEnd) }

// SetLatestEnd records that the lease expires at latestEnd at the latest.
func (l *Lease) SetLatestEnd(latestEnd Instant, basis LeaseBasis) {
	l.latestEnd, l.basis = latestEnd, basis
}

// LatestEnd returns the latest time at which the lease can expire.
func (l *Lease) LatestEnd() Instant { return l.latestEnd }

// Basis returns what the latest end of the lease is computed from.
func (l *Lease) Basis() LeaseBasis { return l.basis }

// Remaining returns how long the lease can still last; negative if it has
// expired.
func (l *Lease) Remaining(now Instant) time.Duration { return l.latestEnd - now }

// IsExpired reports whether the lease has certainly expired.
func (l *Lease) IsExpired(now Instant) bool { return now > l.latestEnd }
