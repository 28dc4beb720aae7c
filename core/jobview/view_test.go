package jobview

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

const testID = job.ID("0123456789abcdef")

func acceptanceRecord(t *testing.T) platform.KeyedRecord {
	t.Helper()
	value, err := ledger.EncodeJob(testJob())
	assert.NilError(t, err)
	return platform.KeyedRecord{Key: Key(KindJob, testID), Value: value}
}

func testJob() *job.Job {
	return &job.Job{
		ID: testID, Steps: []job.Step{{Count: 1, Need: domain.Resources{CPUMilli: 1}, Estimate: time.Second}},
		Queue: job.Queue{Route: "checks", MaxAttempts: 1},
	}
}

func stateRecord(t *testing.T, offset int64, change func(*ledger.Ledger)) platform.KeyedRecord {
	t.Helper()
	l := ledger.New()
	e := l.Accept(testJob())
	change(l)
	value, err := ledger.EncodeState(e)
	assert.NilError(t, err)
	return platform.KeyedRecord{Offset: offset, Key: Key(KindState, testID), Value: value}
}

var firstTask = job.TaskID{StepID: job.StepID{Job: testID}}

func place(l *ledger.Ledger) { l.Place(firstTask, 1, "w1") }

func begin(l *ledger.Ledger) {
	place(l)
	l.Begin(testID)
}

func finish(l *ledger.Ledger) {
	place(l)
	l.RecordCompletion(firstTask, 1, platform.CompletionDone, "")
}

// Guards against a state that goes back to an older one when records are read
// again, and against a repeated submission that resets a job.
func TestOlderStateRecordIsIgnored(t *testing.T) {
	v := New()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	got, queue, ok := v.State(testID)
	assert.Assert(t, ok)
	assert.Equal(t, got, job.StatePending)
	assert.Equal(t, queue, "checks")
	assert.NilError(t, v.Apply(stateRecord(t, 5, finish)))
	assert.NilError(t, v.Apply(stateRecord(t, 3, place)))
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	got, _, _ = v.State(testID)
	assert.Equal(t, got, job.StateCompleted)
}

// Guards against a count of pending jobs that drifts when records are repeated
// or deleted.
func TestPendingCountCountsJobsThatHaveNotStarted(t *testing.T) {
	v := New()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	assert.Equal(t, v.PendingCount("checks"), 1)
	// A placed task has not begun: its worker may be silent, or refuse the start.
	assert.NilError(t, v.Apply(stateRecord(t, 1, place)))
	assert.Equal(t, v.PendingCount("checks"), 1)
	assert.NilError(t, v.Apply(stateRecord(t, 2, begin)))
	assert.Equal(t, v.PendingCount("checks"), 0)
	assert.NilError(t, v.Apply(platform.KeyedRecord{Key: Key(KindJob, testID)}))
	assert.Equal(t, v.PendingCount("checks"), 0)
	assert.Equal(t, v.Len(), 0)
}

// The stored state of a job that has begun is from before its first task began. Guards
// against a new owner that shows the job as pending again.
func TestNewOwnerShowsABegunJobAsActive(t *testing.T) {
	v := New()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	assert.NilError(t, v.Apply(stateRecord(t, 1, place)))
	active := ledger.Summary{State: job.StateActive, Started: true, Placed: true}
	assert.NilError(t, v.Apply(platform.KeyedRecord{Key: Key(KindStatus, testID), Value: active.Record(), Offset: 1}))
	r := v.Restore()
	assert.Equal(t, len(r.Unshown), 0)
	assert.Equal(t, r.Jobs.Entry(testID).State(), job.StateActive)
	assert.Equal(t, v.PendingCount("checks"), 0)
}

// Guards against a new owner that starts a cancelled job: the state record may
// be older than the cancellation.
func TestNextOwnerSeesCancellation(t *testing.T) {
	v := New()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	assert.NilError(t, v.Apply(stateRecord(t, 1, place)))
	assert.NilError(t, v.Apply(platform.KeyedRecord{Key: Key(KindCancel, testID), Value: []byte{1}}))
	got, _, _ := v.State(testID)
	assert.Equal(t, got, job.StateCancelled)
	r := v.Restore()
	assert.Equal(t, len(r.Unreadable), 0)
	assert.Equal(t, r.Jobs.Len(), 1)
	assert.DeepEqual(t, r.Cancelled, []job.ID{testID})
}

// Guards against a new owner that decodes all finished jobs before it
// schedules. On a fifth of a core, 1,000 of them take 1 s to 3 s, long enough
// for the owner to be replaced.
func TestNewOwnerDoesNotDecodeFinishedJobs(t *testing.T) {
	v := New()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	assert.NilError(t, v.Apply(stateRecord(t, 1, finish)))
	r := v.Restore()
	assert.Equal(t, r.Jobs.Len(), 0)
	assert.DeepEqual(t, r.Finished, map[job.ID]job.State{testID: job.StateCompleted})
}

// Guards against one unreadable record that makes other records unavailable.
func TestUnreadableRecordDoesNotAffectOthers(t *testing.T) {
	v := New()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	assert.Assert(t, v.Apply(platform.KeyedRecord{Key: Key(KindState, testID), Value: []byte{99}}) != nil)
	assert.NilError(t, v.Apply(platform.KeyedRecord{Key: "strange", Value: []byte("x")}))
	got, _, ok := v.State(testID)
	assert.Assert(t, ok)
	assert.Equal(t, got, job.StatePending)
}

// Guards against memory use that grows with every job ever accepted (it reached
// 32 MB per node), and against a finished job that becomes unknown or pending
// because its records are not kept.
func TestRecordsOfFinishedJobsAreNotKept(t *testing.T) {
	for _, stateFirst := range []bool{false, true} {
		v := New()
		if stateFirst {
			assert.NilError(t, v.Apply(stateRecord(t, 5, finish)))
		}
		assert.NilError(t, v.Apply(acceptanceRecord(t)))
		assert.NilError(t, v.Apply(stateRecord(t, 5, finish)))
		assert.NilError(t, v.Apply(acceptanceRecord(t)))
		e := v.jobs[testID]
		assert.Equal(t, len(e.acceptanceRecord)+len(e.stateRecord), 0)
		got, queue, ok := v.State(testID)
		assert.Assert(t, ok)
		assert.Equal(t, got, job.StateCompleted)
		assert.Equal(t, queue, "checks")
		assert.Equal(t, v.PendingCount("checks"), 0)
	}
}

func statusRecord(offset int64, status ledger.Summary) platform.KeyedRecord {
	return platform.KeyedRecord{Offset: offset, Key: Key(KindStatus, testID), Value: status.Record()}
}

// A node that reads statuses only. Guards against a state that goes back, against a
// finished job whose records are kept in memory, and against a job that counts as
// pending after it has started.
func TestStatusesAnswerClientsWithoutStates(t *testing.T) {
	v := New()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	active := ledger.Summary{State: job.StateActive, Started: true, Placed: true}
	for _, r := range []struct {
		offset  int64
		status  ledger.Summary
		want    job.State
		pending int
	}{
		{4, ledger.Summary{State: job.StatePending}, job.StatePending, 1},
		{7, active, job.StateActive, 0},
		{5, ledger.Summary{State: job.StatePending}, job.StateActive, 0},
		{9, ledger.Summary{State: job.StateCompleted, Started: true}, job.StateCompleted, 0},
		{8, active, job.StateCompleted, 0},
	} {
		assert.NilError(t, v.Apply(statusRecord(r.offset, r.status)))
		got, _, ok := v.State(testID)
		assert.Assert(t, ok)
		assert.Equal(t, got, r.want)
		assert.Equal(t, v.PendingCount("checks"), r.pending)
	}
	assert.Assert(t, v.jobs[testID].acceptanceRecord == nil)
	assert.Assert(t, v.Apply(platform.KeyedRecord{Offset: 10, Key: Key(KindStatus, testID), Value: []byte{99}}) != nil)
}

// An owner dies between the append of a state and that of its status. Guards against a
// client that never sees the end of its job, and against a repeated status.
func TestRestoreFindsStatesThatNoStatusShows(t *testing.T) {
	v := New()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	assert.NilError(t, v.Apply(statusRecord(2, ledger.Summary{State: job.StateActive, Started: true, Placed: true})))
	assert.NilError(t, v.Apply(stateRecord(t, 5, finish)))
	unshown := v.Restore().Unshown
	assert.Equal(t, len(unshown), 1)
	status, err := ledger.DecodeSummary(unshown[0].Value)
	assert.NilError(t, err)
	assert.Equal(t, status.State, job.StateCompleted)
	unshown[0].Offset = 3
	assert.NilError(t, v.Apply(unshown[0]))
	assert.Equal(t, len(v.Restore().Unshown), 0)
}

// Guards against a job that was removed in a part of the history that this node has not
// read: clients would see it for ever, and as the next owner the node would run it again.
func TestJobMissingInAReloadIsRemoved(t *testing.T) {
	v := New()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	assert.NilError(t, v.Apply(stateRecord(t, 3, place)))
	v.StartReload()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	v.FinishReload()
	assert.Equal(t, len(v.Restore().Jobs.OpenJobs()), 1)
	v.StartReload()
	v.FinishReload()
	_, _, ok := v.State(testID)
	assert.Assert(t, !ok)
	assert.Equal(t, v.PendingCount("checks"), 0)
	assert.Equal(t, len(v.Restore().Jobs.OpenJobs()), 0)
}

// Guards against a job that this node accepts during a reload, after the page that would
// contain it.
func TestJobAcceptedDuringAReloadIsKept(t *testing.T) {
	v := New()
	v.StartReload()
	assert.NilError(t, v.Apply(acceptanceRecord(t)))
	v.FinishReload()
	v.FinishReload()
	_, _, ok := v.State(testID)
	assert.Assert(t, ok)
}

// Guards against a new owner that restores an older part of a large job's state, and against
// parts that stay in memory, or in the store, after the job.
func TestNewestPartsAreRestoredAndDeletedWithTheJob(t *testing.T) {
	j := testJob()
	j.Steps[0].Count = 300
	l := ledger.New()
	e := l.Accept(j)
	accepted, err := ledger.EncodeJob(j)
	assert.NilError(t, err)
	v, offset := New(), int64(0)
	store := func() {
		records, err := e.TakeStateRecords()
		assert.NilError(t, err)
		for _, r := range records {
			key := PartKey(testID, r.Part)
			if r.Part == ledger.MainPart {
				key = Key(KindState, testID)
			}
			offset++
			assert.NilError(t, v.Apply(platform.KeyedRecord{Key: key, Value: r.Value, Offset: offset}))
		}
	}
	place(l)
	older, err := e.TakeStateRecords()
	assert.NilError(t, err)
	e.MarkUnstored(older[0].Part)
	e.MarkUnstored(ledger.MainPart)
	l.Place(job.TaskID{StepID: firstTask.StepID, Index: 1}, 1, "w1")
	store()
	assert.NilError(t, v.Apply(platform.KeyedRecord{Key: PartKey(testID, older[0].Part), Value: older[0].Value}))
	assert.NilError(t, v.Apply(platform.KeyedRecord{Key: Key(KindJob, testID), Value: accepted}))
	assert.Equal(t, v.Restore().Jobs.Entry(testID).PlacedCount(), 2)
	l.RecordCompletion(firstTask, 1, platform.CompletionFailed, "")
	l.Lost(job.TaskID{StepID: firstTask.StepID, Index: 1}, 1)
	store()
	assert.DeepEqual(t, v.Parts(testID), []int{1})
	assert.Equal(t, len(v.jobs[testID].parts[1].value), 0)
	assert.NilError(t, v.Apply(platform.KeyedRecord{Key: PartKey(testID, 1)}))
	assert.Equal(t, len(v.Parts(testID)), 0)
}

func cancelRecord(value ...byte) platform.KeyedRecord {
	return platform.KeyedRecord{Key: Key(KindCancel, testID), Value: value}
}

// Guards against a new owner that does not know that a job was cancelled whose acceptance
// comes later, and against a cancellation that is kept after its record was deleted.
func TestCancellationOfUnknownJobIsRestoredUntilDeleted(t *testing.T) {
	v := New()
	assert.NilError(t, v.Apply(cancelRecord(1)))
	_, _, ok := v.State(testID)
	assert.Assert(t, !ok)
	r := v.Restore()
	assert.DeepEqual(t, r.Cancelled, []job.ID{testID})
	assert.Equal(t, r.Jobs.Len()+len(r.Finished), 0)
	assert.NilError(t, v.Apply(cancelRecord()))
	assert.Equal(t, len(v.Restore().Cancelled)+v.Len(), 0)
}

// The records of an expired job are deleted one after the other. Guards against a cancelled
// job that a new owner runs because only the deletion of the cancellation has been applied.
func TestKnownJobStaysCancelledUntilItIsRemoved(t *testing.T) {
	v := New()
	for _, r := range []platform.KeyedRecord{acceptanceRecord(t), cancelRecord(1), cancelRecord()} {
		assert.NilError(t, v.Apply(r))
	}
	assert.DeepEqual(t, v.Restore().Cancelled, []job.ID{testID})
}

// Guards against a cancellation of an unknown job that is forgotten in a reload, or kept
// although it was deleted in a part of the history that this node has not read.
func TestReloadKeepsTheCancellationsThatItLists(t *testing.T) {
	for _, c := range []struct {
		name           string
		before, listed []platform.KeyedRecord
		cancelled      bool
	}{
		{"listed", nil, []platform.KeyedRecord{cancelRecord(1)}, true},
		{"listed again", []platform.KeyedRecord{cancelRecord(1)}, []platform.KeyedRecord{cancelRecord(1)}, true},
		{"not listed", []platform.KeyedRecord{cancelRecord(1)}, nil, false},
		{"before its job", nil, []platform.KeyedRecord{cancelRecord(1), acceptanceRecord(t)}, true},
		{"its job is not listed", []platform.KeyedRecord{acceptanceRecord(t), cancelRecord(1)}, []platform.KeyedRecord{cancelRecord(1)}, true},
		{"neither is listed", []platform.KeyedRecord{acceptanceRecord(t), cancelRecord(1)}, nil, false},
	} {
		v := New()
		for _, r := range c.before {
			assert.NilError(t, v.Apply(r))
		}
		v.StartReload()
		for _, r := range c.listed {
			assert.NilError(t, v.Apply(r))
		}
		v.FinishReload()
		assert.Equal(t, len(v.Restore().Cancelled) == 1, c.cancelled, c.name)
		assert.Equal(t, v.PendingCount("checks"), 0, c.name)
	}
}

// Guards against nodes that disagree about a job's account: of two submissions with one id,
// the first in the store decides, also on the node that wrote the second one.
func TestAccountIsThatOfTheFirstStoredSubmission(t *testing.T) {
	submission := func(offset int64, account string) platform.KeyedRecord {
		j := testJob()
		j.Account = account
		value, err := ledger.EncodeJob(j)
		assert.NilError(t, err)
		return platform.KeyedRecord{Offset: offset, Key: Key(KindJob, testID), Value: value}
	}
	for name, records := range map[string][]platform.KeyedRecord{
		"in order":      {submission(5, "a"), submission(6, "b")},
		"own one first": {submission(platform.UnknownOffset, "b"), submission(5, "a"), submission(6, "b")},
		"read again":    {submission(6, "b"), submission(5, "a"), submission(6, "b")},
	} {
		v := New()
		for _, r := range records {
			assert.NilError(t, v.Apply(r))
		}
		account, ok := v.Account(testID)
		assert.Assert(t, ok && account == "a", "%s: %q", name, account)
	}
	_, ok := New().Account(testID)
	assert.Assert(t, !ok)
}

// A node may start long after the owner has written its backlog, and may read a record twice.
// Guards against a record that seems to be as new as its reading, and against records of
// earlier owners that are kept.
func TestOnlyABacklogReadAsItWasWrittenIsKept(t *testing.T) {
	v := New()
	load := func(offset int64) platform.KeyedRecord {
		return platform.KeyedRecord{Key: LoadKey, Value: []byte{byte(offset)}, Offset: offset}
	}
	v.StartReload()
	assert.NilError(t, v.Apply(load(4)))
	v.FinishReload()
	assert.NilError(t, v.Apply(load(4)))
	record, _ := v.Load()
	assert.Assert(t, record == nil)
	assert.NilError(t, v.Apply(load(6)))
	assert.NilError(t, v.Apply(load(5)))
	record, offset := v.Load()
	assert.DeepEqual(t, record, []byte{6})
	assert.Equal(t, offset, int64(6))
	assert.Equal(t, v.Len(), 0)
}
