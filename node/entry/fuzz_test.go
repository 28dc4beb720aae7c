package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a settings file that ends the process with a panic instead of an error,
// and against accepted settings that cannot be used.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{ // a comment
		"node": {"name": "n1", "failure_domain": "north"}, "listen": {"requests": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
		"store": {"address": "127.0.0.1:3"}}`))
	f.Add([]byte(`{"machine": {"cpu_share": -1e300, "memory_mb": 1e300}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := parseSettings(data)
		if err != nil {
			return
		}
		assert.Assert(t, s.Grace() > 0 && s.Retention() > 0)
		assert.Assert(t, claimDelay(s) >= 0)
	})
}
