package reservation

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

func size(cpu, memory int64) domain.Resources {
	return domain.Resources{CPUMilli: cpu, MemoryMiB: memory, Slots: 1}
}

// Guards against reservations below the declared size or the observed use, and
// against learning other dimensions than CPU and memory.
func TestEstimateIsAtLeastDeclaredAndObserved(t *testing.T) {
	l := New()
	declared := size(1000, 1000)
	assert.Equal(t, l.Estimate("c", declared, 0.95), declared)
	for range 100 {
		l.Observe("c", domain.Resources{CPUMilli: 4000, MemoryMiB: 200, Slots: 9, Connections: 9})
	}
	estimate := l.Estimate("c", declared, 0.95)
	assert.Assert(t, estimate.CPUMilli >= 4000 && estimate.CPUMilli <= 4200)
	assert.Equal(t, estimate.MemoryMiB, int64(1000))
	assert.Equal(t, estimate.Slots, int64(1))
	assert.Equal(t, estimate.Connections, int64(0))
}

// Guards against a reservation above the limit of the worker or, if the declared
// size exceeds that limit, below the declared size.
func TestClampStaysBetweenDeclaredAndLimit(t *testing.T) {
	for _, c := range []struct{ estimate, declared, size, want domain.Resources }{
		{size(8000, 100), size(1000, 100), size(4000, 100), size(4000, 100)},
		{size(8000, 900), size(1000, 100), size(9000, 500), size(8000, 500)},
		{size(8000, 100), size(6000, 100), size(4000, 100), size(6000, 100)},
	} {
		assert.Equal(t, Clamp(c.estimate, c.declared, c.size), c.want)
	}
}

// Guards against memory use that grows with the number of class names.
func TestClassesAreBounded(t *testing.T) {
	l := New()
	for i := range 3 * maxClasses {
		l.Observe(domain.Class(fmt.Sprint("c", i)), size(1, 1))
	}
	assert.Equal(t, l.classes.Len(), maxClasses)
}
