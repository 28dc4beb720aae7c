package fleet

import "time"

// Instant is a time on the node's steady clock, counted from the start of the
// process. It includes the time that the machine was suspended, because the
// leases of workers go on meanwhile.
type Instant = time.Duration

// slowestClockRate is the rate of the slowest worker clock: the platform's workers
// are at most 2% slow.
const slowestClockRate = 0.98

// clockReading is one reading of a worker's clock.
type clockReading struct {
	worker time.Duration
	// at is when the answer with the reading arrived, so the worker's clock has
	// shown at least this much ever since.
	at Instant
}

// Lease tracks until when a worker may go on executing what it was given.
type Lease struct {
	reading clockReading
	known   bool
	// latestEnd is the latest time at which the lease can end.
	latestEnd Instant
}

// ObserveClock takes note of a clock reading in an answer that arrived at now.
func (l *Lease) ObserveClock(clock time.Duration, now Instant) {
	if l.known && clock < l.reading.worker {
		// Answers on different connections overtake each other; the newest
		// reading gives the tightest bound.
		return
	}
	l.reading, l.known = clockReading{worker: clock, at: now}, true
}

// Until returns a time on the worker's clock that is about length after now,
// and takes note that the lease can last until then. It returns zero if the
// worker's clock is not known yet.
func (l *Lease) Until(length time.Duration, now Instant) time.Duration {
	if !l.known {
		return 0
	}
	until := l.reading.worker + (now - l.reading.at) + length
	needed := time.Duration(float64(until-l.reading.worker) / slowestClockRate)
	l.latestEnd = max(l.latestEnd, l.reading.at+needed)
	return until
}

// ExtendLatestEnd takes note that the lease can last until at least the given time.
func (l *Lease) ExtendLatestEnd(latestEnd Instant) { l.latestEnd = max(l.latestEnd, latestEnd) }

// SetLatestEnd takes note that the lease ends at the given time at the latest.
func (l *Lease) SetLatestEnd(latestEnd Instant) { l.latestEnd = latestEnd }

// Remaining returns how long the lease can still last; negative if it is over.
func (l *Lease) Remaining(now Instant) time.Duration { return l.latestEnd - now }

// IsExpired reports whether the lease has surely ended.
func (l *Lease) IsExpired(now Instant) bool { return now > l.latestEnd }

// ResetClock forgets the clock of a former life of the worker.
func (l *Lease) ResetClock() { l.reading, l.known = clockReading{}, false }
