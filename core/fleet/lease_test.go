package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against giving work of a worker up while its slow clock still grants
// the lease.
func TestLeaseEndsByTheSlowestClock(t *testing.T) {
	var l Lease
	l.ObserveClock(100*time.Second, 10*time.Second)
	until := l.Until(6*time.Second, 11*time.Second)
	assert.Equal(t, until, 107*time.Second)
	// The worker's clock needs 7 s from the reading, which take up to 7.143 s.
	assert.Assert(t, !l.IsExpired(17*time.Second+142*time.Millisecond))
	assert.Assert(t, l.IsExpired(17*time.Second+150*time.Millisecond))
}

// Guards against a looser bound from an answer that was overtaken.
func TestOlderClockReadingChangesNothing(t *testing.T) {
	var l Lease
	l.ObserveClock(100*time.Second, 10*time.Second)
	l.ObserveClock(99*time.Second, 12*time.Second)
	assert.Equal(t, l.Until(time.Second, 10*time.Second), 101*time.Second)
}

// Guards against a lease before any clock reading: its end would be unknown.
func TestNoLeaseBeforeTheClockIsKnown(t *testing.T) {
	var l Lease
	assert.Equal(t, l.Until(time.Second, time.Second), time.Duration(0))
}
