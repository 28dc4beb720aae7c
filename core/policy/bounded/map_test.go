package bounded

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against growth beyond the limit and against dropping an entry that was
// used recently.
func TestDropsLeastRecentlyUsed(t *testing.T) {
	m := New[int, string](2)
	m.Put(1, "one")
	m.Put(2, "two")
	_, ok := m.Get(1)
	assert.Assert(t, ok)
	m.Put(3, "three")
	assert.Equal(t, m.Len(), 2)
	_, ok = m.Get(2)
	assert.Assert(t, !ok)
	got, ok := m.Get(1)
	assert.Assert(t, ok)
	assert.Equal(t, got, "one")
}
