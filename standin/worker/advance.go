package worker

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// advance brings the state up to the current time. Each completion, lapse and
// end of a usage interval takes effect at the instant at which it was due. A
// paused worker stays as it is. The caller holds mu.
func (w *Worker) advance() {
	if w.paused {
		return
	}
	now := w.config.Clock.Now()
	for {
		due := w.nextDue()
		if due.IsZero() || due.After(now) {
			break
		}
		w.progress(due)
		w.settle()
	}
	w.progress(now)
	w.dropOld()
}

// nextDue returns the instant of the next event, zero if there is none.
func (w *Worker) nextDue() time.Time {
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
	earliest(w.nextSample)
	share := w.batchShare()
	for _, t := range w.running {
		left := t.timeLeft(t.slowdown(w.config.Interference, share))
		if left < neverEnds {
			earliest(w.at.Add(left))
		}
	}
	return due
}

// progress lets the running tasks work until the given instant.
func (w *Worker) progress(until time.Time) {
	d := until.Sub(w.at)
	if d <= 0 {
		return
	}
	share := w.batchShare()
	for _, t := range w.running {
		slowdown := t.slowdown(w.config.Interference, share)
		t.left -= float64(d) / slowdown
		t.sample.add(d, t.used().CPUMilli, slowdown, t.throttled())
	}
	w.at = until
}

// settle handles what is due now. A task that finishes at the instant of the
// lapse counts as finished.
func (w *Worker) settle() {
	for _, t := range append([]*run(nil), w.running...) {
		if t.finished() {
			w.complete(t)
		}
	}
	if w.session.open && !w.session.expires.After(w.at) {
		w.lapse()
	}
	if !w.nextSample.After(w.at) {
		w.sampleAll()
	}
}

func (w *Worker) complete(t *run) {
	t.left = 0
	t.status.State = platform.TaskSucceeded
	if t.course.fail {
		t.status.State = platform.TaskFailed
	} else {
		t.status.Answer = ExpectedAnswer(t.status.Task)
	}
	w.end(t, EndCompleted, t.course.steps)
}

// lapse ends the session and stops its tasks, batch tasks with a checkpoint.
func (w *Worker) lapse() {
	w.session.open = false
	for _, t := range append([]*run(nil), w.running...) {
		w.halt(t, true, EndLapsed)
	}
}

// halt stops a running task.
func (w *Worker) halt(t *run, checkpoint bool, reason EndReason) {
	t.status.State = platform.TaskStopped
	kept := t.firstStep
	if checkpoint && t.status.Task.Kind == domain.KindBatch && t.stepsDone() > 0 {
		kept = t.stepsDone()
		t.status.Checkpoint = CheckpointReference(t.status.Task.ID, kept)
	}
	w.end(t, reason, kept)
}

// end takes a task off the worker and makes its event.
func (w *Worker) end(t *run, reason EndReason, toStep int64) {
	w.sampleRun(t)
	for i, other := range w.running {
		if other == t {
			w.running = append(w.running[:i], w.running[i+1:]...)
			break
		}
	}
	w.reserved = w.reserved.Sub(t.status.Reserved)
	t.endedAt = w.at
	w.ended = append(w.ended, t)
	w.recordStop(t, reason, toStep)
	w.lastEvent++
	w.events = append(w.events, platform.TaskEvent{Number: w.lastEvent, Status: t.status})
	close(t.done)
}

// dropOld forgets records and events of tasks that ended before the retention.
func (w *Worker) dropOld() {
	limit := w.at.Add(-platform.ResultRetention)
	n := 0
	for n < len(w.ended) && w.ended[n].endedAt.Before(limit) {
		t := w.ended[n]
		if w.records[t.status.Task.ID] == t {
			delete(w.records, t.status.Task.ID)
		}
		n++
	}
	if n > 0 {
		w.ended = append([]*run(nil), w.ended[n:]...)
	}
	w.dropEvents(w.lastEvent - min(w.lastEvent, uint64(len(w.ended))))
}

// dropEvents forgets events up to a number.
func (w *Worker) dropEvents(upTo uint64) {
	n := 0
	for n < len(w.events) && w.events[n].Number <= upTo {
		n++
	}
	w.events = w.events[n:]
}

// schedule sets the timer to the next event. The caller holds mu.
func (w *Worker) schedule() {
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	due := w.nextDue()
	if w.paused || w.closed || due.IsZero() {
		return
	}
	w.timer = w.config.Clock.AfterFunc(due.Sub(w.config.Clock.Now()), w.wake)
}

func (w *Worker) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.schedule()
}
