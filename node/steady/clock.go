// Package steady provides a monotonic clock that includes the time in which the
// system was suspended.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its creation. Workers' leases continue to run while
// this system is suspended, so decisions about them must not use Go's monotonic
// clock, which stops during a suspension.
type Clock struct{ origin time.Duration }

// New returns a clock that starts now.
func New() *Clock { return &Clock{origin: boottime()} }

// Now returns the time since the clock's creation.
func (c *Clock) Now() time.Duration { return boottime() - c.origin }

func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock. Without it, it cannot be determined
		// whether a lease has expired.
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(ts.Nano())
}
