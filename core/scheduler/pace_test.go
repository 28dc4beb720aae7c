package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// A backlog of best-effort tasks while workers report their completions all the time.
// Guards against planning rounds for the backlog that take more than their share of
// the time, and against a backlog that is never planned.
func TestBacklogOfBestEffortTasksTakesItsShareOfTheTime(t *testing.T) {
	const roundCost, duration = 30 * time.Millisecond, 10 * time.Second
	var p bestEffortPace
	spent, last, longestWait := time.Duration(0), time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < duration; now += minPlanInterval {
		p.startRound(now)
		if p.admit() {
			longestWait = max(longestWait, now-last)
			p.finishRound(now, roundCost)
			spent, last = spent+roundCost, now
		}
	}
	assert.Assert(t, spent <= time.Duration(maxBestEffortPlanShare*float64(duration))+roundCost, "%v", spent)
	assert.Assert(t, longestWait <= maxBestEffortPlanDelay+roundCost+minPlanInterval, "%v", longestWait)
}

// A round of one slow second, as on a machine that was suspended. Guards against
// best-effort tasks that wait longer than the longest delay for it.
func TestSlowRoundDelaysBestEffortTasksByTheLongestDelay(t *testing.T) {
	var p bestEffortPace
	p.startRound(0)
	assert.Assert(t, p.admit())
	p.finishRound(0, time.Second)
	p.startRound(time.Second)
	assert.Assert(t, !p.admit())
	assert.Assert(t, !p.isDue(time.Second))
	assert.Assert(t, p.isDue(time.Second+maxBestEffortPlanDelay))
}

// A short request arrives while the backlog waits for its next round. Guards against
// a short request that waits for that round too.
func TestShortRequestIsPlacedBetweenRoundsForTheBacklog(t *testing.T) {
	h := newHarness(t, 2)
	h.runFor(time.Second)
	for i := range 20 {
		j := singleStepJob(4, 1000)
		j.ID = job.ID(fmt.Sprintf("%016x", 100+i))
		j.Steps[0].Fills = true
		h.scheduler.Accept(j, h.now)
	}
	h.scheduler.Advance(h.now, h.now.Milliseconds())
	h.scheduler.ObserveRound(h.now, time.Second)
	short := singleStepJob(1, 1000)
	h.scheduler.Accept(short, h.now)
	h.now += harnessStep
	h.scheduler.Advance(h.now, h.now.Milliseconds())
	assert.Equal(t, h.scheduler.Ledger().Entry(short.ID).PlacedCount(), 1)
}

// Short requests keep all workers full, and there are always more of them. Guards against
// a long-running task that failed and never runs again, because each free worker goes to
// short work.
func TestLongRunningTaskRunsAgainBesideSteadyShortWork(t *testing.T) {
	h := newHarness(t, 1)
	lasting := singleStepJob(1, 4000)
	lasting.Steps[0].LongRunning = true
	h.scheduler.Accept(lasting, h.now)
	h.runFor(time.Second)
	assert.Equal(t, len(h.workersRunning(firstTaskID)), 1)
	accept := func(n int) {
		short := singleStepJob(1, 4000)
		short.ID = job.ID(fmt.Sprintf("%016x", n))
		h.scheduler.Accept(short, h.now)
	}
	h.workersRunning(firstTaskID)[0].finish(firstTaskID, platform.CompletionFailed)
	next, failed := 1000, h.now
	for ; h.startCount(firstTaskID) < 2 && h.now < failed+10*time.Second; next++ {
		accept(next)
		h.runFor(200 * time.Millisecond)
		for task := range h.workers[0].attempts {
			if task != firstTaskID {
				h.workers[0].finish(task, platform.CompletionDone)
			}
		}
	}
	assert.Assert(t, h.startCount(firstTaskID) == 2, "started %d times", h.startCount(firstTaskID))
	assert.Assert(t, h.now-failed <= 6*time.Second, "%v", h.now-failed)
}
