package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

// Guards against an owner that cannot decode the records of a job, lets the worker
// forget the completion of its task, and leaves it to the next owner to run it again.
func TestCompletionOfUnreadableJobIsNotForgotten(t *testing.T) {
	h := newHarness(t, 1)
	j := singleStepJob(1, 1000)
	h.scheduler.Accept(j, h.now)
	h.runFor(time.Second)
	state := h.storedStates[testJobID]
	h.workers[0].finish(firstTaskID, platform.CompletionDone)
	h.unreadable = []job.ID{testJobID}
	h.startTerm(ledger.New(), 6)
	h.scheduler.Accept(j, h.now)
	h.runFor(3 * time.Second)
	assert.Equal(t, h.scheduler.HeldCount(), 1)
	h.unreadable = nil
	jobs := ledger.New()
	assert.NilError(t, jobs.Restore(j, state))
	h.startTerm(jobs, 7)
	h.runFor(3 * time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 1)
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCompleted)
	assert.Equal(t, len(h.workers[0].completions), 0)
}
