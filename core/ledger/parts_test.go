package ledger

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// storedRecords holds the stored records of one job's state.
type storedRecords struct {
	main  []byte
	parts map[int][]byte
	// maxRecord is the largest size of a record that is expected.
	maxRecord int
}

func newStoredRecords() *storedRecords {
	return &storedRecords{parts: map[int][]byte{}, maxRecord: 4096}
}

// take takes the records that are not stored, stores the first limit of them, and returns
// the size of all.
func (s *storedRecords) take(t *testing.T, e *Entry, limit int) (bytes int) {
	t.Helper()
	records, err := e.TakeStateRecords()
	assert.NilError(t, err)
	for i, r := range records {
		assert.Assert(t, len(r.Value) <= s.maxRecord, "record of %d bytes", len(r.Value))
		bytes += len(r.Value)
		switch {
		case i >= limit:
		case r.Part == MainPart:
			s.main = r.Value
		default:
			s.parts[r.Part] = r.Value
		}
	}
	return bytes
}

func (s *storedRecords) restore(t *testing.T, j *job.Job) (*Ledger, *Entry) {
	t.Helper()
	l := New()
	assert.NilError(t, l.RestoreParts(j, s.main, s.parts))
	return l, l.Entry(j.ID)
}

const (
	allRecords     = 1 << 30
	testCheckpoint = "00000bb87a21d94b"
)

// placeAll places all tasks of step s and records their checkpoints.
func placeAll(l *Ledger, e *Entry, s int) {
	for i := range e.Job.Steps[s].Count {
		l.Place(task(s, i), 1, "w1")
		l.Checkpoint(task(s, i), 1, testCheckpoint)
	}
}

// Guards against a job whose state outgrows a record of the store (12,000 tasks with
// checkpoints had 276 KB), and against a cost of each change that grows with the job.
func TestStateOfLargeJobIsStoredInParts(t *testing.T) {
	for _, count := range []int{12_000, 100_000} {
		l := New()
		e := l.Accept(testJob(step(count), step(1, 0)))
		placeAll(l, e, 0)
		stored := newStoredRecords()
		stored.take(t, e, allRecords)
		last := count - 1
		l.RecordCompletion(task(0, last), 1, platform.CompletionDone, "")
		assert.Assert(t, stored.take(t, e, allRecords) < 4096)
		_, restored := stored.restore(t, e.Job)
		assert.Equal(t, restored.PlacedCount(), last)
		assert.Equal(t, restored.Occurrences[0].Steps[0].Done, 1)
		first, _ := restored.Task(task(0, 0))
		assert.DeepEqual(t, first, Task{Phase: Placed, Attempt: 1, Worker: "w1", Checkpoint: testCheckpoint})
		for i := range last {
			l.RecordCompletion(task(0, i), 1, platform.CompletionDone, "")
		}
		l.Place(task(1, 0), 1, "w1")
		l.RecordCompletion(task(1, 0), 1, platform.CompletionDone, "")
		stored.take(t, e, allRecords)
		summary, err := DecodeSummary(stored.main)
		assert.NilError(t, err)
		assert.Equal(t, summary.State, job.StateCompleted)
		_, restored = stored.restore(t, e.Job)
		assert.Equal(t, restored.State(), job.StateCompleted)
	}
}

// Guards against parts that are taken for another occurrence's or step's tasks.
func TestPartsOfARepeatedJob(t *testing.T) {
	j := testJob(step(3), step(50, 0), step(7))
	j.Repeat = job.Repeat{Count: 20, IntervalMS: 5}
	l := New()
	e := l.Accept(j)
	id := job.TaskID{StepID: job.StepID{Job: testID, Occurrence: 13, Step: 1}, Index: 49}
	l.Place(id, 1, "w1")
	stored := newStoredRecords()
	stored.take(t, e, allRecords)
	assert.Equal(t, len(stored.parts), 1)
	_, restored := stored.restore(t, j)
	restored.ForEachPlaced(func(placed job.TaskID, _ Task) { assert.Equal(t, placed, id) })
	assert.Equal(t, restored.PlacedCount(), 1)
}

// Guards against an upgrade that loses the state of a large job: the previous version
// stored it as one record.
func TestLargeJobOfThePreviousVersionIsRestored(t *testing.T) {
	l := New()
	e := l.Accept(testJob(step(300)))
	placeAll(l, e, 0)
	record, err := EncodeState(e)
	assert.NilError(t, err)
	stored := newStoredRecords()
	stored.main = record
	l, e = stored.restore(t, e.Job)
	assert.Equal(t, e.PlacedCount(), 300)
	l.RecordCompletion(task(0, 7), 1, platform.CompletionDone, "")
	stored.take(t, e, allRecords)
	assert.Equal(t, len(stored.parts), 5)
	_, e = stored.restore(t, e.Job)
	assert.Equal(t, e.PlacedCount(), 299)
}

// Guards against a silent rollback: the previous version must not take the main record of a
// large job for a state without tasks. Guards too against a changed record of a small job.
func TestPreviousVersionReadsSmallJobsAndRejectsLargeOnes(t *testing.T) {
	large, small := New().Accept(testJob(step(300))), New().Accept(testJob(step(256)))
	records, err := large.TakeStateRecords()
	assert.NilError(t, err)
	var previous storedEntry
	assert.Assert(t, cbor.Unmarshal(records[len(records)-1].Value[headerBytes:], &previous) != nil)
	records, err = small.TakeStateRecords()
	assert.NilError(t, err)
	state, err := EncodeState(small)
	assert.NilError(t, err)
	assert.DeepEqual(t, records, []StateRecord{{Value: state}})
}

// Guards against a job that never ends because its owner failed after it had stored some of
// the parts: a gang with some members done, or a task that has failed as often as it may.
func TestPartlyStoredChangesAreCompleted(t *testing.T) {
	for _, kind := range []platform.CompletionKind{platform.CompletionDone, platform.CompletionFailed} {
		for limit := range 7 {
			j := testJob(step(300))
			j.Steps[0].Gang, j.Queue.MaxAttempts = kind == platform.CompletionDone, 1
			l := New()
			e := l.Accept(j)
			placeAll(l, e, 0)
			stored := newStoredRecords()
			stored.take(t, e, allRecords)
			l.RecordCompletion(task(0, 0), 1, kind, "")
			stored.take(t, e, limit)
			l, e = stored.restore(t, j)
			if limit == 0 {
				assert.Equal(t, e.State(), job.StateActive)
				continue
			}
			assert.Assert(t, e.IsClosed(), "%s, %d records stored", kind, limit)
			stored.take(t, l.Entry(testID), allRecords)
			summary, err := DecodeSummary(stored.main)
			assert.NilError(t, err)
			assert.Equal(t, summary.State, e.State())
		}
	}
}

// Guards against a process that ends because a part is for another job.
func TestRestoreRejectsPartsOfAnotherJob(t *testing.T) {
	l := New()
	e := l.Accept(testJob(step(300)))
	placeAll(l, e, 0)
	stored := newStoredRecords()
	stored.take(t, e, allRecords)
	assert.ErrorContains(t, New().RestoreParts(testJob(step(290)), stored.main, stored.parts), "44 tasks in the record and 34 in the job")
	assert.ErrorContains(t, New().RestoreParts(testJob(step(257)), stored.main, map[int][]byte{6: stored.parts[5]}), "no part 6")
}

// Guards against a job that the store refuses for good because its checkpoints are long, and
// against an owner that fails while the state is divided further: the next one must find the
// last state that is stored whole.
func TestStateWithLongCheckpointsIsDividedFurther(t *testing.T) {
	for _, c := range []struct{ tasks, longBytes, parts int }{
		{tasks: 200, longBytes: 600, parts: 4},      // was one record
		{tasks: 200, longBytes: 4000, parts: 13},    // was one record, parts of 16 tasks
		{tasks: 200, longBytes: 60_000, parts: 200}, // was one record, parts of one task
		{tasks: 1000, longBytes: 4000, parts: 63},
		{tasks: 1000, longBytes: 15_000, parts: 250},
	} {
		records := c.parts + 1
		for _, limit := range []int{0, 1, records / 2, records - 1, records} {
			l := New()
			e := l.Accept(testJob(step(c.tasks)))
			stored := newStoredRecords()
			stored.maxRecord = maxRecordBytes
			placeAll(l, e, 0)
			stored.take(t, e, allRecords)
			partsBefore := len(stored.parts)
			for i := range c.tasks {
				l.Checkpoint(task(0, i), 1, strings.Repeat("x", c.longBytes))
				l.Lost(task(0, i), 1)
			}
			stored.take(t, e, limit)
			_, restored := stored.restore(t, e.Job)
			placed, checkpointBytes := c.tasks, len(testCheckpoint)
			if limit == records {
				placed, checkpointBytes = 0, c.longBytes
				assert.Equal(t, len(stored.parts)-partsBefore, c.parts)
			}
			assert.Equal(t, restored.PlacedCount(), placed)
			for i := range c.tasks {
				restoredTask, _ := restored.Task(task(0, i))
				assert.Equal(t, len(restoredTask.Checkpoint), checkpointBytes, "task %d, %d records stored", i, limit)
			}
		}
	}
}
