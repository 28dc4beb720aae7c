package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

// Guards against a step that starts before the steps it depends on are done, and
// against a job that does not complete after its last step.
func TestStepsRunInOrder(t *testing.T) {
	h := newHarness(t, 2)
	j := singleStepJob(2, 1000)
	j.Steps = append(j.Steps, job.Step{Count: 1, Need: domain.Resources{CPUMilli: 1000}, Estimate: time.Second, DependsOn: []int{0}})
	h.scheduler.Accept(j, h.now)
	h.runFor(500 * time.Millisecond)
	assert.Equal(t, h.startCount("0123456789abcdef.0.1.0"), 0)
	for _, task := range []string{firstTaskID, "0123456789abcdef.0.0.1"} {
		h.workersRunning(task)[0].finish(task, platform.CompletionDone)
	}
	h.runFor(3 * time.Second)
	assert.Equal(t, h.startCount("0123456789abcdef.0.1.0"), 1)
	h.workersRunning("0123456789abcdef.0.1.0")[0].finish("0123456789abcdef.0.1.0", platform.CompletionDone)
	h.runFor(3 * time.Second)
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCompleted)
}

// Guards against a start request without a stored placement. A later owner would
// not know where the task may be running.
func TestNoStartBeforePlacementIsStored(t *testing.T) {
	h := newHarness(t, 1)
	h.runFor(200 * time.Millisecond)
	h.storeDown = true
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(2 * time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 0)
	h.storeDown = false
	h.runFor(500 * time.Millisecond)
	assert.Equal(t, h.startCount(firstTaskID), 1)
}

// Guards against tasks of unresponsive workers that never start again because
// unanswered heartbeats extend the lease forever.
func TestTaskOfUnresponsiveWorkerStartsAgain(t *testing.T) {
	h := newHarness(t, 2)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(time.Second)
	first := h.workersRunning(firstTaskID)[0]
	first.unresponsive = true
	h.runFor(5 * time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 1, "started again while the lease may still be valid")
	h.runFor(4 * time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 2)
}

// Guards against two concurrent attempts after a start request is carried out and
// its response is lost.
func TestUnansweredStartIsNotStartedElsewhere(t *testing.T) {
	h := newHarness(t, 2)
	h.runFor(200 * time.Millisecond)
	for _, f := range h.workers {
		f.dropStartResults = true
	}
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	for range 400 {
		h.step()
		h.scheduler.RecordRenewal(h.now)
		assert.Assert(t, len(h.workersRunning(firstTaskID)) <= 1)
	}
	for _, f := range h.workers {
		f.dropStartResults = false
	}
	h.runFor(3 * time.Second)
	assert.Equal(t, len(h.workersRunning(firstTaskID)), 1)
}

// Guards against a new owner that starts a task which may still be running on a
// worker that it cannot reach.
func TestNewOwnerWaitsForUnreachableWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(time.Second)
	first := h.workersRunning(firstTaskID)[0]
	first.unresponsive = true
	next := h.replaceOwner(6)
	h.runFor(testSettings.MaxOffline)
	assert.Equal(t, h.startCount(firstTaskID), 1)
	h.runFor(testSettings.Lease + 2*time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 2)
	assert.Equal(t, next, h.scheduler)
}

// Guards against a new owner that loses a running attempt. The first heartbeat must
// find it.
func TestNewOwnerAdoptsAttempts(t *testing.T) {
	h := newHarness(t, 2)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(time.Second)
	h.replaceOwner(6)
	h.runFor(1200 * time.Millisecond)
	assert.Equal(t, h.startCount(firstTaskID), 1)
	h.workersRunning(firstTaskID)[0].finish(firstTaskID, platform.CompletionDone)
	h.runFor(3 * time.Second)
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCompleted)
}

// replaceOwner replaces the owner by a new one that restores the stored records.
func (h *harness) replaceOwner(token platform.Token) *Scheduler {
	jobs := ledger.New()
	h.scheduler.Ledger().ForEach(func(e *ledger.Entry) {
		state, err := ledger.EncodeState(e)
		assert.NilError(h.t, err)
		assert.NilError(h.t, jobs.Restore(e.Job, state))
	})
	return h.startTerm(jobs, token)
}

// startTerm makes a new owner with the given jobs the current one.
func (h *harness) startTerm(jobs *ledger.Ledger, token platform.Token) *Scheduler {
	h.t.Helper()
	scheduler := New(h.settings, token, h.now, h.now)
	previous := PreviousOwner{LastSeenAt: h.lastSeenAt, Token: h.scheduler.Token(), ProcessEnded: h.previousOwnerEnded, LeaseBounds: h.leaseBounds, LeaseBoundsReadAt: h.leaseBoundsAt,
		SettledOffset: h.settledOffset, StateOffsets: h.stateOffsets, Unreadable: h.unreadable}
	assert.NilError(h.t, scheduler.Restore(jobs, previous, h.now, h.now.Milliseconds()))
	h.setScheduler(scheduler)
	return scheduler
}

// Guards against a cancelled job whose tasks keep running.
func TestCancelStopsAttempts(t *testing.T) {
	h := newHarness(t, 2)
	h.scheduler.Accept(singleStepJob(3, 1000), h.now)
	h.runFor(time.Second)
	h.scheduler.Cancel(testJobID, h.now)
	h.runFor(2 * time.Second)
	for _, f := range h.workers {
		assert.Equal(t, len(f.attempts), 0)
	}
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCancelled)
}

// Guards against starts in a failure domain that operators have taken out.
func TestNoStartInEvacuatedDomain(t *testing.T) {
	h := newHarness(t, 4)
	h.scheduler.SetEvacuated("north", true)
	h.scheduler.Accept(singleStepJob(4, 2000), h.now)
	h.runFor(2 * time.Second)
	assert.Equal(t, len(h.workers[0].started)+len(h.workers[2].started), 0)
	assert.Equal(t, len(h.workers[1].started)+len(h.workers[3].started), 4)
}

// Guards against placing more on a worker than its capacity.
func TestCapacityIsNeverExceeded(t *testing.T) {
	h := newHarness(t, 1)
	h.scheduler.Accept(singleStepJob(9, 1500), h.now)
	for range 100 {
		h.step()
		assert.Assert(t, len(h.workers[0].attempts) <= 2)
	}
	assert.Equal(t, len(h.workers[0].attempts), 2)
}

// Guards against an owner that renews leases forever without the store. A new owner
// relies on their expiry.
func TestOfflineOwnerStopsRenewing(t *testing.T) {
	h := newHarness(t, 1)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(time.Second)
	h.storeDown = true
	h.runFor(testSettings.MaxOffline - time.Second)
	assert.Equal(t, len(h.workers[0].attempts), 1, "a short outage of the store stops the attempt")
	h.runFor(testSettings.Lease + 2*time.Second)
	assert.Equal(t, len(h.workers[0].attempts), 0)
}

// Guards against a job that waits for a task on a worker whose tasks make no
// progress while it responds to heartbeats.
func TestStalledTaskStartsElsewhere(t *testing.T) {
	h := newHarness(t, 2)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(500 * time.Millisecond)
	first := h.workersRunning(firstTaskID)[0]
	first.stalled = true
	h.runFor(4 * time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 2)
	assert.Assert(t, h.workersRunning(firstTaskID)[0] != first)
}

// Guards against a job that has nothing running, because its only suitable worker gets no work
// for a while after an attempt on it was given up.
func TestOnlySuitableWorkerIsNotWithheld(t *testing.T) {
	h := newHarness(t, 3)
	h.workers[1].kind = "b"
	h.register(h.workers[1])
	j := singleStepJob(1, 1000)
	j.Steps[0].RequiredLabel = "b"
	h.scheduler.Accept(j, h.now)
	h.runFor(500 * time.Millisecond)
	h.workers[1].stalled = true
	h.runFor(3 * time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 2)
}

// Guards against moving a task that makes good progress.
func TestProgressingTaskIsNotMoved(t *testing.T) {
	h := newHarness(t, 2)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(1800 * time.Millisecond)
	assert.Equal(t, h.startCount(firstTaskID), 1)
}

// Guards against stopping attempts whose tasks cannot start again. A start needs
// the store.
func TestNoTaskMovesWithoutTheStore(t *testing.T) {
	h := newHarness(t, 2)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(500 * time.Millisecond)
	h.workersRunning(firstTaskID)[0].stalled = true
	h.storeDown = true
	h.runFor(4 * time.Second)
	assert.Equal(t, len(h.workersRunning(firstTaskID)), 1)
}

// Guards against starts without a ticket of the policy service, which workers
// refuse, and against a separate request to the policy service for each task.
func TestTasksRunOnlyOnAllowedWorkers(t *testing.T) {
	h := newHarness(t, 4)
	h.allowed = map[domain.WorkerID]bool{"w2": true}
	queue := testQueue
	queue.Advice = true
	h.scheduler.SetConfig(&platform.OperatorConfig{Version: 2, Routes: []platform.Route{{Queue: queue}}})
	h.scheduler.Accept(singleStepJob(3, 1000), h.now)
	h.runFor(time.Second)
	assert.Equal(t, len(h.workers[2].started), 3)
	assert.Equal(t, len(h.workers[0].started)+len(h.workers[1].started)+len(h.workers[3].started), 0)
	assert.Assert(t, h.adviceRequests <= 2, "%d", h.adviceRequests)
}

// Guards against memory and records that grow forever, and against dropping a job
// that clients may still query.
func TestFinishedJobsExpire(t *testing.T) {
	h := newHarness(t, 1)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(time.Second)
	h.scheduler.Cancel(testJobID, h.now)
	h.runFor(time.Second)
	assert.Equal(t, len(h.scheduler.RemoveExpiredJobs(h.now)), 0)
	assert.DeepEqual(t, h.scheduler.RemoveExpiredJobs(h.now+testSettings.Retention), []job.ID{testJobID})
	assert.Equal(t, h.scheduler.Ledger().Len(), 0)
}

// Guards against a job that runs again because a copy of its request arrives after
// it has finished, in the same ownership term or in the next.
func TestLateCopyOfAFinishedJobDoesNotRun(t *testing.T) {
	h := newHarness(t, 1)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(500 * time.Millisecond)
	h.workersRunning(firstTaskID)[0].finish(firstTaskID, platform.CompletionDone)
	h.runFor(2 * time.Second)
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCompleted)
	assert.Equal(t, h.scheduler.Ledger().Len(), 0, "the job table still has the finished job")
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 1)
	h.replaceOwner(6).RestoreFinishedJobs(map[job.ID]job.State{testJobID: job.StateCompleted}, h.now)
	h.scheduler.Accept(singleStepJob(1, 1000), h.now)
	h.runFor(time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 1)
}

// Guards against repeating a start request of a job that the job table has dropped.
// The completion of one member counts for the whole gang, while the start request
// of another member is still unanswered.
func TestUnansweredStartOfAFinishedJobIsNotRepeated(t *testing.T) {
	h := newHarness(t, 2)
	h.workers[1].dropStartResults = true
	j := singleStepJob(2, 3000)
	j.Steps[0].Gang = true
	h.scheduler.Accept(j, h.now)
	for h.startCount(firstTaskID) == 0 {
		h.step()
	}
	h.workers[1].unresponsive = true
	var start *Command
	for command := range h.unanswered {
		if command.Kind == CommandStart {
			start = command
			delete(h.unanswered, command)
		}
	}
	h.worker("w0").finish(h.onlyTask(h.workers[0]), platform.CompletionDone)
	h.runFor(2 * time.Second)
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCompleted)
	assert.Equal(t, h.scheduler.Ledger().Len(), 0)
	h.scheduler.HandleResult(Result{Command: start, Err: fmt.Errorf("no answer")}, h.now)
	for _, command := range h.scheduler.TakeCommands() {
		assert.Assert(t, command.Kind != CommandStart)
	}
}

// A gang that prefers one rack fills one, which then loses a worker for good. Guards against
// a gang that never runs again although the other workers have capacity for it.
func TestSameRackGangRunsAgainAfterItsRackHasShrunk(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprintf("unregistered %v", gone), func(t *testing.T) {
			h := newHarness(t, 8)
			j := singleStepJob(4, 4000)
			j.Steps[0].Gang, j.Steps[0].SameRack = true, true
			h.scheduler.Accept(j, h.now)
			h.runFor(time.Second)
			first := h.workersRunning(firstTaskID)
			assert.Equal(t, len(first), 1)
			inRack := slices.Index(h.workers, first[0]) % 2
			for i, f := range h.workers {
				if i%2 != inRack && i < 4 || f == first[0] {
					f.unresponsive = true
					if gone {
						h.scheduler.UnregisterWorker(f.id)
					}
				}
			}
			for _, f := range h.workers {
				if !f.unresponsive && len(f.attempts) == 1 {
					f.finish(h.onlyTask(f), platform.CompletionStopped)
				}
			}
			h.runFor(testSettings.LeaseLimit + 3*time.Second)
			for i := range j.Steps[0].Count {
				running := h.workersRunning(fmt.Sprintf("%s.0.0.%d", testJobID, i))
				assert.Assert(t, slices.ContainsFunc(running, func(f *fakeWorker) bool { return !f.unresponsive }), "task %d", i)
			}
		})
	}
}

// onlyTask returns the task that runs on the worker, which must be the only one.
func (h *harness) onlyTask(f *fakeWorker) string {
	assert.Equal(h.t, len(f.attempts), 1)
	for task := range f.attempts {
		return task
	}
	return ""
}
