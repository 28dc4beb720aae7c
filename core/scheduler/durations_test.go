package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// finishAfter lets the running tasks of a job end once they have run for the given time.
func finishAfter(h *harness, id job.ID, took time.Duration) {
	for range int(took / harnessStep) {
		h.step()
	}
	for _, f := range h.workers {
		for task := range f.attempts {
			if parsed, err := job.ParseTaskID(task); err == nil && parsed.Job == id {
				f.finish(task, platform.CompletionDone)
			}
		}
	}
	h.runFor(200 * time.Millisecond)
}

// Guards against deadlines and work that follow estimates which are off by a factor of five,
// and against samples of attempts whose start is not known.
func TestPredictionsFollowTheTasks(t *testing.T) {
	const estimate, took = 400 * time.Millisecond, 2 * time.Second
	h := newHarness(t, 4)
	var last *job.Job
	for i := range 20 {
		last = singleStepJob(2, 1000)
		last.ID, last.Steps[0].Estimate = job.ID(fmt.Sprintf("%016x", i+1)), estimate
		h.scheduler.Accept(last, h.now)
		h.runFor(200 * time.Millisecond)
		finishAfter(h, last.ID, took)
	}
	fresh := singleStepJob(2, 1000)
	fresh.ID, fresh.Steps[0].Estimate = "00000000000000ff", estimate
	assert.Assert(t, h.scheduler.predictionOf(fresh).durations[0] > 2*estimate, "a new job: %s", h.scheduler.predictionOf(fresh).durations[0])
	assert.Assert(t, testQueue.LatencyObjective(h.scheduler.predictionOf(fresh).path) > fresh.LatencyObjective(testQueue))

	h.scheduler.Accept(fresh, h.now)
	h.runFor(600 * time.Millisecond)
	running := h.scheduler.predictionOf(fresh).durations[0]
	assert.Assert(t, running > 4*estimate, "a job with tasks that have made progress: %s", running)
	h.replaceOwner(2)
	before := h.scheduler.predictionOf(fresh).durations[0]
	finishAfter(h, fresh.ID, time.Second)
	assert.Equal(t, h.scheduler.predictionOf(fresh).durations[0], before, "the attempt of a former owner began at an unknown time")
}
