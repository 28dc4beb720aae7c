package worker

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// EndReason tells why a run ended.
type EndReason string

// Reasons for the end of a run.
const (
	EndCompleted EndReason = "completed"
	EndStopped   EndReason = "stopped"
	EndLapsed    EndReason = "lapsed"
	EndRestarted EndReason = "restarted"
)

// Interval is one run of a task on the worker, as the worker saw it.
type Interval struct {
	Worker   domain.WorkerID  `json:"worker"`
	ID       domain.RequestID `json:"id"`
	Kind     domain.Kind      `json:"kind"`
	Attempt  int              `json:"attempt"`
	Reserved domain.Resources `json:"reserved"`
	// Start and Stop bound the run, in wall clock time; Stop is nil while it
	// lasts.
	Start time.Time  `json:"start"`
	Stop  *time.Time `json:"stop,omitempty"`
	End   EndReason  `json:"end,omitempty"`
	// FromStep is the step at which the run began and ToStep the number of
	// steps that are finished with its end or kept in its checkpoint.
	FromStep int64 `json:"from_step"`
	ToStep   int64 `json:"to_step"`
}

// History returns all runs since the worker was made, in the order of their
// starts. It is kept over simulated restarts.
func (w *Worker) History() []Interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return append([]Interval{}, w.history...)
}

// recordStart appends an interval and returns its index.
func (w *Worker) recordStart(t *run) int {
	w.history = append(w.history, Interval{
		Worker:   w.config.ID,
		ID:       t.status.Task.ID,
		Kind:     t.status.Task.Kind,
		Attempt:  t.status.Attempt,
		Reserved: t.status.Reserved,
		Start:    w.at,
		FromStep: t.firstStep,
		ToStep:   t.firstStep,
	})
	return len(w.history) - 1
}

func (w *Worker) recordStop(t *run, reason EndReason, toStep int64) {
	stop := w.at
	entry := &w.history[t.interval]
	entry.Stop = &stop
	entry.End = reason
	entry.ToStep = toStep
}
