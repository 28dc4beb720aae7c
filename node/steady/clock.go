// Package steady gives the time since the start of the process on a clock that
// never jumps and includes the time that the machine was suspended.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts from its creation. Leases of workers run on while this machine
// is suspended, so decisions about them must not use Go's monotonic clock,
// which stops meanwhile.
type Clock struct{ origin time.Duration }

// New returns a clock that starts now.
func New() *Clock { return &Clock{origin: boottime()} }

// Now returns the time since the clock's creation.
func (c *Clock) Now() time.Duration { return boottime() - c.origin }

func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; without it leases cannot be
		// judged at all.
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(ts.Nano())
}
