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
	w := newHarness(t, 2)
	j := singleStepJob(2, 1000)
	j.Steps = append(j.Steps, job.Step{Count: 1, Need: domain.Resources{CPUMilli: 1000}, Estimate: time.Second, DependsOn: []int{0}})
	w.m.Accept(j, w.now)
	w.runFor(500 * time.Millisecond)
	assert.Equal(t, w.startCount("0123456789abcdef.0.1.0"), 0)
	for _, task := range []string{firstTaskID, "0123456789abcdef.0.0.1"} {
		w.workersRunning(task)[0].finish(task, platform.CompletionDone)
	}
	w.runFor(3 * time.Second)
	assert.Equal(t, w.startCount("0123456789abcdef.0.1.0"), 1)
	w.workersRunning("0123456789abcdef.0.1.0")[0].finish("0123456789abcdef.0.1.0", platform.CompletionDone)
	w.runFor(3 * time.Second)
	assert.Equal(t, w.m.State(testJobID), job.StateCompleted)
}

// Guards against a start that no stored placement explains: a later owner
// would not know where the task may be executing.
func TestNoStartBeforePlacementIsStored(t *testing.T) {
	w := newHarness(t, 1)
	w.runFor(200 * time.Millisecond)
	w.storeDown = true
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(2 * time.Second)
	assert.Equal(t, w.startCount(firstTaskID), 0)
	w.storeDown = false
	w.runFor(500 * time.Millisecond)
	assert.Equal(t, w.startCount(firstTaskID), 1)
}

// Guards against work that never starts again because holds without an answer
// extend the lease for ever (hunt on kmk-ferry, mix --seed 381301539305: LOST
// for 28 tasks of workers that went dark).
func TestTaskOfUnresponsiveWorkerStartsAgain(t *testing.T) {
	w := newHarness(t, 2)
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(time.Second)
	first := w.workersRunning(firstTaskID)[0]
	first.unresponsive = true
	w.runFor(5 * time.Second)
	assert.Equal(t, w.startCount(firstTaskID), 1, "started again while the lease may hold")
	w.runFor(4 * time.Second)
	assert.Equal(t, w.startCount(firstTaskID), 2)
}

// Guards against two runs at once when a start is carried out and its answer
// is lost.
func TestUnansweredStartIsNotStartedElsewhere(t *testing.T) {
	w := newHarness(t, 2)
	w.runFor(200 * time.Millisecond)
	for _, f := range w.workers {
		f.dropStartResults = true
	}
	w.m.Accept(singleStepJob(1, 1000), w.now)
	for range 400 {
		w.step()
		w.m.RecordRenewal(w.now)
		assert.Assert(t, len(w.workersRunning(firstTaskID)) <= 1)
	}
	for _, f := range w.workers {
		f.dropStartResults = false
	}
	w.runFor(3 * time.Second)
	assert.Equal(t, len(w.workersRunning(firstTaskID)), 1)
}

// Guards against a new owner that starts what may still be executing on a
// worker that it cannot reach.
func TestNewOwnerWaitsForUnreachableWorker(t *testing.T) {
	w := newHarness(t, 2)
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(time.Second)
	holder := w.workersRunning(firstTaskID)[0]
	holder.unresponsive = true
	next := w.replaceOwner(6)
	w.runFor(testSettings.MaxOffline)
	assert.Equal(t, w.startCount(firstTaskID), 1)
	w.runFor(testSettings.Lease + 2*time.Second)
	assert.Equal(t, w.startCount(firstTaskID), 2)
	assert.Equal(t, next, w.m)
}

// Guards against a new owner that loses a run: it is found by the first hold.
func TestNewOwnerAdoptsAttempts(t *testing.T) {
	w := newHarness(t, 2)
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(time.Second)
	w.replaceOwner(6)
	w.runFor(1200 * time.Millisecond)
	assert.Equal(t, w.startCount(firstTaskID), 1)
	w.workersRunning(firstTaskID)[0].finish(firstTaskID, platform.CompletionDone)
	w.runFor(3 * time.Second)
	assert.Equal(t, w.m.State(testJobID), job.StateCompleted)
}

// replaceOwner replaces the owner by one that restores the stored records.
func (w *harness) replaceOwner(token platform.Token) *Scheduler {
	book := ledger.New()
	w.m.Ledger().ForEach(func(e *ledger.Entry) {
		state, err := ledger.EncodeState(e)
		assert.NilError(w.t, err)
		assert.NilError(w.t, book.Restore(e.Job, state))
	})
	m := New(testSettings, token, w.now, w.now)
	former := PreviousOwner{LastSeenAt: w.lastSeenAt, Token: w.m.Token(), ProcessEnded: w.previousOwnerEnded, LeaseBounds: w.leaseBounds, LeaseBoundsReadAt: w.leaseBoundsAt}
	assert.NilError(w.t, m.Restore(book, former, w.now, w.now.Milliseconds()))
	w.setScheduler(m)
	return m
}

// Guards against a cancelled job whose tasks run on.
func TestCancelStopsAttempts(t *testing.T) {
	w := newHarness(t, 2)
	w.m.Accept(singleStepJob(3, 1000), w.now)
	w.runFor(time.Second)
	w.m.Cancel(testJobID, w.now)
	w.runFor(2 * time.Second)
	for _, f := range w.workers {
		assert.Equal(t, len(f.attempts), 0)
	}
	assert.Equal(t, w.m.State(testJobID), job.StateCancelled)
}

// Guards against starts in a failure domain that operators took out.
func TestNoStartInEvacuatedDomain(t *testing.T) {
	w := newHarness(t, 4)
	w.m.SetEvacuated("north", true)
	w.m.Accept(singleStepJob(4, 2000), w.now)
	w.runFor(2 * time.Second)
	assert.Equal(t, len(w.workers[0].started)+len(w.workers[2].started), 0)
	assert.Equal(t, len(w.workers[1].started)+len(w.workers[3].started), 4)
}

// Guards against a worker that is given more than its room, also while a run
// is stopping.
func TestCapacityIsNeverExceeded(t *testing.T) {
	w := newHarness(t, 1)
	w.m.Accept(singleStepJob(9, 1500), w.now)
	for range 100 {
		w.step()
		assert.Assert(t, len(w.workers[0].attempts) <= 2)
	}
	assert.Equal(t, len(w.workers[0].attempts), 2)
}

// Guards against leases that are renewed for ever without the store: a new
// owner counts on their end.
func TestOfflineOwnerStopsRenewing(t *testing.T) {
	w := newHarness(t, 1)
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(time.Second)
	w.storeDown = true
	w.runFor(testSettings.MaxOffline - time.Second)
	assert.Equal(t, len(w.workers[0].attempts), 1, "an ordinary outage throws work away")
	w.runFor(testSettings.Lease + 2*time.Second)
	assert.Equal(t, len(w.workers[0].attempts), 0)
}

// Guards against a job that waits for a task on a worker whose tasks stand
// still while it answers holds.
func TestStalledTaskStartsElsewhere(t *testing.T) {
	w := newHarness(t, 2)
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(500 * time.Millisecond)
	first := w.workersRunning(firstTaskID)[0]
	first.stalled = true
	w.runFor(4 * time.Second)
	assert.Equal(t, w.startCount(firstTaskID), 2)
	assert.Assert(t, w.workersRunning(firstTaskID)[0] != first)
}

// Guards against moving a task that makes good progress.
func TestProgressingTaskIsNotMoved(t *testing.T) {
	w := newHarness(t, 2)
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(1800 * time.Millisecond)
	assert.Equal(t, w.startCount(firstTaskID), 1)
}

// Guards against stopping tasks that cannot be started again: a start needs the
// store.
func TestNoTaskMovesWithoutTheStore(t *testing.T) {
	w := newHarness(t, 2)
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(500 * time.Millisecond)
	w.workersRunning(firstTaskID)[0].stalled = true
	w.storeDown = true
	w.runFor(4 * time.Second)
	assert.Equal(t, len(w.workersRunning(firstTaskID)), 1)
}

// Guards against starts without the policy service's ticketGrant, which workers
// refuse, and against a question for each task.
func TestTasksRunOnlyOnAllowedWorkers(t *testing.T) {
	w := newHarness(t, 4)
	w.allowed = map[domain.WorkerID]bool{"w2": true}
	queue := testQueue
	queue.Advice = true
	w.m.SetConfig(&platform.OperatorConfig{Version: 2, Routes: []platform.Route{{Queue: queue}}})
	w.m.Accept(singleStepJob(3, 1000), w.now)
	w.runFor(time.Second)
	assert.Equal(t, len(w.workers[2].started), 3)
	assert.Equal(t, len(w.workers[0].started)+len(w.workers[1].started)+len(w.workers[3].started), 0)
	assert.Assert(t, w.adviceRequests <= 2, "%d", w.adviceRequests)
}

// Guards against memory and records that grow for ever, and against forgetting
// a job that callers may still ask about.
func TestFinishedJobsExpire(t *testing.T) {
	w := newHarness(t, 1)
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(time.Second)
	w.m.Cancel(testJobID, w.now)
	w.runFor(time.Second)
	assert.Equal(t, len(w.m.RemoveExpiredJobs(w.now)), 0)
	assert.DeepEqual(t, w.m.RemoveExpiredJobs(w.now+testSettings.Keep), []job.ID{testJobID})
	assert.Equal(t, w.m.Ledger().Len(), 0)
}

// Guards against a job that runs again because a copy of its acceptance comes
// after it is over, in the same term of an owner and in the next.
func TestLateCopyOfAFinishedJobDoesNotRun(t *testing.T) {
	w := newHarness(t, 1)
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(500 * time.Millisecond)
	w.workersRunning(firstTaskID)[0].finish(firstTaskID, platform.CompletionDone)
	w.runFor(2 * time.Second)
	assert.Equal(t, w.m.State(testJobID), job.StateCompleted)
	assert.Equal(t, w.m.Ledger().Len(), 0, "the tasks of a finished job are kept")
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(time.Second)
	assert.Equal(t, w.startCount(firstTaskID), 1)
	w.replaceOwner(6).RestoreFinishedJobs(map[job.ID]job.State{testJobID: job.StateCompleted}, w.now)
	w.m.Accept(singleStepJob(1, 1000), w.now)
	w.runFor(time.Second)
	assert.Equal(t, w.startCount(firstTaskID), 1)
}

// Guards against a repeated start of a job whose tasks were dropped: one member's
// end as done stands for the whole gang, while the start of another has got no
// answer yet.
func TestUnansweredStartOfAFinishedJobIsNotRepeated(t *testing.T) {
	w := newHarness(t, 2)
	w.workers[1].dropStartResults = true
	j := singleStepJob(2, 3000)
	j.Steps[0].Gang = true
	w.m.Accept(j, w.now)
	for w.startCount(firstTaskID) == 0 {
		w.step()
	}
	w.workers[1].unresponsive = true
	var start *Command
	for o := range w.unanswered {
		if o.Kind == CommandStart {
			start = o
			delete(w.unanswered, o)
		}
	}
	w.worker("w0").finish(w.onlyTask(w.workers[0]), platform.CompletionDone)
	w.runFor(2 * time.Second)
	assert.Equal(t, w.m.State(testJobID), job.StateCompleted)
	assert.Equal(t, w.m.Ledger().Len(), 0)
	w.m.HandleResult(Result{Command: start, Err: fmt.Errorf("no answer")}, w.now)
	for _, o := range w.m.TakeCommands() {
		assert.Assert(t, o.Kind != CommandStart)
	}
}

// onlyTask returns the task that runs on the worker.
func (w *harness) onlyTask(f *fakeWorker) string {
	assert.Equal(w.t, len(f.attempts), 1)
	for task := range f.attempts {
		return task
	}
	return ""
}
