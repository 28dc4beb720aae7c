package worker

import (
	"math"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// failAllWork bounds the run time of a task while FailAll is set.
const failAllWork = time.Millisecond

// run is a task on the worker, running or ended.
type run struct {
	status platform.TaskStatus
	course course
	// left is the work that remains, in nanoseconds alone on the worker.
	left      float64
	firstStep int64
	interval  int
	// done is closed when the task ended, at endedAt.
	done    chan struct{}
	endedAt time.Time
	// lost tells that a restart ended the task; set before done is closed.
	lost   bool
	sample sample
}

func newRun(req platform.StartRequest, firstStep int64, failAll bool) *run {
	c := courseOf(req.Task)
	firstStep = min(firstStep, c.steps)
	t := &run{course: c, firstStep: firstStep, done: make(chan struct{})}
	t.left = float64(c.work) * float64(c.steps-firstStep) / float64(c.steps)
	if failAll {
		t.course.fail = true
		t.left = min(t.left, float64(failAllWork))
	}
	t.status = platform.TaskStatus{
		Task:       req.Task,
		Attempt:    req.Attempt,
		State:      platform.TaskRunning,
		Reserved:   req.Reserved,
		Checkpoint: req.Checkpoint,
		Moves:      req.Moves,
	}
	if req.Task.Kind == domain.KindBatch {
		t.status.Throttle = 1
	}
	return t
}

// used returns the real use: CPU is capped while the task is throttled.
func (t *run) used() domain.Resources {
	used := t.course.used
	if t.throttled() {
		limit := int64(t.status.Throttle * float64(t.status.Reserved.CPUMilli))
		used.CPUMilli = min(used.CPUMilli, limit)
	}
	used.Slots = t.status.Reserved.Slots
	return used
}

func (t *run) throttled() bool {
	return t.status.Throttle > 0 && t.status.Throttle < 1
}

// slowdown returns the ratio of progress time to that alone on the worker.
// batchShare is the share of the worker's CPU that batch tasks use.
func (t *run) slowdown(interference, batchShare float64) float64 {
	if t.status.Task.Kind == domain.KindUrgent {
		return 1 + interference*batchShare
	}
	full := t.course.used.CPUMilli
	if !t.throttled() || full == 0 {
		return 1
	}
	// The floor keeps a task with a share near zero from never ending.
	return float64(full) / math.Max(float64(t.used().CPUMilli), 1)
}

// timeLeft returns the time until the work is finished at the given slowdown.
func (t *run) timeLeft(slowdown float64) time.Duration {
	// A thousandth of a nanosecond absorbs the rounding of the product.
	left := math.Ceil(t.left*slowdown - 1e-3)
	if left >= float64(neverEnds) {
		return neverEnds
	}
	return time.Duration(left)
}

// finished reports whether less than one nanosecond of work remains, the
// rounding error of progress.
func (t *run) finished() bool { return t.left < 1 }

// stepsDone returns the number of finished steps, the earlier runs' included.
func (t *run) stepsDone() int64 {
	total := float64(t.course.work)
	// One part in 1e9 absorbs the rounding of progress at a step's boundary.
	done := math.Floor((total-t.left)/total*float64(t.course.steps) + 1e-9)
	return max(int64(done), t.firstStep)
}
