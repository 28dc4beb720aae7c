package ledger

import "github.com/basilferry/basilferry/core/domain"

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
	// Failures counts the runs that ended as failed.
	Failures int
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
	// Failures counts the failed runs of a gang, whose members fail together.
	Failures int
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
