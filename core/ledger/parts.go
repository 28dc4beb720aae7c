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
	// maxPartTasks is the number of tasks in a part of the state of a larger job, unless
	// such parts outgrow maxRecordBytes.
	maxPartTasks = 64
	// partShrinkFactor is the factor by which parts that are too large get fewer tasks.
	partShrinkFactor = 4
	// maxRecordBytes is the size from which on a record is divided further. Checkpoints
	// may be of any length.
	maxRecordBytes = 64 << 10
	// partNumberStride is the distance between the first parts of two divisions. No
	// division has as many parts.
	partNumberStride = 1 << 40
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
// all occurrences are numbered step by step, and each part has partTasks of them. The main
// record names partTasks. Divisions into parts of different sizes number their parts
// differently, so the parts of the former division stay valid until the main record of the
// new one is stored.
type division struct {
	partTasks int
	// before is the number before that of the first part.
	before int
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

// initialDivision returns how the state of a job is divided at first; nil if it is one
// record.
func initialDivision(j *job.Job) *division {
	if d := newDivision(j, maxPartTasks); d.tasks > maxUndividedTasks {
		return d
	}
	return nil
}

// newDivision returns a division into parts of the given number of tasks.
func newDivision(j *job.Job, partTasks int) *division {
	d := &division{partTasks: partTasks, changed: map[int]bool{}}
	for _, s := range j.Steps {
		d.stepOffsets = append(d.stepOffsets, d.occurrenceTasks)
		d.occurrenceTasks += s.Count
	}
	d.tasks = d.occurrenceTasks * j.Occurrences()
	for larger := maxPartTasks; larger > partTasks; larger /= partShrinkFactor {
		d.before += partNumberStride
	}
	return d
}

// partCount returns the number of parts.
func (d *division) partCount() int { return (d.tasks + d.partTasks - 1) / d.partTasks }

// has reports whether the division has a part of the given number.
func (d *division) has(part int) bool { return part > d.before && part-d.before <= d.partCount() }

// markTask marks the part that contains a task as changed.
func (d *division) markTask(id job.TaskID) {
	if d != nil {
		d.changed[d.before+1+(id.Occurrence*d.occurrenceTasks+d.stepOffsets[id.Step]+id.Index)/d.partTasks] = true
	}
}

// markAll marks all parts as changed.
func (d *division) markAll() {
	for i := range d.partCount() {
		d.changed[d.before+1+i] = true
	}
}

// allDivisions returns the divisions that the state of a job may have.
func allDivisions(j *job.Job) []*division {
	var out []*division
	for partTasks := maxPartTasks; partTasks > 0; partTasks /= partShrinkFactor {
		out = append(out, newDivision(j, partTasks))
	}
	return out
}

// forEachTask calls f for the tasks of a part, until f returns an error.
func (d *division) forEachTask(part int, f func(i int, id job.TaskID) error) error {
	first := d.firstTask(part)
	for i := range d.taskCount(part) {
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

// firstTask returns the number of the first task of a part.
func (d *division) firstTask(part int) int { return (part - d.before - 1) * d.partTasks }

// taskCount returns the number of tasks in a part.
func (d *division) taskCount(part int) int { return min(d.partTasks, d.tasks-d.firstTask(part)) }

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
		if err != nil || len(record) <= maxRecordBytes {
			return []StateRecord{{Value: record}}, err
		}
		e.divide(maxPartTasks)
	}
	out, err := e.encodeChangedParts()
	if err != nil {
		return nil, err
	}
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

// divide divides the state into parts of the given number of tasks. All of them have to be
// stored.
func (e *Entry) divide(partTasks int) {
	e.division = newDivision(e.Job, partTasks)
	e.division.markAll()
}

// encodeChangedParts returns the records of the parts that are not stored, in the order of
// their numbers. It divides the state into smaller parts until each fits into a record or
// has one task.
func (e *Entry) encodeChangedParts() ([]StateRecord, error) {
	var out []StateRecord
	for part := range e.division.changed {
		value, err := e.encodePart(part)
		if err != nil {
			return nil, err
		}
		if len(value) > maxRecordBytes && e.division.partTasks > 1 {
			e.divide(e.division.partTasks / partShrinkFactor)
			return e.encodeChangedParts()
		}
		out = append(out, StateRecord{Part: part, Value: value})
	}
	slices.SortFunc(out, func(a, b StateRecord) int { return a.Part - b.Part })
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
	body, err := cbor.Marshal(storedDivision{Cancelled: e.Cancelled, Failed: e.Failed, PartTasks: e.division.partTasks})
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

// restoreDivided restores the state of a job whose main record is a storedDivision.
func (e *Entry) restoreDivided(stored storedDivision, record []byte, parts map[int][]byte) error {
	summary, err := DecodeSummary(record)
	if err != nil {
		return err
	}
	divisions := allDivisions(e.Job)
	i := slices.IndexFunc(divisions, func(d *division) bool { return d.partTasks == stored.PartTasks })
	if i < 0 {
		return fmt.Errorf("the state has parts of %d tasks, which this version cannot read", stored.PartTasks)
	}
	e.Cancelled, e.Failed, e.Started, e.Begun = stored.Cancelled, stored.Failed, summary.Started, summary.State == job.StateActive
	e.division = divisions[i]
	e.division.main = record
	return e.restoreAllParts(parts)
}

// restoreAllParts restores the parts of the current division. Those of another one are not
// valid any more, or were stored before the main record that would make them valid.
func (e *Entry) restoreAllParts(parts map[int][]byte) error {
	divisions := allDivisions(e.Job)
	for part, value := range parts {
		if !slices.ContainsFunc(divisions, func(d *division) bool { return d.has(part) }) {
			return fmt.Errorf("the job has no part %d", part)
		}
		if !e.division.has(part) {
			continue
		}
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
	e.division.markAll()
	return nil
}

func (e *Entry) restorePart(part int, value []byte) error {
	var stored storedPart
	if err := cbor.Unmarshal(value, &stored); err != nil {
		return fmt.Errorf("part %d: %w", part, err)
	}
	if count := e.division.taskCount(part); !stored.Done && len(stored.Tasks) != count {
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
