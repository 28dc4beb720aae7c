package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

// Guards against a thin path that does not work: a job of two steps runs in
// order and is completed.
func TestStepsRunInOrder(t *testing.T) {
	w := newWorld(t, 2)
	j := oneStep(2, 1000)
	j.Steps = append(j.Steps, job.Step{Count: 1, Need: domain.Resources{CPUMilli: 1000}, Estimate: time.Second, DependsOn: []int{0}})
	w.m.Accept(j, w.now)
	w.run(500 * time.Millisecond)
	assert.Equal(t, w.starts("0123456789abcdef.0.1.0"), 0)
	for _, task := range []string{firstTask, "0123456789abcdef.0.0.1"} {
		w.runningOn(task)[0].end(task, platform.CompletionDone)
	}
	w.run(3 * time.Second)
	assert.Equal(t, w.starts("0123456789abcdef.0.1.0"), 1)
	w.runningOn("0123456789abcdef.0.1.0")[0].end("0123456789abcdef.0.1.0", platform.CompletionDone)
	w.run(3 * time.Second)
	assert.Equal(t, w.m.State(testJobID), job.StateCompleted)
}

// Guards against a start that no stored placement explains: a later owner
// would not know where the task may be executing.
func TestNoStartBeforePlacementIsStored(t *testing.T) {
	w := newWorld(t, 1)
	w.run(200 * time.Millisecond)
	w.storeDown = true
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(2 * time.Second)
	assert.Equal(t, w.starts(firstTask), 0)
	w.storeDown = false
	w.run(500 * time.Millisecond)
	assert.Equal(t, w.starts(firstTask), 1)
}

// Guards against work that never starts again because holds without an answer
// extend the lease for ever (hunt on kmk-ferry, mix --seed 381301539305: LOST
// for 28 tasks of workers that went dark).
func TestDarkWorkersWorkStartsAgain(t *testing.T) {
	w := newWorld(t, 2)
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(time.Second)
	first := w.runningOn(firstTask)[0]
	first.dark = true
	w.run(5 * time.Second)
	assert.Equal(t, w.starts(firstTask), 1, "started again while the lease may hold")
	w.run(4 * time.Second)
	assert.Equal(t, w.starts(firstTask), 2)
}

// Guards against two runs at once when a start is carried out and its answer
// is lost.
func TestUnansweredStartIsNotStartedElsewhere(t *testing.T) {
	w := newWorld(t, 2)
	w.run(200 * time.Millisecond)
	for _, f := range w.workers {
		f.deafStarts = true
	}
	w.m.Accept(oneStep(1, 1000), w.now)
	for range 400 {
		w.step()
		w.m.Renewed(w.now)
		assert.Assert(t, len(w.runningOn(firstTask)) <= 1)
	}
	for _, f := range w.workers {
		f.deafStarts = false
	}
	w.run(3 * time.Second)
	assert.Equal(t, len(w.runningOn(firstTask)), 1)
}

// Guards against a new owner that starts what may still be executing on a
// worker that it cannot reach.
func TestNewOwnerWaitsForUnreachedWorker(t *testing.T) {
	w := newWorld(t, 2)
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(time.Second)
	holder := w.runningOn(firstTask)[0]
	holder.dark = true
	next := w.takeover(6)
	w.run(testSettings.Offline)
	assert.Equal(t, w.starts(firstTask), 1)
	w.run(testSettings.Lease + 2*time.Second)
	assert.Equal(t, w.starts(firstTask), 2)
	assert.Equal(t, next, w.m)
}

// Guards against a new owner that loses a run: it is found by the first hold.
func TestNewOwnerAdoptsRuns(t *testing.T) {
	w := newWorld(t, 2)
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(time.Second)
	w.takeover(6)
	w.run(1200 * time.Millisecond)
	assert.Equal(t, w.starts(firstTask), 1)
	w.runningOn(firstTask)[0].end(firstTask, platform.CompletionDone)
	w.run(3 * time.Second)
	assert.Equal(t, w.m.State(testJobID), job.StateCompleted)
}

// takeover replaces the owner by one that restores the stored records.
func (w *world) takeover(token platform.Token) *Machine {
	book := ledger.New()
	w.m.Ledger().ForEach(func(e *ledger.Entry) {
		state, err := ledger.EncodeState(e)
		assert.NilError(w.t, err)
		assert.NilError(w.t, book.Restore(e.Job, state))
	})
	m := New(testSettings, token, w.now, w.now)
	former := Former{SeenAt: w.seenAt, Token: w.m.Token(), Dead: w.formerDead, Bounds: w.bounds, BoundsAt: w.boundsAt}
	assert.NilError(w.t, m.Restore(book, former, w.now, w.now.Milliseconds()))
	w.own(m)
	return m
}

// Guards against a cancelled job whose tasks run on.
func TestCancelStopsRuns(t *testing.T) {
	w := newWorld(t, 2)
	w.m.Accept(oneStep(3, 1000), w.now)
	w.run(time.Second)
	w.m.Cancel(testJobID, w.now)
	w.run(2 * time.Second)
	for _, f := range w.workers {
		assert.Equal(t, len(f.runs), 0)
	}
	assert.Equal(t, w.m.State(testJobID), job.StateCancelled)
}

// Guards against starts in a failure domain that operators took out.
func TestNoStartInEvacuatedDomain(t *testing.T) {
	w := newWorld(t, 4)
	w.m.SetEvacuated("north", true)
	w.m.Accept(oneStep(4, 2000), w.now)
	w.run(2 * time.Second)
	assert.Equal(t, len(w.workers[0].started)+len(w.workers[2].started), 0)
	assert.Equal(t, len(w.workers[1].started)+len(w.workers[3].started), 4)
}

// Guards against a worker that is given more than its room, also while a run
// is stopping.
func TestRoomIsNeverExceeded(t *testing.T) {
	w := newWorld(t, 1)
	w.m.Accept(oneStep(9, 1500), w.now)
	for range 100 {
		w.step()
		assert.Assert(t, len(w.workers[0].runs) <= 2)
	}
	assert.Equal(t, len(w.workers[0].runs), 2)
}

// Guards against leases that are renewed for ever without the store: a new
// owner counts on their end.
func TestOfflineOwnerStopsRenewing(t *testing.T) {
	w := newWorld(t, 1)
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(time.Second)
	w.storeDown = true
	w.run(testSettings.Offline - time.Second)
	assert.Equal(t, len(w.workers[0].runs), 1, "an ordinary outage throws work away")
	w.run(testSettings.Lease + 2*time.Second)
	assert.Equal(t, len(w.workers[0].runs), 0)
}

// Guards against a job that waits for a task on a worker whose tasks stand
// still while it answers holds.
func TestStandingTaskStartsElsewhere(t *testing.T) {
	w := newWorld(t, 2)
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(500 * time.Millisecond)
	first := w.runningOn(firstTask)[0]
	first.still = true
	w.run(4 * time.Second)
	assert.Equal(t, w.starts(firstTask), 2)
	assert.Assert(t, w.runningOn(firstTask)[0] != first)
}

// Guards against moving a task that makes good progress.
func TestProgressingTaskStays(t *testing.T) {
	w := newWorld(t, 2)
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(1800 * time.Millisecond)
	assert.Equal(t, w.starts(firstTask), 1)
}

// Guards against stopping tasks that cannot be started again: a start needs the
// store.
func TestNothingMovesWithoutTheStore(t *testing.T) {
	w := newWorld(t, 2)
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(500 * time.Millisecond)
	w.runningOn(firstTask)[0].still = true
	w.storeDown = true
	w.run(4 * time.Second)
	assert.Equal(t, len(w.runningOn(firstTask)), 1)
}

// Guards against starts without the policy service's permission, which workers
// refuse, and against a question for each task.
func TestAdvisedQueueRunsOnAllowedWorkers(t *testing.T) {
	w := newWorld(t, 4)
	w.allowed = map[domain.WorkerID]bool{"w2": true}
	queue := testQueue
	queue.Advice = true
	w.m.SetConfig(&platform.OperatorConfig{Version: 2, Routes: []platform.Route{{Queue: queue}}})
	w.m.Accept(oneStep(3, 1000), w.now)
	w.run(time.Second)
	assert.Equal(t, len(w.workers[2].started), 3)
	assert.Equal(t, len(w.workers[0].started)+len(w.workers[1].started)+len(w.workers[3].started), 0)
	assert.Assert(t, w.questions <= 2, "%d", w.questions)
}

// Guards against memory and records that grow for ever, and against forgetting
// a job that callers may still ask about.
func TestJobsThatAreLongOverExpire(t *testing.T) {
	w := newWorld(t, 1)
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(time.Second)
	w.m.Cancel(testJobID, w.now)
	w.run(time.Second)
	assert.Equal(t, len(w.m.Expired(w.now)), 0)
	assert.DeepEqual(t, w.m.Expired(w.now+testSettings.Keep), []job.ID{testJobID})
	assert.Equal(t, w.m.Ledger().Len(), 0)
}

// Guards against a job that runs again because a copy of its acceptance comes
// after it is over, in the same term of an owner and in the next.
func TestLateCopyOfAFinishedJobDoesNotRun(t *testing.T) {
	w := newWorld(t, 1)
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(500 * time.Millisecond)
	w.runningOn(firstTask)[0].end(firstTask, platform.CompletionDone)
	w.run(2 * time.Second)
	assert.Equal(t, w.m.State(testJobID), job.StateCompleted)
	assert.Equal(t, w.m.Ledger().Len(), 0, "the tasks of a finished job are kept")
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(time.Second)
	assert.Equal(t, w.starts(firstTask), 1)
	w.takeover(6).RestoreOver(map[job.ID]job.State{testJobID: job.StateCompleted}, w.now)
	w.m.Accept(oneStep(1, 1000), w.now)
	w.run(time.Second)
	assert.Equal(t, w.starts(firstTask), 1)
}

// Guards against a repeated start of a job whose tasks were dropped: one member's
// end as done stands for the whole gang, while the start of another has got no
// answer yet.
func TestUnansweredStartOfAFinishedJobIsNotRepeated(t *testing.T) {
	w := newWorld(t, 2)
	w.workers[1].deafStarts = true
	j := oneStep(2, 3000)
	j.Steps[0].Gang = true
	w.m.Accept(j, w.now)
	for w.starts(firstTask) == 0 {
		w.step()
	}
	w.workers[1].dark = true
	var start *Order
	for o := range w.waiting {
		if o.Kind == OrderStart {
			start = o
			delete(w.waiting, o)
		}
	}
	w.worker("w0").end(w.onlyTask(w.workers[0]), platform.CompletionDone)
	w.run(2 * time.Second)
	assert.Equal(t, w.m.State(testJobID), job.StateCompleted)
	assert.Equal(t, w.m.Ledger().Len(), 0)
	w.m.Answered(Answer{Order: start, Err: fmt.Errorf("no answer")}, w.now)
	for _, o := range w.m.TakeOrders() {
		assert.Assert(t, o.Kind != OrderStart)
	}
}

// onlyTask returns the task that runs on the worker.
func (w *world) onlyTask(f *fakeWorker) string {
	assert.Equal(w.t, len(f.runs), 1)
	for task := range f.runs {
		return task
	}
	return ""
}
