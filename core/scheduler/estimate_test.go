package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
)

// maxIdleTime is how long a job with tasks that could start may have none running while
// there is capacity for them.
const maxIdleTime = 3 * time.Second

// maxStopsPerTask is how often a task may be given up because it seems to be slow.
const maxStopsPerTask = 2

// estimateJob returns a job of one step whose tasks need a core, with the given estimate.
func estimateJob(id job.ID, count int, estimate time.Duration, label string) *job.Job {
	j := singleStepJob(count, 1000)
	j.ID, j.Steps[0].Estimate, j.Steps[0].RequiredLabel = id, estimate, label
	return j
}

// runUntilDone runs until the job is done, for at most the given time. It returns whether the
// job is done and the longest time for which it had nothing running.
func (h *harness) runUntilDone(id job.ID, limit time.Duration) (done bool, idle time.Duration) {
	idleSince := h.now
	for end := h.now + limit; h.now < end; {
		h.runFor(harnessStep)
		if h.scheduler.State(id) == job.StateCompleted {
			return true, idle
		}
		running := false
		for _, f := range h.workers {
			for _, r := range f.attempts {
				running = running || r.status.Task[:len(id)] == string(id)
			}
		}
		if running {
			idleSince = h.now
		}
		idle = max(idle, h.now-idleSince)
	}
	return false, idle
}

// mostStops returns the largest number of stops of a task as a straggler, and the number of
// stops of all tasks.
func (h *harness) mostStops() (most, all int) {
	byTask := map[string]int{}
	for _, d := range h.decisions {
		if d.Action == "stop" {
			byTask[d.Task]++
			most = max(most, byTask[d.Task])
			all++
		}
	}
	return most, all
}

// Guards against tasks that never end, because each run is given up after the time that the
// client has stated, and against workers that get no work because of that.
func TestTaskEndsWhateverItsEstimate(t *testing.T) {
	for _, taskTime := range []time.Duration{4 * time.Second, 40 * time.Second, 400 * time.Second} {
		for name, estimate := range map[string]time.Duration{"none": 0, "twentieth": taskTime / 20, "right": taskTime, "twenty times": 20 * taskTime} {
			for _, label := range []string{"", "b"} {
				for _, count := range []int{1, 3, 12} {
					t.Run(fmt.Sprintf("%s/%s/label=%s/tasks=%d", taskTime, name, label, count), func(t *testing.T) {
						h := newHarness(t, 3)
						for _, f := range h.workers {
							f.taskTime = taskTime
						}
						h.workers[1].kind = "b"
						h.register(h.workers[1])
						h.scheduler.Accept(estimateJob(testJobID, count, estimate, label), h.now)
						rounds := time.Duration((count + 3) / 4)
						done, idle := h.runUntilDone(testJobID, rounds*taskTime+30*time.Second)
						most, all := h.mostStops()
						assert.Assert(t, done, "%d stops", all)
						assert.Assert(t, idle < maxIdleTime, "%s", idle)
						assert.Assert(t, most <= maxStopsPerTask, "%d stops of a task", most)
						assert.Assert(t, all <= max(maxStopsPerTask, count), "%d stops", all)
					})
				}
			}
		}
	}
}

// Guards against a worker that is withheld from the work of others because clients state
// wrong estimates.
func TestWrongEstimatesDoNotWithholdWorkers(t *testing.T) {
	for _, estimate := range []time.Duration{0, 200 * time.Millisecond, 80 * time.Second} {
		t.Run(estimate.String(), func(t *testing.T) {
			h := newHarness(t, 1)
			h.workers[0].taskTime = 4 * time.Second
			for i := range 20 {
				h.scheduler.Accept(estimateJob(job.ID(fmt.Sprintf("%016x", i)), 1, estimate, ""), h.now)
				h.runFor(500 * time.Millisecond)
			}
			// Four tasks at a time, and one more run for a task that is stopped once.
			h.runFor(40 * time.Second)
			for i := range 20 {
				assert.Equal(t, h.scheduler.State(job.ID(fmt.Sprintf("%016x", i))), job.StateCompleted, "job %d", i)
			}
			most, _ := h.mostStops()
			assert.Assert(t, most <= maxStopsPerTask, "%d", most)
		})
	}
}

// Guards against hung workers that are not found, or found late, because nothing is known about
// the duration of a task.
func TestTasksOnHungWorkersStartElsewhere(t *testing.T) {
	for _, estimate := range []time.Duration{0, 200 * time.Millisecond, 4 * time.Second, 80 * time.Second} {
		for _, count := range []int{1, 6} {
			t.Run(fmt.Sprintf("%s/%d", estimate, count), func(t *testing.T) {
				h := newHarness(t, 4)
				for _, f := range h.workers {
					f.taskTime = 4 * time.Second
				}
				h.scheduler.Accept(estimateJob(testJobID, count, estimate, ""), h.now)
				h.runFor(time.Second)
				hung := h.workersRunning(firstTaskID)[0]
				hung.stalled = true
				done, _ := h.runUntilDone(testJobID, 12*time.Second)
				assert.Assert(t, done)
			})
		}
	}
}

// Guards against slow workers that keep a task many times as long as another worker would,
// although the other tasks of its step show how long it takes.
func TestSlowWorkerIsFoundByTheOtherTasks(t *testing.T) {
	for _, estimate := range []time.Duration{0, 200 * time.Millisecond, 4 * time.Second, 80 * time.Second} {
		t.Run(estimate.String(), func(t *testing.T) {
			h := newHarness(t, 4)
			for _, f := range h.workers {
				f.taskTime = 4 * time.Second
			}
			h.workers[0].slowdown = 10
			j := estimateJob(testJobID, 12, estimate, "")
			h.scheduler.Accept(j, h.now)
			done, _ := h.runUntilDone(testJobID, 20*time.Second)
			assert.Assert(t, done)
			most, _ := h.mostStops()
			assert.Assert(t, most <= maxStopsPerTask, "%d", most)
		})
	}
}

// Guards against the restart of each task of a slow worker that is the only suitable one.
func TestOnlySuitableWorkerMayBeSlow(t *testing.T) {
	h := newHarness(t, 3)
	for _, f := range h.workers {
		f.taskTime = 2 * time.Second
	}
	h.workers[1].kind, h.workers[1].slowdown = "b", 10
	h.register(h.workers[1])
	h.scheduler.Accept(estimateJob(testJobID, 2, 2*time.Second, "b"), h.now)
	done, idle := h.runUntilDone(testJobID, 30*time.Second)
	assert.Assert(t, done)
	assert.Assert(t, idle < maxIdleTime, "%s", idle)
	most, _ := h.mostStops()
	assert.Assert(t, most <= 1, "%d", most)
}

// Guards against starts on a worker that hangs while others have capacity.
func TestSuspectedWorkerIsTheLastResort(t *testing.T) {
	h := newHarness(t, 2)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(500 * time.Millisecond)
	hung := h.workersRunning(firstTaskID)[0]
	hung.stalled = true
	h.runFor(2500 * time.Millisecond)
	before := len(hung.started)
	other := estimateJob("00000000000000aa", 2, time.Second, "")
	h.scheduler.Accept(other, h.now)
	h.runFor(500 * time.Millisecond)
	assert.Equal(t, len(hung.started), before)
	assert.Equal(t, len(h.workersRunning("00000000000000aa.0.0.1")), 1)
}

// Guards against workers that get no work because clients state estimates that are too short, and
// against slow workers that are not noticed because clients state estimates that are too long.
func TestWorkersAreRatedByWhatTasksTake(t *testing.T) {
	for _, estimate := range []time.Duration{0, 100 * time.Millisecond, 40 * time.Second} {
		t.Run(estimate.String(), func(t *testing.T) {
			h := newHarness(t, 4)
			for _, f := range h.workers {
				f.taskTime = 2 * time.Second
			}
			h.workers[0].slowdown = 3
			for i := range 20 {
				h.scheduler.Accept(estimateJob(job.ID(fmt.Sprintf("%016x", i)), 4, estimate, ""), h.now)
				h.runFor(time.Second)
			}
			h.runFor(10 * time.Second)
			ratio := func(i int) float64 { return h.scheduler.fleet.Worker(h.workers[i].id).Health.DurationRatio() }
			for i := 1; i < 4; i++ {
				assert.Assert(t, ratio(i) < 1.5, "healthy worker: %.2f", ratio(i))
			}
			assert.Assert(t, ratio(0) > 1.5 || len(h.workers[0].started) == 0, "slow worker: %.2f", ratio(0))
		})
	}
}

// Guards against refusals because of work that is as large as one client says.
func TestUnconfirmedWorkRefusesNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.scheduler.Accept(estimateJob(testJobID, 40, time.Hour, ""), h.now)
	h.runFor(500 * time.Millisecond)
	outstanding := func() (work, certain float64) {
		for _, p := range h.scheduler.Backlog(h.now, h.now.Milliseconds()).Pools {
			for _, c := range p.Work {
				work, certain = work+c.Work, certain+c.OnTime
			}
		}
		return work, certain
	}
	work, certain := outstanding()
	assert.Assert(t, work > 1000)
	assert.Equal(t, certain, 0.0)
	assert.Equal(t, len(h.scheduler.Backlog(h.now, h.now.Milliseconds()).Queues), 0)
	h.runFor(time.Second) // The running tasks come to more than 10%.
	work, certain = outstanding()
	assert.Assert(t, certain > 0 && work < 1000, "%.0f, certain %.0f", work, certain)
}

// Guards against a job that waits behind all others because its client states no estimate, or
// one that is too short, so that it seems to be too late to have any value.
func TestWorkOfUnknownDurationKeepsItsValue(t *testing.T) {
	for _, estimate := range []time.Duration{0, 50 * time.Millisecond} {
		t.Run(estimate.String(), func(t *testing.T) {
			h := newHarness(t, 1)
			h.workers[0].taskTime = 4 * time.Second
			blocker := estimateJob("00000000000000aa", 4, 4*time.Second, "")
			blocker.Queue.Route = "other"
			h.scheduler.Accept(blocker, h.now)
			h.runFor(100 * time.Millisecond)
			h.scheduler.Accept(estimateJob(testJobID, 1, estimate, ""), h.now)
			h.runFor(3500 * time.Millisecond)
			for _, d := range h.scheduler.demands(h.now, h.now.Milliseconds()) {
				assert.Assert(t, d.NoValueAfter > h.now+time.Hour, "%s", d.NoValueAfter-h.now)
			}
		})
	}
}

// Guards against a task on a hung worker that nobody gives up any more once the owner has changed.
func TestHungTaskOfAFormerOwnerStartsElsewhere(t *testing.T) {
	h := newHarness(t, 2)
	for _, f := range h.workers {
		f.taskTime = 2 * time.Second
	}
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(500 * time.Millisecond)
	hung := h.workersRunning(firstTaskID)[0]
	hung.stalled = true
	h.replaceOwner(6)
	done, _ := h.runUntilDone(testJobID, 20*time.Second)
	assert.Assert(t, done)
	assert.Equal(t, h.startCount(firstTaskID), 2)
}

// Guards against memory that grows with the number of steps and occurrences that have ended.
func TestEndedStepsAreForgotten(t *testing.T) {
	h := newHarness(t, 2)
	for _, f := range h.workers {
		f.taskTime = 200 * time.Millisecond
	}
	j := singleStepJob(3, 1000)
	j.Repeat = job.Repeat{Count: 5, FirstUnixMS: h.now.Milliseconds(), IntervalMS: 1000}
	h.scheduler.Accept(j, h.now)
	h.runFor(3500 * time.Millisecond)
	assert.Equal(t, h.scheduler.State(j.ID), job.StateActive)
	assert.Equal(t, h.scheduler.stragglers.Len(), 0)
	h.runFor(4 * time.Second)
	assert.Equal(t, h.scheduler.State(j.ID), job.StateCompleted)
}
