package worker

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// CompletionReason tells why a run ended.
type CompletionReason string

// Reasons for the end of a run.
const (
	CompletionDone            CompletionReason = "completed"
	CompletionStopped         CompletionReason = "stopped"
	CompletionLeaseExpired    CompletionReason = "lapsed"
	CompletionWorkerRestarted CompletionReason = "restarted"
)

// AttemptInterval is one run of a task on the worker, as the worker saw it.
type AttemptInterval struct {
	Worker   domain.WorkerID  `json:"worker"`
	ID       domain.RequestID `json:"id"`
	Kind     domain.Kind      `json:"kind"`
	Attempt  int              `json:"attempt"`
	Reserved domain.Resources `json:"reserved"`
	// Start and Stop bound the run, in wall clock time; Stop is nil while it
	// lasts.
	Start      time.Time        `json:"start"`
	Stop       *time.Time       `json:"stop,omitempty"`
	Completion CompletionReason `json:"end,omitempty"`
	// FromStep is the step at which the run began and ToStep the number of
	// steps that are finished with its end or kept in its checkpoint.
	FromStep int64 `json:"from_step"`
	ToStep   int64 `json:"to_step"`
}

// History returns all runs since the worker was made, in the order of their
// starts. It is kept over simulated restarts.
func (w *Worker) History() []AttemptInterval {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return append([]AttemptInterval{}, w.history...)
}

// recordStart appends an interval and returns its index.
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
