package nearest

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against suggesting an unrelated field for a misspelt one.
func TestNameFindsMisspeltField(t *testing.T) {
	valid := []string{"cpu_milli", "memory_mib", "slots", "deadline_ms"}
	for got, want := range map[string]string{
		"cpu": "cpu_milli", "slot": "slots", "sltos": "slots", "Memory_MiB": "memory_mib", "dead_line": "deadline_ms",
	} {
		assert.Equal(t, Name(got, valid), want, got)
	}
	assert.Equal(t, Name("x", nil), "")
}
