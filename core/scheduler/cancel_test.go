package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
)

// The cancellation of a job is read before its acceptance. Guards against a job that runs
// although its cancellation was confirmed, also if its acceptance is read repeatedly, and
// against a cancellation that is kept for ever.
func TestCancellationReadBeforeItsJobHolds(t *testing.T) {
	h := newHarness(t, 2)
	cancelledAt := h.now
	for range 2 {
		h.scheduler.Cancel(testJobID, h.now)
	}
	h.runFor(time.Second)
	for range 2 {
		h.scheduler.Accept(singleStepJob(1, 1000), h.now)
		h.runFor(time.Second)
	}
	assert.Equal(t, h.startCount(firstTaskID), 0)
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCancelled)
	assert.Equal(t, len(h.scheduler.RemoveExpiredJobs(cancelledAt+testSettings.Retention-1)), 0)
	assert.DeepEqual(t, h.scheduler.RemoveExpiredJobs(cancelledAt+testSettings.Retention), []job.ID{testJobID})
	assert.Equal(t, h.scheduler.State(testJobID), job.State(""))
}

// Guards against a finished job that a late cancellation turns into a cancelled one.
func TestCancellationOfAFinishedJobChangesNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.scheduler.RestoreFinishedJobs(map[job.ID]job.State{testJobID: job.StateCompleted}, h.now)
	h.scheduler.Cancel(testJobID, h.now)
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCompleted)
	assert.DeepEqual(t, h.scheduler.RemoveExpiredJobs(h.now+testSettings.Retention), []job.ID{testJobID})
}
