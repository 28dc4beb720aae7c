package quantile

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against estimates below the exact quantile or more than 5% above it.
func TestRelativeErrorIsAtMost5Percent(t *testing.T) {
	var s Sketch
	assert.Equal(t, s.Quantile(0.95), int64(0))
	for v := int64(1); v <= 1000; v++ {
		s.Add(v * 100)
	}
	for _, q := range []float64{0.1, 0.5, 0.95, 1} {
		exact := q * 100_000
		got := float64(s.Quantile(q))
		assert.Assert(t, got >= exact*0.999 && got <= exact*1.051, "q=%v got %v", q, got)
	}
}

// Guards against large old samples that keep the estimate high forever.
func TestOldSamplesLoseInfluence(t *testing.T) {
	var s Sketch
	for range 2000 {
		s.Add(1_000_000)
	}
	for range 20_000 {
		s.Add(100)
	}
	assert.Assert(t, s.Quantile(0.99) < 110)
}
