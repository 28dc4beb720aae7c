package ledger

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// Ledger is the book of all jobs that the owner knows.
type Ledger struct {
	entries map[job.ID]*Entry
	// open lists the entries that may start tasks, in order of acceptance.
	open []*Entry
	// changed are the jobs whose state record is not stored yet.
	changed map[job.ID]*Entry
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{entries: map[job.ID]*Entry{}, changed: map[job.ID]*Entry{}}
}

// Accept adds a job; a job that is known stays as it is.
func (l *Ledger) Accept(j *job.Job) *Entry {
	if e, ok := l.entries[j.ID]; ok {
		return e
	}
	e := newEntry(j)
	l.entries[j.ID] = e
	l.open = append(l.open, e)
	return e
}

// Entry returns a job's entry, or nil.
func (l *Ledger) Entry(id job.ID) *Entry { return l.entries[id] }

// Len returns the number of known jobs.
func (l *Ledger) Len() int { return len(l.entries) }

// Drop forgets a closed job.
func (l *Ledger) Drop(id job.ID) {
	delete(l.entries, id)
	delete(l.changed, id)
}

// OpenJobs returns the jobs that may start tasks, in order of acceptance. The
// slice is valid until the next call.
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

// Cancel marks a job as cancelled; it reports whether that changed anything.
func (l *Ledger) Cancel(id job.ID) bool {
	e := l.entries[id]
	if e == nil || e.IsClosed() {
		return false
	}
	e.Cancelled = true
	l.changed[id] = e
	return true
}

// Place records that a run of a task is about to be sent to a worker. The
// record must be stored before the start is sent, so that a later owner knows
// where the task may be executing.
func (l *Ledger) Place(id job.TaskID, run int, worker domain.WorkerID) {
	e := l.entries[id.Job]
	if e == nil {
		return
	}
	e.place(id, run, worker)
	l.changed[id.Job] = e
}

// NextAttempt returns the number of the next run of the tasks of a step, which is
// the same for all members of a gang.
func (l *Ledger) NextAttempt(id job.StepID, index int) int {
	e := l.entries[id.Job]
	o := e.Occurrences[id.Occurrence]
	if o == nil {
		return 1
	}
	if !e.Job.Steps[id.Step].Gang {
		return o.Steps[id.Step].Tasks[index].Run + 1
	}
	highest := 0
	for _, t := range o.Steps[id.Step].Tasks {
		highest = max(highest, t.Run)
	}
	return highest + 1
}

// Checkpoint records saved progress of the run that is placed. It is not
// stored by itself: it is lost with the owner, which costs work but no rule.
func (l *Ledger) Checkpoint(id job.TaskID, run int, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if e := l.entries[id.Job]; e != nil {
		if _, t := e.task(id); t != nil && t.Phase == Placed && t.Run == run {
			t.Checkpoint = checkpoint
		}
	}
}

// RecordCompletion records the end of a run. Ends of other runs than the placed one change
// nothing, but for done: a task that has ended as done in any run is done. It
// reports whether the end concerned the placed run.
func (l *Ledger) RecordCompletion(id job.TaskID, run int, how platform.CompletionKind, checkpoint string) bool {
	e := l.entries[id.Job]
	if e == nil {
		return false
	}
	step, t := e.task(id)
	if t == nil {
		return false
	}
	current := t.Phase == Placed && t.Run == run
	l.changed[id.Job] = e
	spec := e.Job.Steps[id.Step]
	switch how {
	case platform.CompletionDone:
		l.recordDone(e, id, step, t, spec)
	case platform.CompletionFailed:
		l.recordFailure(e, step, t, run, spec)
	}
	if current && t.Phase == Placed {
		e.release(step, t)
	}
	if current && checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	return current
}

// recordDone handles an end as done. A long-running task has no last run; of a
// gang one such end stands for all members.
func (l *Ledger) recordDone(e *Entry, id job.TaskID, step *Step, t *Task, spec job.Step) {
	switch {
	case spec.LongRunning:
	case spec.Gang:
		for i := range step.Tasks {
			e.markDone(id.Occurrence, step, &step.Tasks[i])
		}
	default:
		e.markDone(id.Occurrence, step, t)
	}
}

// recordFailure counts a failed run. Runs of earlier placements count too, because the
// queue's bound counts all runs that have ended as failed.
func (l *Ledger) recordFailure(e *Entry, step *Step, t *Task, run int, spec job.Step) {
	if spec.LongRunning || !t.addFailure(run) {
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
	if t.Phase == Placed && t.Run == run {
		e.release(step, t)
	}
	// A newer run that may be executing stays placed until it has been stopped.
	if t.Phase == Waiting {
		t.Phase = Exhausted
	}
}

// Lost records that the placed run surely executes no more and has left no
// end: its worker is gone, or the start never took place.
func (l *Ledger) Lost(id job.TaskID, run int) bool {
	e := l.entries[id.Job]
	if e == nil {
		return false
	}
	step, t := e.task(id)
	if t == nil || t.Phase != Placed || t.Run != run {
		return false
	}
	e.release(step, t)
	l.changed[id.Job] = e
	return true
}

// TakeChanged returns the jobs whose state record has to be stored, and
// regards them as stored; MarkChanged undoes that.
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

// HasChanges reports whether a state record has to be stored.
func (l *Ledger) HasChanges() bool { return len(l.changed) > 0 }

// IsChanged reports whether the job's state record has to be stored.
func (l *Ledger) IsChanged(id job.ID) bool { return l.changed[id] != nil }

// MarkChanged makes the job's record be stored with the next append.
func (l *Ledger) MarkChanged(e *Entry) { l.changed[e.Job.ID] = e }

// ForEach calls f for every job, in no order.
func (l *Ledger) ForEach(f func(*Entry)) {
	for _, e := range l.entries {
		f(e)
	}
}
