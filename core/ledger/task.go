package ledger

import (
	"slices"

	"github.com/basilferry/basilferry/core/domain"
)

// Phase is the phase of a task.
type Phase uint8

// Phases of a task.
const (
	// Waiting tasks have no attempt that may be executing.
	Waiting Phase = iota
	// Placed tasks have an attempt that may be executing on Task.Worker.
	Placed
	// Done tasks need no further attempt: their work is complete.
	Done
	// Exhausted tasks have failed as often as the queue allows.
	Exhausted
)

// Task is the state of one task.
type Task struct {
	Phase Phase
	// Attempt is the number of the last attempt that was placed; 0 before the first.
	Attempt int
	// FailedAttempts lists the numbers of the failed attempts. A mere count
	// would count an attempt twice, because a worker reports a completion again
	// to a new owner until it is told that the completion is stored.
	FailedAttempts []int
	// Worker is the worker on which the last attempt was placed.
	Worker domain.WorkerID
	// Checkpoint is the latest saved progress; empty if there is none.
	Checkpoint string
}

// Step is the state of one step of one occurrence.
type Step struct {
	Tasks []Task
	// Done and Placed count the tasks in these phases.
	Done, Placed int
}

// Occurrence is the state of one repetition of the steps.
type Occurrence struct {
	Steps []Step
	// Done counts the steps whose tasks are all done.
	Done int
}

func newOccurrence(counts []int) *Occurrence {
	o := &Occurrence{Steps: make([]Step, len(counts))}
	for i, n := range counts {
		o.Steps[i].Tasks = make([]Task, n)
	}
	return o
}

// addFailure records a failed attempt. It reports whether the attempt was not
// recorded as failed before.
func (t *Task) addFailure(attempt int) bool {
	if slices.Contains(t.FailedAttempts, attempt) {
		return false
	}
	t.FailedAttempts = append(t.FailedAttempts, attempt)
	return true
}

// failureCount returns how many attempts of the task have failed.
func (t *Task) failureCount() int { return len(t.FailedAttempts) }

// gangFailureCount returns how many attempts of a gang have failed. The members
// of a gang share their attempt numbers and fail together, so each number
// counts once.
func (s *Step) gangFailureCount() int {
	attempts := map[int]bool{}
	for i := range s.Tasks {
		for _, attempt := range s.Tasks[i].FailedAttempts {
			attempts[attempt] = true
		}
	}
	return len(attempts)
}
