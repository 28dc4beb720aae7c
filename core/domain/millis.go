package domain

import (
	"math"
	"time"
)

// MaxMillis is the largest number of milliseconds that is accepted from others,
// about 31 years. Sums of a few such durations do not overflow.
const MaxMillis = 1e12

// MillisInRange reports whether a number of milliseconds can be used: at least 0,
// at most MaxMillis, and not NaN.
func MillisInRange(ms float64) bool { return ms >= 0 && ms <= MaxMillis }

// MillisDuration returns a number of milliseconds as a time.Duration. It limits the
// number to 0..MaxMillis first, and NaN to 0: the conversion of a float64 that does
// not fit into an integer gives different results on different processors.
func MillisDuration(ms float64) time.Duration {
	if math.IsNaN(ms) {
		return 0
	}
	return time.Duration(min(max(ms, 0), MaxMillis) * float64(time.Millisecond))
}
