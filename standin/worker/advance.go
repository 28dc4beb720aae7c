package worker

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// advance brings the state up to the current time. Task completions, lease
// expiries and ends of usage intervals take effect at the times at which they
// were due. The state of a paused worker does not change. The caller holds mu.
func (w *Worker) advance() {
	if w.paused {
		return
	}
	now := w.config.Clock.Now()
	for {
		due := w.nextEventTime()
		if due.IsZero() || due.After(now) {
			break
		}
		w.advanceAttempts(due)
		w.handleDueEvents()
	}
	w.advanceAttempts(now)
	w.dropOldRecords()
}

// nextEventTime returns the time of the next event, zero if there is none.
func (w *Worker) nextEventTime() time.Time {
	var due time.Time
	earliest := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	if w.session.open {
		earliest(w.session.expires)
	}
	if len(w.running) == 0 {
		return due
	}
	earliest(w.nextSampleEnd)
	share := w.batchShare()
	for _, t := range w.running {
		left := t.timeLeft(t.slowdown(w.config.Interference, share))
		if left < unlimitedWork {
			earliest(w.advancedTo.Add(left))
		}
	}
	return due
}

// advanceAttempts advances the progress of the running tasks to the given time.
func (w *Worker) advanceAttempts(until time.Time) {
	d := until.Sub(w.advancedTo)
	if d <= 0 {
		return
	}
	share := w.batchShare()
	for _, t := range w.running {
		slowdown := t.slowdown(w.config.Interference, share)
		t.remaining -= float64(d) / slowdown
		t.usageSample.add(d, t.used().CPUMilli, slowdown, t.isThrottled())
	}
	w.advancedTo = until
}

// handleDueEvents handles the events that are due at advancedTo. A task that
// finishes at the time at which the lease expires counts as completed.
func (w *Worker) handleDueEvents() {
	for _, t := range append([]*taskAttempt(nil), w.running...) {
		if t.isFinished() {
			w.completeAttempt(t)
		}
	}
	if w.session.open && !w.session.expires.After(w.advancedTo) {
		w.expireLease()
	}
	if !w.nextSampleEnd.After(w.advancedTo) {
		w.finishAllSamples()
	}
}

func (w *Worker) completeAttempt(t *taskAttempt) {
	t.remaining = 0
	t.status.State = platform.TaskSucceeded
	if t.taskBehaviour.fail {
		t.status.State = platform.TaskFailed
	} else {
		t.status.Answer = ExpectedAnswer(t.status.Task)
	}
	w.finishAttempt(t, CompletionDone, t.taskBehaviour.steps)
}

// expireLease closes the session and stops all tasks, batch tasks with a
// checkpoint.
func (w *Worker) expireLease() {
	w.session.open = false
	for _, t := range append([]*taskAttempt(nil), w.running...) {
		w.stopAttempt(t, true, CompletionLeaseExpired)
	}
}

// stopAttempt stops a running task. With checkpoint set, a batch task that has
// finished steps gets a checkpoint.
func (w *Worker) stopAttempt(t *taskAttempt, checkpoint bool, reason CompletionReason) {
	t.status.State = platform.TaskStopped
	kept := t.firstStep
	if checkpoint && t.status.Task.Kind == domain.KindBatch && t.stepsDone() > 0 {
		kept = t.stepsDone()
		t.status.Checkpoint = CheckpointReference(t.status.Task.ID, kept)
	}
	w.finishAttempt(t, reason, kept)
}

// finishAttempt removes a task from the running ones, releases its reservation
// and adds a task event.
func (w *Worker) finishAttempt(t *taskAttempt, reason CompletionReason, toStep int64) {
	w.finishSample(t)
	for i, other := range w.running {
		if other == t {
			w.running = append(w.running[:i], w.running[i+1:]...)
			break
		}
	}
	w.reserved = w.reserved.Sub(t.status.Reserved)
	t.finishedAt = w.advancedTo
	w.finished = append(w.finished, t)
	w.recordFinish(t, reason, toStep)
	w.lastEvent++
	w.events = append(w.events, platform.TaskEvent{Number: w.lastEvent, Status: t.status})
	close(t.done)
}

// dropOldRecords deletes the records of tasks that finished more than
// ResultRetention ago, and events that are no longer needed.
func (w *Worker) dropOldRecords() {
	cutoff := w.advancedTo.Add(-platform.ResultRetention)
	n := 0
	for n < len(w.finished) && w.finished[n].finishedAt.Before(cutoff) {
		t := w.finished[n]
		if w.records[t.status.Task.ID] == t {
			delete(w.records, t.status.Task.ID)
		}
		n++
	}
	if n > 0 {
		w.finished = append([]*taskAttempt(nil), w.finished[n:]...)
	}
	// Each finished attempt has at most one event, so the latest len(w.finished)
	// events include those of all attempts that are kept.
	w.dropEvents(w.lastEvent - min(w.lastEvent, uint64(len(w.finished))))
}

// dropEvents deletes the events up to the given number.
func (w *Worker) dropEvents(upTo uint64) {
	n := 0
	for n < len(w.events) && w.events[n].Number <= upTo {
		n++
	}
	w.events = w.events[n:]
}

// resetTimer sets the timer to the time of the next event. The caller holds mu.
func (w *Worker) resetTimer() {
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	due := w.nextEventTime()
	if w.paused || w.closed || due.IsZero() {
		return
	}
	w.timer = w.config.Clock.AfterFunc(due.Sub(w.config.Clock.Now()), w.onTimer)
}

func (w *Worker) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.resetTimer()
}
