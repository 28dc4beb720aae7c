package ledger

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
)

const (
	// maxUndividedTasks is the number of tasks, those of all occurrences together, up to
	// which the state of a job is one record.
	maxUndividedTasks = 256
	// partTasks is the number of tasks in a part of the state of a larger job.
	partTasks = 64
	// MainPart is the number of the state record that describes the whole job. The parts
	// of a larger job's state are numbered from 1.
	MainPart = 0
)

// StateRecord is a record of a job's state.
type StateRecord struct {
	// Part is MainPart or the number of a part.
	Part  int
	Value []byte
}

// division describes how the state of a large job is divided into parts: the tasks of
// all occurrences are numbered step by step, and each part has partTasks of them.
type division struct {
	// stepOffsets are the numbers of the first tasks of the steps in an occurrence.
	stepOffsets []int
	// occurrenceTasks is the number of tasks in an occurrence, tasks that of the job.
	occurrenceTasks, tasks int
	// changed are the parts whose state is not stored.
	changed map[int]bool
	// main is the main record that was stored last; nil if it is not known.
	main []byte
	// incomplete is true if the restored records lack something that follows from them.
	incomplete bool
}

// newDivision returns how the state of a job is divided; nil if it is one record.
func newDivision(j *job.Job) *division {
	d := &division{changed: map[int]bool{}}
	for _, s := range j.Steps {
		d.stepOffsets = append(d.stepOffsets, d.occurrenceTasks)
		d.occurrenceTasks += s.Count
	}
	d.tasks = d.occurrenceTasks * j.Occurrences()
	if d.tasks <= maxUndividedTasks {
		return nil
	}
	return d
}

// parts returns the number of parts.
func (d *division) parts() int { return (d.tasks + partTasks - 1) / partTasks }

// markTask marks the part that contains a task as changed.
func (d *division) markTask(id job.TaskID) {
	if d != nil {
		d.changed[1+(id.Occurrence*d.occurrenceTasks+d.stepOffsets[id.Step]+id.Index)/partTasks] = true
	}
}

// forEachTask calls f for the tasks of a part, until f returns an error.
func (d *division) forEachTask(part int, f func(i int, id job.TaskID) error) error {
	first := (part - 1) * partTasks
	for i := range min(partTasks, d.tasks-first) {
		occurrence, number := (first+i)/d.occurrenceTasks, (first+i)%d.occurrenceTasks
		step, found := slices.BinarySearch(d.stepOffsets, number)
		if !found {
			step--
		}
		id := job.TaskID{StepID: job.StepID{Occurrence: occurrence, Step: step}, Index: number - d.stepOffsets[step]}
		if err := f(i, id); err != nil {
			return err
		}
	}
	return nil
}

// The number of elements tells storedDivision from storedEntry, which a job that is large
// now may have been stored as by an earlier version.
type (
	storedDivision struct {
		_                 struct{} `cbor:",toarray"`
		Cancelled, Failed bool
		PartTasks         int
	}
	storedPart struct {
		_ struct{} `cbor:",toarray"`
		// Done is set if all tasks are done; Tasks is then empty.
		Done    bool
		Workers []domain.WorkerID
		Tasks   []storedTask
	}
)

// TakeStateRecords returns the records of the job's state that are not stored, the main
// record last, and marks them as stored. MarkUnstored undoes that.
func (e *Entry) TakeStateRecords() ([]StateRecord, error) {
	if e.division == nil {
		record, err := EncodeState(e)
		return []StateRecord{{Value: record}}, err
	}
	var out []StateRecord
	for part := range e.division.changed {
		value, err := e.encodePart(part)
		if err != nil {
			return nil, err
		}
		out = append(out, StateRecord{Part: part, Value: value})
	}
	slices.SortFunc(out, func(a, b StateRecord) int { return a.Part - b.Part })
	main, err := e.encodeMain()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(main, e.division.main) {
		out = append(out, StateRecord{Part: MainPart, Value: main})
	}
	clear(e.division.changed)
	e.division.main = main
	return out, nil
}

// MarkUnstored records that a record that was taken is not stored.
func (e *Entry) MarkUnstored(part int) {
	switch {
	case e.division == nil:
	case part == MainPart:
		e.division.main = nil
	default:
		e.division.changed[part] = true
	}
}

func (e *Entry) encodeMain() ([]byte, error) {
	body, err := cbor.Marshal(storedDivision{Cancelled: e.Cancelled, Failed: e.Failed, PartTasks: partTasks})
	if err != nil {
		return nil, fmt.Errorf("encode state of job %s: %w", e.Job.ID, err)
	}
	return append(e.summary().Record(), body...), nil
}

func (e *Entry) encodePart(part int) ([]byte, error) {
	stored := storedPart{Done: true}
	workers := workerTable{indexes: map[domain.WorkerID]int{}}
	_ = e.division.forEachTask(part, func(_ int, id job.TaskID) error {
		t := Task{}
		if o := e.Occurrences[id.Occurrence]; o != nil {
			t = o.Steps[id.Step].Tasks[id.Index]
		}
		stored.Done = stored.Done && t.Phase == Done
		stored.Tasks = append(stored.Tasks, workers.encodeTask(t))
		return nil
	})
	if stored.Workers = workers.names; stored.Done {
		stored.Workers, stored.Tasks = nil, nil
	}
	value, err := cbor.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encode part %d of the state of job %s: %w", part, e.Job.ID, err)
	}
	return value, nil
}

// restoreDivided restores the state of a large job.
func (e *Entry) restoreDivided(record []byte, parts map[int][]byte) error {
	if record != nil {
		summary, err := DecodeSummary(record)
		if err != nil {
			return err
		}
		var stored storedDivision
		if cbor.Unmarshal(record[headerBytes:], &stored) != nil {
			return e.restoreUndividedLargeJob(record)
		}
		if stored.PartTasks != partTasks {
			return fmt.Errorf("the state has parts of %d tasks; this version reads parts of %d", stored.PartTasks, partTasks)
		}
		e.Cancelled, e.Failed, e.Started = stored.Cancelled, stored.Failed, summary.Started
		e.division.main = record
	}
	for part, value := range parts {
		if err := e.restorePart(part, value); err != nil {
			return err
		}
	}
	return e.completeRestored()
}

// restoreUndividedLargeJob restores the state of a large job that is stored as one record.
// Parts of it may be stored too, but nothing that depends on them has been sent.
func (e *Entry) restoreUndividedLargeJob(record []byte) error {
	if err := e.restore(record); err != nil {
		return err
	}
	for part := range e.division.parts() {
		e.division.changed[1+part] = true
	}
	return nil
}

func (e *Entry) restorePart(part int, value []byte) error {
	if part < 1 || part > e.division.parts() {
		return fmt.Errorf("the job has no part %d", part)
	}
	var stored storedPart
	if err := cbor.Unmarshal(value, &stored); err != nil {
		return fmt.Errorf("part %d: %w", part, err)
	}
	count := min(partTasks, e.division.tasks-(part-1)*partTasks)
	if !stored.Done && len(stored.Tasks) != count {
		return fmt.Errorf("part %d has %d tasks in the record and %d in the job", part, len(stored.Tasks), count)
	}
	return e.division.forEachTask(part, func(i int, id job.TaskID) error {
		step, t := e.task(id)
		if stored.Done {
			e.markDone(id.Occurrence, step, t)
			return nil
		}
		return e.restoreTask(id.Occurrence, step, t, stored.Tasks[i], stored.Workers)
	})
}

// completeRestored draws the conclusions from restored tasks that the previous owner had
// drawn when it failed before it had stored all records.
func (e *Entry) completeRestored() error {
	for k, o := range e.Occurrences {
		if o == nil {
			continue
		}
		for i := range o.Steps {
			e.completeRestoredStep(job.StepID{Job: e.Job.ID, Occurrence: k, Step: i}, &o.Steps[i])
		}
	}
	main, err := e.encodeMain()
	e.division.incomplete = e.Started && (len(e.division.changed) > 0 || !bytes.Equal(main, e.division.main))
	return err
}

func (e *Entry) completeRestoredStep(id job.StepID, step *Step) {
	spec, bound := e.Job.Steps[id.Step], e.Job.Queue.MaxAttempts
	if spec.Gang && step.Done > 0 && step.Done < len(step.Tasks) {
		e.markStepDone(id, step)
	}
	if !spec.LongRunning && spec.Gang && bound > 0 && step.Done == 0 && step.gangFailureCount() >= bound {
		e.Failed = true
	}
	for i := range step.Tasks {
		t := &step.Tasks[i]
		e.Started = e.Started || t.Attempt > 0
		if t.Phase == Exhausted || !spec.LongRunning && !spec.Gang && bound > 0 && t.Phase != Done && t.failureCount() >= bound {
			e.Failed = true
		}
	}
}

// markStepDone marks all tasks of a step as done.
func (e *Entry) markStepDone(id job.StepID, step *Step) {
	for i := range step.Tasks {
		e.markDone(id.Occurrence, step, &step.Tasks[i])
		e.division.markTask(job.TaskID{StepID: id, Index: i})
	}
}
