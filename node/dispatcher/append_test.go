package dispatcher

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

// storeJob appends the acceptance of a job of the given number of tasks and, as the
// previous owner, its state: each task has a checkpoint.
func (to *takeover) storeJob(id job.ID, tasks int, checkpoint string) {
	to.t.Helper()
	table := ledger.New()
	entry := table.Accept(&job.Job{
		ID: id, Queue: job.Queue{Route: "checks", Service: "desk"},
		Steps: []job.Step{{Count: tasks, Need: domain.Resources{CPUMilli: 1}, Estimate: time.Second}},
	})
	accepted, err := ledger.EncodeJob(entry.Job)
	assert.NilError(to.t, err)
	to.append(to.cfg.Platform.Requests, platform.KeyedRecord{Key: jobview.Key(jobview.KindJob, id), Value: accepted})
	for i := range tasks {
		task := job.TaskID{StepID: job.StepID{Job: id}, Index: i}
		table.Place(task, 1, "w1")
		table.Checkpoint(task, 1, checkpoint)
	}
	state, err := ledger.EncodeState(entry)
	assert.NilError(to.t, err)
	_, err = to.previousStates.Append(to.ctx, []platform.KeyedRecord{{Key: jobview.Key(jobview.KindState, id), Value: state}})
	assert.NilError(to.t, err)
}

func (to *takeover) append(p platform.Partition, r platform.KeyedRecord) {
	to.t.Helper()
	_, err := to.store.Append(to.ctx, platform.Append{Partition: p, Records: []platform.KeyedRecord{r}})
	assert.NilError(to.t, err)
}

// takeOver makes this node the owner and starts the scheduler.
func (to *takeover) takeOver() {
	to.t.Helper()
	record, offset := to.claim()
	to.observeOwner(record, offset)
	to.follow(to.cfg.StatesFollower)
	to.follow(to.cfg.RequestsFollower)
	assert.Assert(to.t, to.advanceUntil(5*time.Second, to.isScheduling))
}

// storedState returns the newest stored state of a job as clients see it.
func (to *takeover) storedState(id job.ID) job.State {
	to.t.Helper()
	page, err := to.store.ReadNewest(to.ctx, to.cfg.Platform.States, "")
	assert.NilError(to.t, err)
	for _, r := range page.Records {
		if r.Key == jobview.Key(jobview.KindState, id) {
			summary, err := ledger.DecodeSummary(r.Value)
			assert.NilError(to.t, err)
			return summary.State
		}
	}
	return ""
}

// heldMetric keeps the metric of the held jobs.
type heldMetric struct {
	noMetrics
	bytes map[string]int
}

func (m heldMetric) SetHeld(job string, bytes int) { m.bytes[job] = bytes }

// Guards against one job whose state the store refuses for good, after which no state of
// any job is stored and nothing is started.
func TestRefusedStateConcernsItsJobAlone(t *testing.T) {
	const large, small job.ID = "00000000000000a1", "00000000000000a2"
	to := newTakeover(t)
	held := heldMetric{bytes: map[string]int{}}
	to.cfg.Metrics = held
	to.cfg.Scheduler.Retention = time.Minute
	to.storeJob(large, 100, strings.Repeat("x", 100))
	to.storeJob(small, 1, "x")
	to.takeOver()
	to.store.SetLimits(5000, 0)
	to.append(to.cfg.Platform.Requests, platform.KeyedRecord{Key: jobview.Key(jobview.KindCancel, large), Value: []byte{1}})
	to.append(to.cfg.Platform.Requests, platform.KeyedRecord{Key: jobview.Key(jobview.KindCancel, small), Value: []byte{1}})
	assert.Assert(t, to.advanceUntil(3*time.Second, func() bool { return to.storedState(small) == job.StateCancelled }))
	assert.Equal(t, to.storedState(large), job.StateActive)
	assert.Assert(t, to.advanceUntil(time.Second, func() bool { return to.term.jobScheduler.HeldCount() == 1 }))
	assert.Assert(t, held.bytes[string(large)] > 5000, "%v", held.bytes)
	to.store.SetLimits(0, 0)
	assert.Assert(t, to.advanceUntil(8*time.Second, func() bool { return to.storedState(large) == job.StateCancelled }))
	assert.Assert(t, to.advanceUntil(3*time.Second, func() bool { return held.bytes[string(large)] == 0 }))
}

// stateRecords returns the newest records of the states whose keys contain the job's id.
func (to *takeover) stateRecords(id job.ID) []platform.KeyedRecord {
	to.t.Helper()
	page, err := to.store.ReadNewest(to.ctx, to.cfg.Platform.States, "")
	assert.NilError(to.t, err)
	return slices.DeleteFunc(page.Records, func(r platform.KeyedRecord) bool { return !strings.Contains(r.Key, string(id)) })
}

// The tasks of a large job, which the previous version stored as one record, are released
// when the lease of their worker has expired. Guards against a state, or a batch of states,
// that outgrows the store's limits, and against parts that stay in the store for ever.
func TestLargeJobIsStoredWithinTheStoresLimits(t *testing.T) {
	const large, small job.ID = "00000000000000a1", "00000000000000a2"
	const parts = 188
	to := newTakeover(t)
	to.storeJob(large, 12_000, "00000bb87a21d94b")
	to.storeJob(small, 1, "x")
	to.cfg.Platform.Limits = platform.StoreLimits{Record: 4096, Call: 30_000}
	to.takeOver()
	to.store.SetLimits(4096, 30_000)
	stored := func() bool { return len(to.stateRecords(large)) == parts+1 }
	assert.Assert(t, to.advanceUntil(10*time.Second, stored), "%d records", len(to.stateRecords(large)))
	view := jobview.New()
	for _, p := range []platform.Partition{to.cfg.Platform.Requests, to.cfg.Platform.States} {
		page, err := to.store.ReadNewest(to.ctx, p, "")
		assert.NilError(t, err)
		for _, r := range page.Records {
			assert.NilError(t, view.Apply(r))
		}
	}
	restored := view.Restore().Jobs.Entry(large)
	assert.Equal(t, restored.PlacedCount(), 0)
	waiting, _ := restored.Task(job.TaskID{StepID: job.StepID{Job: large}, Index: 11_999})
	assert.DeepEqual(t, waiting, ledger.Task{Attempt: 1, Worker: "w1", Checkpoint: "00000bb87a21d94b"})
	assert.Equal(t, to.term.jobScheduler.HeldCount(), 0)
	to.append(to.cfg.Platform.Requests, platform.KeyedRecord{Key: jobview.Key(jobview.KindCancel, large), Value: []byte{1}})
	assert.Assert(t, to.advanceUntil(5*time.Second, func() bool { return len(to.term.tombstones) > 0 }))
	to.append(to.cfg.Platform.Requests, platform.KeyedRecord{Key: jobview.Key(jobview.KindCancel, small), Value: []byte{1}})
	assert.Assert(t, to.advanceUntil(5*time.Second, func() bool { return len(to.stateRecords(large)) == 0 }), "%d records", len(to.stateRecords(large)))
}

// A worker reports long checkpoints for the tasks of a job of a few hundred. Guards against a
// job of which nothing is stored or started any more because its state outgrows a record.
func TestJobWithLongCheckpointsIsNotHeld(t *testing.T) {
	const id job.ID = "00000000000000a1"
	const tasks, maxRecord = 256, 256 << 10
	to := newTakeover(t)
	to.storeJob(id, tasks, strings.Repeat("x", 2000))
	to.cfg.Platform.Limits = platform.StoreLimits{Record: maxRecord, Call: 2 << 20}
	to.takeOver()
	to.store.SetLimits(maxRecord, 2<<20)
	released := func() bool {
		view := jobview.New()
		for _, r := range to.stateRecords(id) {
			assert.NilError(t, view.Apply(r))
		}
		page, err := to.store.ReadNewest(to.ctx, to.cfg.Platform.Requests, "")
		assert.NilError(t, err)
		for _, r := range page.Records {
			assert.NilError(t, view.Apply(r))
		}
		return view.Restore().Jobs.Entry(id).PlacedCount() == 0
	}
	assert.Assert(t, to.advanceUntil(10*time.Second, released))
	assert.Equal(t, to.term.jobScheduler.HeldCount(), 0)
}

// Guards against an owner that lets workers forget the ends of a job whose stored state it
// cannot decode, so that the next owner runs its tasks again.
func TestJobThatCannotBeDecodedIsHeld(t *testing.T) {
	const id job.ID = "00000000000000a1"
	to := newTakeover(t)
	to.storeJob(id, 1, "x")
	undecodable := append(ledger.Summary{State: job.StateActive, Started: true, Placed: true}.Record(), 0xff)
	_, err := to.previousStates.Append(to.ctx, []platform.KeyedRecord{{Key: jobview.Key(jobview.KindState, id), Value: undecodable}})
	assert.NilError(t, err)
	to.takeOver()
	assert.Equal(t, to.term.jobScheduler.HeldCount(), 1)
	assert.Equal(t, to.term.jobScheduler.State(id), job.State(""))
}
