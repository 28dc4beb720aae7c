package job

// State is the state of a job as clients see it.
type State string

// States of a job.
const (
	// StatePending: the job is accepted and no task is known to have begun on a worker.
	StatePending State = "pending"
	// StateActive: a worker has reported that a task has begun.
	StateActive State = "active"
	// StateCompleted: all tasks are done.
	StateCompleted State = "completed"
	// StateFailed: a task has failed as often as its queue allows.
	StateFailed State = "failed"
	// StateCancelled: a client has cancelled the job.
	StateCancelled State = "cancelled"
)

// IsFinal reports whether no more tasks of the job start.
func (s State) IsFinal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}
