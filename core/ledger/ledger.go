package ledger

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// Ledger is the table of all jobs that the owner knows.
type Ledger struct {
	entries map[job.ID]*Entry
	// open lists the entries in the order in which they were added. OpenJobs
	// removes those of closed jobs.
	open []*Entry
	// changed holds the jobs whose current state is not stored yet.
	changed map[job.ID]*Entry
}

// New returns an empty job table.
func New() *Ledger {
	return &Ledger{entries: map[job.ID]*Entry{}, changed: map[job.ID]*Entry{}}
}

// Accept adds a job and returns its entry. A job that is already known stays
// unchanged.
func (l *Ledger) Accept(j *job.Job) *Entry {
	if e, ok := l.entries[j.ID]; ok {
		return e
	}
	e := newEntry(j)
	l.entries[j.ID] = e
	l.open = append(l.open, e)
	return e
}

// Entry returns a job's entry, or nil if the job is unknown.
func (l *Ledger) Entry(id job.ID) *Entry { return l.entries[id] }

// Len returns the number of known jobs.
func (l *Ledger) Len() int { return len(l.entries) }

// Drop removes a job, which must be closed.
func (l *Ledger) Drop(id job.ID) {
	delete(l.entries, id)
	delete(l.changed, id)
}

// OpenJobs returns the jobs that may start tasks, in the order in which they
// were accepted or restored. The slice is valid until the next call.
func (l *Ledger) OpenJobs() []*Entry {
	kept := l.open[:0]
	for _, e := range l.open {
		if !e.IsClosed() {
			kept = append(kept, e)
		}
	}
	clear(l.open[len(kept):])
	l.open = kept
	return l.open
}

// Cancel marks a job as cancelled. It reports whether that changed anything.
func (l *Ledger) Cancel(id job.ID) bool {
	e := l.entries[id]
	if e == nil || e.IsClosed() {
		return false
	}
	e.Cancelled = true
	l.changed[id] = e
	return true
}

// Begin records that a worker has reported a task of the job. It reports whether that is
// the first one, so that clients see the job differently. The state is stored with the
// next change: a later owner learns it from the workers too. Completions and checkpoints
// show the same.
func (l *Ledger) Begin(id job.ID) bool {
	e := l.entries[id]
	if e == nil || e.Begun {
		return false
	}
	e.Begun = true
	return e.State() == job.StateActive
}

// Place records that an attempt of a task is about to be sent to a worker. The
// state record must be stored before the start request is sent, so that a later
// owner knows where the task may be executing.
func (l *Ledger) Place(id job.TaskID, attempt int, worker domain.WorkerID) {
	e := l.entries[id.Job]
	if e == nil {
		return
	}
	e.place(id, attempt, worker)
	e.division.markTask(id)
	l.changed[id.Job] = e
}

// NextAttempt returns the number of the next attempt of a task. It is the same
// for all members of a gang.
func (l *Ledger) NextAttempt(id job.StepID, index int) int {
	e := l.entries[id.Job]
	o := e.Occurrences[id.Occurrence]
	if o == nil {
		return 1
	}
	if !e.Job.Steps[id.Step].Gang {
		return o.Steps[id.Step].Tasks[index].Attempt + 1
	}
	highest := 0
	for _, t := range o.Steps[id.Step].Tasks {
		highest = max(highest, t.Attempt)
	}
	return highest + 1
}

// Checkpoint records the saved progress of the placed attempt. It does not mark
// the job as changed: if the owner fails before the next state record, the
// progress is lost, which costs work but breaks no guarantee.
func (l *Ledger) Checkpoint(id job.TaskID, attempt int, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if e := l.entries[id.Job]; e != nil {
		if _, t := e.task(id); t != nil && t.Phase == Placed && t.Attempt == attempt {
			t.Checkpoint, e.Begun = checkpoint, true
		}
	}
}

// RecordCompletion records that an attempt finished. If it is not the placed
// attempt, only done and failed count: a task is done once any of its attempts
// is done, and every failed attempt counts toward the limit. RecordCompletion
// reports whether the completion concerns the placed attempt.
func (l *Ledger) RecordCompletion(id job.TaskID, attempt int, kind platform.CompletionKind, checkpoint string) bool {
	e := l.entries[id.Job]
	if e == nil {
		return false
	}
	step, t := e.task(id)
	if t == nil {
		return false
	}
	current := t.Phase == Placed && t.Attempt == attempt
	e.Begun = true
	l.changed[id.Job] = e
	e.division.markTask(id)
	spec := e.Job.Steps[id.Step]
	switch kind {
	case platform.CompletionDone:
		l.recordDone(e, id, step, t, spec)
	case platform.CompletionFailed:
		l.recordFailure(e, step, t, attempt, spec)
	}
	if current && t.Phase == Placed {
		e.release(step, t)
	}
	if current && checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	return current
}

// recordDone records an attempt that finished as done. A long-running task
// never becomes done. In a gang, one done member makes all members done.
func (l *Ledger) recordDone(e *Entry, id job.TaskID, step *Step, t *Task, spec job.Step) {
	switch {
	case spec.LongRunning:
	case spec.Gang:
		e.markStepDone(id.StepID, step)
	default:
		e.markDone(id.Occurrence, step, t)
	}
}

// recordFailure counts a failed attempt. Earlier attempts than the placed one
// count too, because the queue's limit applies to all failed attempts of a
// task.
func (l *Ledger) recordFailure(e *Entry, step *Step, t *Task, attempt int, spec job.Step) {
	if spec.LongRunning || !t.addFailure(attempt) {
		return
	}
	failureCount := t.failureCount()
	if spec.Gang {
		failureCount = step.gangFailureCount()
	}
	bound := e.Job.Queue.MaxAttempts
	if bound == 0 || failureCount < bound || t.Phase == Done {
		return
	}
	e.Failed = true
	if t.Phase == Placed && t.Attempt == attempt {
		e.release(step, t)
	}
	// A newer attempt that may be executing stays placed until it has been
	// stopped.
	if t.Phase == Waiting {
		t.Phase = Exhausted
	}
}

// Lost records that the placed attempt is certainly not executing and will
// report no completion: its worker is gone, or the start was never carried out.
// It reports whether the attempt was the placed one.
func (l *Ledger) Lost(id job.TaskID, attempt int) bool {
	e := l.entries[id.Job]
	if e == nil {
		return false
	}
	step, t := e.task(id)
	if t == nil || t.Phase != Placed || t.Attempt != attempt {
		return false
	}
	e.release(step, t)
	l.changed[id.Job] = e
	e.division.markTask(id)
	return true
}

// TakeChanged returns the jobs whose state has to be stored and marks them as
// stored. MarkChanged undoes that.
func (l *Ledger) TakeChanged() []*Entry {
	if len(l.changed) == 0 {
		return nil
	}
	out := make([]*Entry, 0, len(l.changed))
	for _, e := range l.changed {
		out = append(out, e)
	}
	clear(l.changed)
	return out
}

// HasChanges reports whether the state of any job has to be stored.
func (l *Ledger) HasChanges() bool { return len(l.changed) > 0 }

// IsChanged reports whether the state of the job has to be stored.
func (l *Ledger) IsChanged(id job.ID) bool { return l.changed[id] != nil }

// MarkChanged schedules the state of the job to be stored with the next append.
func (l *Ledger) MarkChanged(e *Entry) { l.changed[e.Job.ID] = e }

// ForEach calls f for every job, in unspecified order.
func (l *Ledger) ForEach(f func(*Entry)) {
	for _, e := range l.entries {
		f(e)
	}
}
