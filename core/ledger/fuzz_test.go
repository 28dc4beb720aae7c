package ledger

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

func fuzzJob() *job.Job {
	step := job.Step{Count: 3, Need: domain.Resources{CPUMilli: 100}}
	second := step
	second.DependsOn = []int{0}
	return &job.Job{ID: "0123456789abcdef", Steps: []job.Step{step, second}, Queue: job.Queue{Route: "q", MaxAttempts: 2}, Repeat: job.Repeat{Count: 2, IntervalMS: 5}}
}

// Guards against an acceptance record that ends the process or that describes a job
// which no client could have submitted.
func FuzzAcceptanceRecord(f *testing.F) {
	record, err := EncodeJob(fuzzJob())
	assert.NilError(f, err)
	f.Add(record)
	f.Add([]byte{3, 'a'})
	f.Fuzz(func(t *testing.T, record []byte) {
		j, err := DecodeJob(record)
		if err != nil {
			return
		}
		assert.NilError(t, j.Validate())
		New().Accept(j)
	})
}

// Guards against a state record that ends the process, that leaves a job with tasks in
// no usable phase, or whose counts differ from its tasks.
func FuzzStateRecord(f *testing.F) {
	l := New()
	e := l.Accept(fuzzJob())
	first := job.TaskID{StepID: job.StepID{Job: e.Job.ID}}
	l.Place(first, 1, "w1")
	l.RecordCompletion(first, 1, platform.CompletionDone, "c")
	record, err := EncodeState(e)
	assert.NilError(f, err)
	f.Add(record)
	f.Add(record[:headerBytes])
	f.Fuzz(func(t *testing.T, record []byte) {
		restored := New()
		if restored.Restore(fuzzJob(), record) != nil {
			return
		}
		checkCounts(t, restored.Entry("0123456789abcdef"))
		_, err := EncodeState(restored.Entry("0123456789abcdef"))
		assert.NilError(t, err)
	})
}

// checkCounts compares the counts of a job with its tasks.
func checkCounts(t *testing.T, e *Entry) {
	t.Helper()
	placed := 0
	e.ForEachPlaced(func(job.TaskID, Task) { placed++ })
	assert.Equal(t, e.PlacedCount(), placed)
	for k := range e.Occurrences {
		for i := range e.Job.Steps {
			waiting, exhausted := 0, 0
			waiting = len(e.FirstWaiting(k, i, e.Job.Steps[i].Count))
			if o := e.Occurrences[k]; o != nil {
				for _, task := range o.Steps[i].Tasks {
					if task.Phase == Exhausted {
						exhausted++
					}
				}
			}
			assert.Equal(t, e.WaitingCount(k, i), waiting+exhausted)
		}
	}
}

// Guards against a part of a large job's state that ends the process or that leaves counts
// which differ from the tasks.
func FuzzStatePart(f *testing.F) {
	large := fuzzJob()
	large.Steps[0].Count = 300
	l := New()
	e := l.Accept(large)
	first := job.TaskID{StepID: job.StepID{Job: large.ID}}
	l.Place(first, 1, "w1")
	l.RecordCompletion(first, 1, platform.CompletionDone, "c")
	records, err := e.TakeStateRecords()
	assert.NilError(f, err)
	for _, r := range records {
		f.Add(r.Part, r.Value)
	}
	f.Fuzz(func(t *testing.T, part int, record []byte) {
		restored := New()
		parts := map[int][]byte{part: record}
		main := records[len(records)-1].Value
		if part == MainPart {
			main, parts = record, nil
		}
		if restored.RestoreParts(large, main, parts) != nil {
			return
		}
		checkCounts(t, restored.Entry(large.ID))
		_, err := restored.Entry(large.ID).TakeStateRecords()
		assert.NilError(t, err)
	})
}
