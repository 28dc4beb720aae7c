package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against giving up a worker's attempts while its slow clock still
// grants the lease.
func TestLeaseLastsUntilTheSlowestClockPassesItsEnd(t *testing.T) {
	var l Lease
	l.ObserveClock(100*time.Second, 10*time.Second, 10*time.Second)
	until := l.Until(6*time.Second, 11*time.Second)
	assert.Equal(t, until, 107*time.Second)
	// The worker's clock has to advance 7 s from the reading, which takes up to
	// 7.143 s.
	assert.Assert(t, !l.IsExpired(17*time.Second+142*time.Millisecond))
	assert.Assert(t, l.IsExpired(17*time.Second+150*time.Millisecond))
}

// Guards against a looser bound from a reply that arrives out of order.
func TestOlderClockReadingIsIgnored(t *testing.T) {
	var l Lease
	l.ObserveClock(100*time.Second, 10*time.Second, 10*time.Second)
	l.ObserveClock(99*time.Second, 12*time.Second, 12*time.Second)
	assert.Equal(t, l.Until(time.Second, 10*time.Second), 101*time.Second)
}

// Guards against granting a lease before any clock reading: its end would be
// unknown.
func TestNoLeaseBeforeAClockReading(t *testing.T) {
	var l Lease
	assert.Equal(t, l.Until(time.Second, time.Second), time.Duration(0))
}

// Guards against taking the clock of an incarnation that has just started for a later
// reading of a young one.
func TestClockProvesOnlyAnOldIncarnation(t *testing.T) {
	var l Lease
	l.ObserveClock(time.Second, time.Minute, time.Minute)
	now := time.Minute + 500*time.Millisecond
	assert.Assert(t, !l.ProvesIncarnation(l.EarliestClock(now), now))
	l.ObserveClock(time.Hour, time.Minute, time.Minute)
	assert.Assert(t, l.ProvesIncarnation(l.EarliestClock(now), now))
	assert.Assert(t, !l.ProvesIncarnation(l.EarliestClock(now), now+time.Hour))
}
