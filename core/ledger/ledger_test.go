package ledger

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

const testID = job.ID("0123456789abcdef")

func testJob(steps ...job.Step) *job.Job {
	return &job.Job{
		ID: testID, Payload: "text", Steps: steps,
		Queue: job.Queue{Route: "checks", Service: "desk", MaxAttempts: 2, Stretch: 1.5, Objective: time.Second},
	}
}

func step(count int, depends ...int) job.Step {
	return job.Step{Count: count, Need: domain.Resources{CPUMilli: 1000}, Estimate: time.Second, DependsOn: depends}
}

func task(s, index int) job.TaskID {
	return job.TaskID{StepID: job.StepID{Job: testID, Step: s}, Index: index}
}

// storeAndRestore encodes the job and its state and restores them into a new
// job table, as a new owner does.
func storeAndRestore(t *testing.T, e *Entry) (*Ledger, *Entry) {
	t.Helper()
	accepted, err := EncodeJob(e.Job)
	assert.NilError(t, err)
	state, err := EncodeState(e)
	assert.NilError(t, err)
	j, err := DecodeJob(accepted)
	assert.NilError(t, err)
	l := New()
	assert.NilError(t, l.Restore(j, state))
	return l, l.Entry(j.ID)
}

// Guards against a job that is shown as failed although its task failed only
// once: if all nodes lose power after a completion is stored and before the
// worker is told, the worker reports the completion again to the new owner.
func TestRepeatedFailureReportCountsOnce(t *testing.T) {
	l := New()
	e := l.Accept(testJob(step(1)))
	l.Place(task(0, 0), 1, "w1")
	l.RecordCompletion(task(0, 0), 1, platform.CompletionFailed, "")
	l, e = storeAndRestore(t, e)
	l.RecordCompletion(task(0, 0), 1, platform.CompletionFailed, "")
	assert.Equal(t, e.State(), job.StateActive)
	l.Place(task(0, 0), 2, "w1")
	l.RecordCompletion(task(0, 0), 2, platform.CompletionFailed, "")
	assert.Equal(t, e.State(), job.StateFailed)
}

// Guards against starting a step before the steps that it depends on are done.
func TestStepWaitsForDependencies(t *testing.T) {
	l := New()
	e := l.Accept(testJob(step(2), step(1, 0)))
	assert.Assert(t, e.DependenciesDone(0, 0) && !e.DependenciesDone(0, 1))
	l.Place(task(0, 0), 1, "w1")
	l.Place(task(0, 1), 1, "w1")
	l.RecordCompletion(task(0, 0), 1, platform.CompletionDone, "")
	assert.Assert(t, !e.DependenciesDone(0, 1))
	l.RecordCompletion(task(0, 1), 1, platform.CompletionDone, "")
	assert.Assert(t, e.DependenciesDone(0, 1))
	assert.Equal(t, e.State(), job.StateActive)
	l.Place(task(1, 0), 1, "w1")
	l.RecordCompletion(task(1, 0), 1, platform.CompletionDone, "")
	assert.Equal(t, e.State(), job.StateCompleted)
}

// Guards against repeating a task whose earlier attempt, given up as lost,
// finishes as done after all.
func TestLateDoneOfEarlierAttemptFinishesTask(t *testing.T) {
	l := New()
	e := l.Accept(testJob(step(1)))
	l.Place(task(0, 0), 1, "w1")
	assert.Assert(t, l.Lost(task(0, 0), 1))
	l.Place(task(0, 0), 2, "w2")
	l.RecordCompletion(task(0, 0), 1, platform.CompletionDone, "")
	assert.Equal(t, e.State(), job.StateCompleted)
	assert.Equal(t, e.PlacedCount(), 0)
}

// Guards against a new owner that starts a task again although it may be
// executing.
func TestPlacementSurvivesRestore(t *testing.T) {
	l := New()
	e := l.Accept(testJob(step(2)))
	l.Place(task(0, 1), 3, "w7")
	l.Checkpoint(task(0, 1), 3, "saved")
	_, e = storeAndRestore(t, e)
	got, ok := e.Task(task(0, 1))
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, Task{Phase: Placed, Attempt: 3, Worker: "w7", Checkpoint: "saved"})
	assert.Equal(t, e.WaitingCount(0, 0), 1)
}

// Guards against a gang whose members start with different attempt numbers, and
// against counting the failure of each member as a failure of the gang.
func TestGangSharesAttemptAndFailure(t *testing.T) {
	l := New()
	gang := step(3)
	gang.Gang = true
	e := l.Accept(testJob(gang))
	attempt := l.NextAttempt(task(0, 0).StepID, 0)
	for i := range 3 {
		l.Place(task(0, i), attempt, "w1")
	}
	l.RecordCompletion(task(0, 0), attempt, platform.CompletionFailed, "")
	l.RecordCompletion(task(0, 1), attempt, platform.CompletionGangBroken, "")
	l.RecordCompletion(task(0, 2), attempt, platform.CompletionFailed, "")
	assert.Equal(t, e.State(), job.StateActive)
	assert.Equal(t, l.NextAttempt(task(0, 0).StepID, 0), attempt+1)
	for i := range 3 {
		l.Place(task(0, i), attempt+1, "w1")
	}
	l.RecordCompletion(task(0, 2), attempt+1, platform.CompletionDone, "")
	assert.Equal(t, e.State(), job.StateCompleted)
}

// Guards against restoring part of a state record that does not match its job.
func TestRestoreRejectsStateOfAnotherJob(t *testing.T) {
	l := New()
	e := l.Accept(testJob(step(2)))
	l.Place(task(0, 0), 1, "w1")
	state, err := EncodeState(e)
	assert.NilError(t, err)
	assert.ErrorContains(t, New().Restore(testJob(step(3)), state), "2 tasks in the record and 3 in the job")
}

// Guards against a process that ends because a stored record contains a negative
// index.
func TestRestoreRejectsNegativeIndexes(t *testing.T) {
	for _, stored := range []storedEntry{
		{Occurrences: []storedOccurrence{{Index: -1, Steps: make([]storedStep, 1)}}},
		{Workers: []domain.WorkerID{"w"}, Occurrences: []storedOccurrence{{Steps: []storedStep{{Tasks: []storedTask{{Worker: -1}}}}}}},
	} {
		body, err := cbor.Marshal(stored)
		assert.NilError(t, err)
		record := append(make([]byte, headerBytes), body...)
		assert.Assert(t, New().Restore(testJob(step(1)), record) != nil, "%+v", stored)
	}
}

// Guards against a job whose account is lost in the store, and against an account that is
// read from a record without one, as former versions store it.
func TestAccountIsReadFromTheAcceptanceRecord(t *testing.T) {
	for _, c := range []struct{ account, payload string }{{"", ""}, {"north", ""}, {"", "gAccounteast"}, {"north", "Account"}} {
		j := &job.Job{ID: "0123456789abcdef", Account: c.account, Payload: c.payload, Steps: []job.Step{{Count: 1}}}
		record, err := EncodeJob(j)
		assert.NilError(t, err)
		got, err := DecodeAccount(record)
		assert.NilError(t, err)
		assert.Equal(t, got, c.account)
		_, err = DecodeAccount(record[:len(record)-1])
		assert.Equal(t, err != nil, c.account+c.payload != "", "a record without the name of the field is not decoded")
	}
}
