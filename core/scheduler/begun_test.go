package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
)

// A job is placed on a worker that is silent, or that carries out starts without answering.
// Guards against a count of waiting jobs without a job that has not begun, and against one
// that keeps a job which has.
func TestJobBeginsWhenAWorkerReportsIt(t *testing.T) {
	for name, c := range map[string]struct {
		disturb func(*fakeWorker)
		begins  bool
	}{
		"answers":         {func(*fakeWorker) {}, true},
		"silent":          {func(f *fakeWorker) { f.unresponsive = true }, false},
		"answer is lost":  {func(f *fakeWorker) { f.dropStartResults = true }, true},
		"all answers are": {func(f *fakeWorker) { f.dropResults = true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.runFor(200 * time.Millisecond)
			c.disturb(h.workers[0])
			h.scheduler.Accept(singleStepJob(1, 1000), h.now)
			h.runFor(100 * time.Millisecond)
			assert.Equal(t, h.scheduler.Ledger().Entry(testJobID).PlacedCount(), 1)
			h.runFor(3 * time.Second)
			begun := h.scheduler.TakeBegun()
			if !c.begins {
				assert.Equal(t, len(begun), 0)
				assert.Equal(t, h.scheduler.State(testJobID), job.StatePending)
				return
			}
			assert.DeepEqual(t, begun, []job.ID{testJobID})
			assert.Equal(t, h.scheduler.State(testJobID), job.StateActive)
			h.runFor(3 * time.Second)
			assert.Equal(t, len(h.scheduler.TakeBegun()), 0)
		})
	}
}
