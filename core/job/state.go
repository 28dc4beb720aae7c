package job

// State is what a caller sees of a job.
type State string

// States of a job.
const (
	// StatePending: accepted, no task has started.
	StatePending State = "pending"
	// StateActive: a task has started.
	StateActive State = "active"
	// StateCompleted: all tasks have ended as done.
	StateCompleted State = "completed"
	// StateFailed: a task has failed as often as its queue allows.
	StateFailed State = "failed"
	// StateCancelled: a caller has cancelled the job.
	StateCancelled State = "cancelled"
)

// IsFinal reports whether the job starts no more tasks.
func (s State) IsFinal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}
