package scheduler

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

const otherJobID = job.ID("00000000000000bb")

// Guards against a job whose state the store refuses for good and that stops the
// scheduling of all jobs, or runs on with placements that are not stored.
func TestJobWhoseStateIsRefusedIsHeldAlone(t *testing.T) {
	h := newHarness(t, 2)
	h.refused = testJobID
	h.scheduler.Accept(singleStepJob(3, 1000), h.now)
	other := singleStepJob(1, 1000)
	other.ID = otherJobID
	h.scheduler.Accept(other, h.now)
	h.runFor(2 * time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 0)
	assert.Equal(t, h.startCount(string(otherJobID)+".0.0.0"), 1)
	assert.Equal(t, h.scheduler.HeldCount(), 1)
	for _, w := range h.scheduler.Fleet().All() {
		assert.Assert(t, len(w.Attempts) <= 1, "the held job keeps capacity")
	}
	assert.Assert(t, slices.ContainsFunc(h.decisions, func(d Decision) bool { return d.Action == "hold job" && d.Job == testJobID }))
	h.refused = ""
	h.runFor(holdRetryInterval - time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 1)
	assert.Equal(t, h.scheduler.HeldCount(), 0)
}

// Guards against a worker that forgets the completion of a task whose job could not be
// stored: the next owner would run the task again.
func TestCompletionOfHeldJobIsNotForgotten(t *testing.T) {
	h := newHarness(t, 1)
	j := singleStepJob(1, 1000)
	h.scheduler.Accept(j, h.now)
	other := singleStepJob(1, 1000)
	other.ID = otherJobID
	h.scheduler.Accept(other, h.now)
	h.runFor(time.Second)
	h.refused = testJobID
	h.workers[0].finish(firstTaskID, platform.CompletionDone)
	h.workers[0].finish(string(otherJobID)+".0.0.0", platform.CompletionDone)
	h.runFor(3 * time.Second)
	assert.Equal(t, h.scheduler.State(otherJobID), job.StateCompleted)
	assert.Equal(t, len(h.workers[0].completions), 2)
	jobs := ledger.New()
	assert.NilError(t, jobs.Restore(j, h.storedStates[testJobID]))
	h.refused = ""
	h.startTerm(jobs, 6)
	h.runFor(3 * time.Second)
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCompleted)
	assert.Equal(t, h.startCount(firstTaskID), 1)
	assert.Equal(t, len(h.workers[0].completions), 0)
}

// Guards against ends that a worker keeps for good after the job is stored at last.
func TestCompletionsAreForgottenOnceTheHoldEnds(t *testing.T) {
	h := newHarness(t, 1)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(time.Second)
	h.refused = testJobID
	h.workers[0].finish(firstTaskID, platform.CompletionDone)
	h.runFor(time.Second)
	assert.Equal(t, len(h.workers[0].completions), 1)
	h.refused = ""
	h.runFor(holdRetryInterval + time.Second)
	assert.Equal(t, len(h.workers[0].completions), 0)
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCompleted)
}

// Guards against a large job of which a part that the store has refused is never stored,
// and against an owner that places tasks again which a previous owner has stored in parts.
func TestLargeJobIsStoredAfterAHoldAndTakenOver(t *testing.T) {
	const tasks = 300
	h := newHarness(t, 2)
	j := singleStepJob(tasks, 10)
	j.Steps[0].Need.MemoryMiB = 1
	h.refused = testJobID
	h.scheduler.Accept(j, h.now)
	h.runFor(time.Second)
	h.refused = ""
	h.runFor(holdRetryInterval)
	finished := h.workersRunning(firstTaskID)
	assert.Equal(t, len(finished), 1)
	finished[0].finish(firstTaskID, platform.CompletionDone)
	h.runFor(200 * time.Millisecond)
	jobs := ledger.New()
	assert.NilError(t, jobs.RestoreParts(j, h.storedStates[testJobID], h.storedParts))
	assert.Equal(t, jobs.Entry(testJobID).PlacedCount(), tasks-1)
	h.startTerm(jobs, 6)
	h.runFor(time.Second)
	started := 0
	for _, f := range h.workers {
		started += len(f.started)
	}
	assert.Equal(t, started, tasks)
}
