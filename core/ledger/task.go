package ledger

import (
	"slices"

	"github.com/basilferry/basilferry/core/domain"
)

// Phase is where a task is in its life.
type Phase uint8

// Phases of a task.
const (
	// Waiting tasks have no run that may be executing.
	Waiting Phase = iota
	// Placed tasks have a run that may be executing on Task.Worker.
	Placed
	// Done tasks have ended as done.
	Done
	// Exhausted tasks have failed as often as the queue allows.
	Exhausted
)

// Task is the state of one task.
type Task struct {
	Phase Phase
	// Run is the number of the last run that was placed; 0 before the first.
	Run int
	// FailedAttempts lists the runs that ended as failed. The numbers are kept, not
	// a count, because a worker lists an end again to a new owner until it is
	// told that the end is stored.
	FailedAttempts []int
	// Worker is where the last run was placed.
	Worker domain.WorkerID
	// Checkpoint is the newest saved progress; empty for none.
	Checkpoint string
}

// Step is the state of one step of one occurrence.
type Step struct {
	Tasks []Task
	// Done and Placed count the tasks in these phases.
	Done, Placed int
}

// Occurrence is the state of one run through the steps.
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

// addFailure takes note of a failed run; it reports whether it is a new one.
func (t *Task) addFailure(run int) bool {
	if slices.Contains(t.FailedAttempts, run) {
		return false
	}
	t.FailedAttempts = append(t.FailedAttempts, run)
	return true
}

// failureCount returns how many runs of the task have failed.
func (t *Task) failureCount() int { return len(t.FailedAttempts) }

// gangFailureCount returns how many runs of a gang have failed: its members share
// the numbers of their runs and fail together.
func (s *Step) gangFailureCount() int {
	runs := map[int]bool{}
	for i := range s.Tasks {
		for _, run := range s.Tasks[i].FailedAttempts {
			runs[run] = true
		}
	}
	return len(runs)
}
