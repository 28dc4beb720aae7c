package worker

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// CompletionReason is why an attempt finished.
type CompletionReason string

// Reasons why an attempt finished. CompletionDone covers tasks that succeeded or
// failed.
const (
	CompletionDone            CompletionReason = "completed"
	CompletionStopped         CompletionReason = "stopped"
	CompletionLeaseExpired    CompletionReason = "lapsed"
	CompletionWorkerRestarted CompletionReason = "restarted"
)

// AttemptInterval is one attempt of a task on the worker, as recorded by the
// worker.
type AttemptInterval struct {
	Worker   domain.WorkerID  `json:"worker"`
	ID       domain.RequestID `json:"id"`
	Kind     domain.Kind      `json:"kind"`
	Attempt  int              `json:"attempt"`
	Reserved domain.Resources `json:"reserved"`
	// Start and Stop are the wall clock times at which the attempt started and
	// finished; Stop is nil while it is running.
	Start      time.Time        `json:"start"`
	Stop       *time.Time       `json:"stop,omitempty"`
	Completion CompletionReason `json:"end,omitempty"`
	// FromStep is the number of steps that were finished before the attempt, and
	// ToStep the number that are finished after it or saved in its checkpoint.
	FromStep int64 `json:"from_step"`
	ToStep   int64 `json:"to_step"`
}

// History returns all attempts since the worker was created, in the order in which
// they started. It survives simulated restarts.
func (w *Worker) History() []AttemptInterval {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return append([]AttemptInterval{}, w.history...)
}

// recordStart adds a running attempt to the history and returns its index.
func (w *Worker) recordStart(t *taskAttempt) int {
	w.history = append(w.history, AttemptInterval{
		Worker:   w.config.ID,
		ID:       t.status.Task.ID,
		Kind:     t.status.Task.Kind,
		Attempt:  t.status.Attempt,
		Reserved: t.status.Reserved,
		Start:    w.advancedTo,
		FromStep: t.firstStep,
		ToStep:   t.firstStep,
	})
	return len(w.history) - 1
}

func (w *Worker) recordFinish(t *taskAttempt, reason CompletionReason, toStep int64) {
	stop := w.advancedTo
	entry := &w.history[t.historyIndex]
	entry.Stop = &stop
	entry.Completion = reason
	entry.ToStep = toStep
}
