package ledger

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
)

// Entry is one accepted job with the state of its tasks.
type Entry struct {
	Job *job.Job
	// Occurrences holds the state of each repetition of the steps. An element is
	// nil until a task of the occurrence is first accessed; until then all its
	// tasks wait for their first attempt.
	Occurrences []*Occurrence
	// Cancelled is set once a client has cancelled the job.
	Cancelled bool
	// Failed is set once a task has failed as often as its queue allows.
	Failed bool
	// Started is set once a task has been placed, and Begun once a worker has reported that
	// a task has begun.
	Started, Begun bool
	// finished counts the occurrences whose steps are all done.
	finished int
	// placed counts the tasks that may be executing.
	placed int
	// division is nil if the state of the job is one record.
	division *division
}

func newEntry(j *job.Job) *Entry {
	return &Entry{Job: j, Occurrences: make([]*Occurrence, j.Occurrences()), division: initialDivision(j)}
}

// State returns the state of the job as clients see it.
func (e *Entry) State() job.State {
	switch {
	case e.finished == len(e.Occurrences):
		return job.StateCompleted
	case e.Failed:
		return job.StateFailed
	case e.Cancelled:
		return job.StateCancelled
	case e.Begun:
		return job.StateActive
	}
	return job.StatePending
}

// IsClosed reports whether no more tasks may be started.
func (e *Entry) IsClosed() bool { return e.State().IsFinal() }

// PlacedCount returns how many tasks may be executing.
func (e *Entry) PlacedCount() int { return e.placed }

// ensureOccurrence returns the state of an occurrence, creating it if needed.
func (e *Entry) ensureOccurrence(index int) *Occurrence {
	if e.Occurrences[index] == nil {
		counts := make([]int, len(e.Job.Steps))
		for i, s := range e.Job.Steps {
			counts[i] = s.Count
		}
		e.Occurrences[index] = newOccurrence(counts)
	}
	return e.Occurrences[index]
}

// task returns the states of a task and of its step; nil if the job has no such
// task.
func (e *Entry) task(id job.TaskID) (*Step, *Task) {
	if id.Occurrence >= len(e.Occurrences) || id.Step >= len(e.Job.Steps) || id.Index >= e.Job.Steps[id.Step].Count {
		return nil, nil
	}
	step := &e.ensureOccurrence(id.Occurrence).Steps[id.Step]
	return step, &step.Tasks[id.Index]
}

// Task returns a copy of a task's state; ok is false if there is no such task.
func (e *Entry) Task(id job.TaskID) (t Task, ok bool) {
	if _, task := e.task(id); task != nil {
		return *task, true
	}
	return Task{}, false
}

// DependenciesDone reports whether all steps that a step depends on are done.
// It does not consider when the occurrence is due.
func (e *Entry) DependenciesDone(occurrence, step int) bool {
	o := e.Occurrences[occurrence]
	for _, d := range e.Job.Steps[step].DependsOn {
		if o == nil || o.Steps[d].Done < e.Job.Steps[d].Count {
			return false
		}
	}
	return true
}

// WaitingCount returns how many tasks of a step are neither done nor placed.
func (e *Entry) WaitingCount(occurrence, step int) int {
	o := e.Occurrences[occurrence]
	if o == nil {
		return e.Job.Steps[step].Count
	}
	s := &o.Steps[step]
	return len(s.Tasks) - s.Done - s.Placed
}

// IsOccurrenceDone reports whether all steps of an occurrence are done.
func (e *Entry) IsOccurrenceDone(index int) bool {
	o := e.Occurrences[index]
	return o != nil && o.Done == len(o.Steps)
}

// ForEachPlaced calls f for every task that may be executing.
func (e *Entry) ForEachPlaced(f func(id job.TaskID, t Task)) {
	for k, o := range e.Occurrences {
		if o == nil {
			continue
		}
		for s := range o.Steps {
			if o.Steps[s].Placed == 0 {
				continue
			}
			for i, t := range o.Steps[s].Tasks {
				if t.Phase == Placed {
					f(job.TaskID{StepID: job.StepID{Job: e.Job.ID, Occurrence: k, Step: s}, Index: i}, t)
				}
			}
		}
	}
}

// FirstWaiting returns the first tasks of a step that are waiting for an attempt, at most
// the given number.
func (e *Entry) FirstWaiting(occurrence, step, limit int) []int {
	o := e.Occurrences[occurrence]
	var out []int
	for i := 0; i < e.Job.Steps[step].Count && len(out) < limit; i++ {
		if o == nil || o.Steps[step].Tasks[i].Phase == Waiting {
			out = append(out, i)
		}
	}
	return out
}

// place records the placement of a new attempt.
func (e *Entry) place(id job.TaskID, attempt int, worker domain.WorkerID) {
	step, t := e.task(id)
	if t == nil || t.Phase != Waiting {
		return
	}
	t.Phase, t.Attempt, t.Worker = Placed, attempt, worker
	step.Placed++
	e.placed++
	e.Started = true
}

// release makes a placed task wait for its next attempt.
func (e *Entry) release(step *Step, t *Task) {
	t.Phase = Waiting
	step.Placed--
	e.placed--
}

// markDone marks a task as done, whatever its phase is.
func (e *Entry) markDone(occurrence int, step *Step, t *Task) {
	if t.Phase == Done {
		return
	}
	if t.Phase == Placed {
		step.Placed--
		e.placed--
	}
	t.Phase = Done
	step.Done++
	if step.Done < len(step.Tasks) {
		return
	}
	o := e.Occurrences[occurrence]
	o.Done++
	if o.Done == len(o.Steps) {
		e.finished++
	}
}
