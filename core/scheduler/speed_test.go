package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// A new owner reaches a worker of the lease bounds record before it has read its registry
// entry, so that shares of its capacity cannot be computed. Guards against interference that
// is learned from such shares, and against tasks that are slowed down or moved because of them.
func TestWorkerWithoutRegistryEntryTeachesNothing(t *testing.T) {
	for _, described := range []bool{false, true} {
		s := New(testSettings, 5, time.Minute, time.Minute)
		w := s.fleet.Ensure("w1")
		if described {
			s.fleet.RegisterWorker(platform.RegistryEntry{ID: "w1", Capacity: domain.Resources{CPUMilli: 4000, MemoryMiB: 1000}})
		}
		for i, step := range []*job.Step{
			{Count: 1, Need: domain.Resources{CPUMilli: 1000}, LongRunning: true, Target: 20 * time.Millisecond, Image: "serving"},
			{Count: 1, Need: domain.Resources{CPUMilli: 1000}, Fills: true, Image: "filling"},
		} {
			w.Add(&fleet.Attempt{
				ID: job.TaskID{StepID: job.StepID{Job: testJobID, Step: i}}, Attempt: 1, Phase: fleet.AttemptStarted, Step: step,
				SpeedPercent: fullSpeedPercent, SpeedKnown: true, AttemptStatus: fleet.AttemptStatus{ProgressPercent: readyPercent, Observed: 900 - 870*int64(1-i)},
			})
		}
		before, err := s.sharing.Encode()
		assert.NilError(t, err)
		for now := time.Minute; now < time.Minute+3*time.Second; now += 100 * time.Millisecond {
			s.adjustSpeed(w, now)
		}
		after, err := s.sharing.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(before) == string(after), !described)
		assert.Equal(t, len(s.TakeCommands()) > 0, described)
	}
}
