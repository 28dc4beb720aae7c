package ledger

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
)

// A state record starts with three bytes that can be read without decoding the
// rest. The first three constants are their offsets.
const (
	stateByte   = 0
	startedByte = 1
	placedByte  = 2
	headerBytes = 3
)

// stateCodes lists the job states by the value of the state byte.
var stateCodes = []job.State{
	job.StatePending, job.StateActive, job.StateCompleted, job.StateFailed, job.StateCancelled,
}

// Summary is the part of a state record that is needed to answer clients.
type Summary struct {
	State   job.State
	Started bool
	// Placed is true if tasks may be executing.
	Placed bool
}

// Finished reports whether nothing is left to do for the job.
func (s Summary) Finished() bool { return s.State.IsFinal() && !s.Placed }

// Record returns the first bytes of a state record with this summary.
func (s Summary) Record() []byte {
	record := make([]byte, headerBytes)
	record[stateByte] = byte(max(0, slices.Index(stateCodes, s.State)))
	if s.Started {
		record[startedByte] = 1
	}
	if s.Placed {
		record[placedByte] = 1
	}
	return record
}

// DecodeSummary reads the first bytes of a state record.
func DecodeSummary(record []byte) (Summary, error) {
	if len(record) < headerBytes || int(record[stateByte]) >= len(stateCodes) {
		return Summary{}, fmt.Errorf("state record of %d bytes is too short or has an unknown state", len(record))
	}
	return Summary{
		State: stateCodes[record[stateByte]], Started: record[startedByte] == 1, Placed: record[placedByte] == 1,
	}, nil
}

// The stored types are encoded as arrays to keep records small: the record is
// written again whenever one of its tasks changes.
type (
	storedEntry struct {
		_           struct{} `cbor:",toarray"`
		Cancelled   bool
		Failed      bool
		Workers     []domain.WorkerID
		Occurrences []storedOccurrence
	}
	storedOccurrence struct {
		_     struct{} `cbor:",toarray"`
		Index int
		Steps []storedStep
	}
	storedStep struct {
		_ struct{} `cbor:",toarray"`
		// Done is set if all tasks are done; Tasks is then empty.
		Done  bool
		Tasks []storedTask
	}
	storedTask struct {
		_              struct{} `cbor:",toarray"`
		Phase          Phase
		Attempt        int
		FailedAttempts []int
		// Worker is an index into storedEntry.Workers.
		Worker     int
		Checkpoint string
	}
)

// EncodeState returns the state of a job as one record.
func EncodeState(e *Entry) ([]byte, error) {
	stored := storedEntry{Cancelled: e.Cancelled, Failed: e.Failed}
	workers := workerTable{indexes: map[domain.WorkerID]int{}}
	for k, o := range e.Occurrences {
		if o != nil {
			stored.Occurrences = append(stored.Occurrences, encodeOccurrence(k, o, &workers))
		}
	}
	stored.Workers = workers.names
	body, err := cbor.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encode state of job %s: %w", e.Job.ID, err)
	}
	return append(e.summary().Record(), body...), nil
}

func (e *Entry) summary() Summary {
	return Summary{State: e.State(), Started: e.Started, Placed: e.PlacedCount() > 0}
}

// workerTable lists the workers that the tasks of a record refer to by their indexes.
type workerTable struct {
	names   []domain.WorkerID
	indexes map[domain.WorkerID]int
}

func (w *workerTable) encodeTask(t Task) storedTask {
	index, ok := w.indexes[t.Worker]
	if !ok {
		index = len(w.names)
		w.indexes[t.Worker] = index
		w.names = append(w.names, t.Worker)
	}
	return storedTask{Phase: t.Phase, Attempt: t.Attempt, FailedAttempts: t.FailedAttempts, Worker: index, Checkpoint: t.Checkpoint}
}

func encodeOccurrence(index int, o *Occurrence, workers *workerTable) storedOccurrence {
	out := storedOccurrence{Index: index, Steps: make([]storedStep, len(o.Steps))}
	for i := range o.Steps {
		s := &o.Steps[i]
		out.Steps[i] = storedStep{Done: s.Done == len(s.Tasks)}
		if out.Steps[i].Done {
			continue
		}
		for _, t := range s.Tasks {
			out.Steps[i].Tasks = append(out.Steps[i].Tasks, workers.encodeTask(t))
		}
	}
	return out
}

// Restore adds a job with the state in its newest state record. record is nil
// if no state is stored.
func (l *Ledger) Restore(j *job.Job, record []byte) error { return l.RestoreParts(j, record, nil) }

// RestoreParts adds a job like Restore, with the newest records of the parts of its state.
func (l *Ledger) RestoreParts(j *job.Job, record []byte, parts map[int][]byte) error {
	e := newEntry(j)
	if err := e.restoreRecords(record, parts); err != nil {
		return fmt.Errorf("restore job %s: %w", j.ID, err)
	}
	l.entries[j.ID] = e
	l.open = append(l.open, e)
	if e.division != nil && e.division.incomplete {
		l.changed[j.ID] = e
	}
	return nil
}

func (e *Entry) restoreRecords(record []byte, parts map[int][]byte) error {
	var divided storedDivision
	switch {
	case record == nil && e.division == nil:
		return nil // Parts are valid once their main record is stored.
	case record == nil:
		return e.restoreAllParts(parts)
	case len(record) > headerBytes && cbor.Unmarshal(record[headerBytes:], &divided) == nil:
		return e.restoreDivided(divided, record, parts)
	case e.division != nil:
		return e.restoreUndividedLargeJob(record)
	}
	return e.restore(record)
}

func (e *Entry) restore(record []byte) error {
	summary, err := DecodeSummary(record)
	if err != nil {
		return err
	}
	var stored storedEntry
	if err := cbor.Unmarshal(record[headerBytes:], &stored); err != nil {
		return err
	}
	e.Cancelled, e.Failed, e.Started, e.Begun = stored.Cancelled, stored.Failed, summary.Started, summary.State == job.StateActive
	for _, o := range stored.Occurrences {
		if o.Index < 0 || o.Index >= len(e.Occurrences) || len(o.Steps) != len(e.Job.Steps) {
			return fmt.Errorf("occurrence %d with %d steps does not fit the job", o.Index, len(o.Steps))
		}
		if e.Occurrences[o.Index] != nil {
			return fmt.Errorf("the record has occurrence %d twice", o.Index)
		}
		if err := e.restoreOccurrence(o, stored.Workers); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) restoreOccurrence(stored storedOccurrence, workers []domain.WorkerID) error {
	o := e.ensureOccurrence(stored.Index)
	for i, s := range stored.Steps {
		step := &o.Steps[i]
		if !s.Done && len(s.Tasks) != len(step.Tasks) {
			return fmt.Errorf("step %d has %d tasks in the record and %d in the job", i, len(s.Tasks), len(step.Tasks))
		}
		for index := range step.Tasks {
			t := &step.Tasks[index]
			if s.Done {
				e.markDone(stored.Index, step, t)
				continue
			}
			if err := e.restoreTask(stored.Index, step, t, s.Tasks[index], workers); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *Entry) restoreTask(occurrence int, step *Step, t *Task, s storedTask, workers []domain.WorkerID) error {
	if s.Worker < 0 || s.Worker >= len(workers) {
		return fmt.Errorf("the record refers to worker %d but lists only %d", s.Worker, len(workers))
	}
	if s.Phase > Exhausted || s.Attempt < 0 {
		return fmt.Errorf("the record has a task in phase %d with attempt number %d", s.Phase, s.Attempt)
	}
	*t = Task{Attempt: s.Attempt, FailedAttempts: s.FailedAttempts, Worker: workers[s.Worker], Checkpoint: s.Checkpoint}
	switch s.Phase {
	case Placed:
		t.Phase = Placed
		step.Placed++
		e.placed++
	case Done:
		e.markDone(occurrence, step, t)
	default:
		t.Phase = s.Phase
	}
	return nil
}

// storedJob is the CBOR part of an acceptance record. The name of the queue
// precedes it, so that it can be read without decoding the job. The stored form
// contains the field names of job.Job and of the types in it: if such a field is
// renamed, jobs that are already stored lose its value.
type storedJob struct {
	_   struct{} `cbor:",toarray"`
	Job job.Job
}

// maxQueueNameBytes bounds the queue name in an acceptance record: its length
// is stored in one byte.
const maxQueueNameBytes = 255

// EncodeJob returns the acceptance record of a job.
func EncodeJob(j *job.Job) ([]byte, error) {
	name := j.Queue.Route
	if len(name) > maxQueueNameBytes {
		return nil, fmt.Errorf("queue name of %d bytes is too long; use at most %d", len(name), maxQueueNameBytes)
	}
	body, err := cbor.Marshal(storedJob{Job: *j})
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	record := append([]byte{byte(len(name))}, name...)
	return append(record, body...), nil
}

// DecodeQueueName reads the queue name from an acceptance record.
func DecodeQueueName(record []byte) (string, error) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return "", fmt.Errorf("acceptance record of %d bytes is too short", len(record))
	}
	return string(record[1 : 1+int(record[0])]), nil
}

// accountField is the name of job.Job.Account in an acceptance record.
const accountField = "Account"

// DecodeAccount reads the account from an acceptance record. It is empty for a job that
// belongs to no account; such a record, like those of former versions, lacks the field and
// is not decoded.
func DecodeAccount(record []byte) (string, error) {
	name, err := DecodeQueueName(record)
	if err != nil {
		return "", err
	}
	body := record[1+len(name):]
	if !bytes.Contains(body, []byte(accountField)) {
		return "", nil
	}
	var stored struct {
		_   struct{} `cbor:",toarray"`
		Job struct{ Account string }
	}
	if err := cbor.Unmarshal(body, &stored); err != nil {
		return "", fmt.Errorf("decode account of acceptance record: %w", err)
	}
	return stored.Job.Account, nil
}

// DecodeJob reads an acceptance record.
func DecodeJob(record []byte) (*job.Job, error) {
	name, err := DecodeQueueName(record)
	if err != nil {
		return nil, err
	}
	var stored storedJob
	if err := cbor.Unmarshal(record[1+len(name):], &stored); err != nil {
		return nil, fmt.Errorf("decode acceptance record: %w", err)
	}
	if err := stored.Job.Validate(); err != nil {
		return nil, fmt.Errorf("decode acceptance record: %w", err)
	}
	return &stored.Job, nil
}
