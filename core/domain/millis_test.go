package domain

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against durations that depend on the processor, or wrap to negative values,
// when another writer sends a number that is too large.
func TestMillisDurationIsLimited(t *testing.T) {
	for _, c := range []struct {
		ms   float64
		want time.Duration
	}{
		{1.5, 1500 * time.Microsecond},
		{0, 0},
		{-1, 0},
		{-1e300, 0},
		{1e300, MaxMillis * time.Millisecond},
		{math.Inf(1), MaxMillis * time.Millisecond},
		{math.Inf(-1), 0},
		{math.NaN(), 0},
	} {
		assert.Equal(t, MillisDuration(c.ms), c.want, "%g", c.ms)
		assert.Equal(t, MillisInRange(c.ms), c.ms >= 0 && c.ms < 1e300, "%g", c.ms)
	}
}
