package sharing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stored model that ends the process of each new owner, and against
// numbers that make every forecast useless.
func FuzzStoredModel(f *testing.F) {
	m, _ := trainedModel()
	record, err := m.Encode()
	assert.NilError(f, err)
	f.Add(record)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, record []byte) {
		m, err := Decode(record)
		if err != nil {
			return
		}
		now := time.Minute
		serving, tasks := []ServingTask{servingAt(0, 0.4)}, []BestEffortTask{bestEffort("noisy", 100)}
		m.AddSample(now, serving, tasks, time.Second)
		m.Adjustments(now, serving, tasks)
		speed := m.Headroom(now, serving, tasks).ExpectedSpeed(bestEffort("quiet", 100))
		assert.Assert(t, speed <= 1, "%f", speed)
	})
}
