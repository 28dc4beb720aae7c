package worker

import (
	"math"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// failAllDuration bounds the run time of a task while FailAll is set.
const failAllDuration = time.Millisecond

// taskAttempt is a task on the worker, running or ended.
type taskAttempt struct {
	status        platform.TaskStatus
	taskBehaviour taskBehaviour
	// remaining is the work that remains, in nanoseconds alone on the worker.
	remaining    float64
	firstStep    int64
	historyIndex int
	// done is closed when the task ended, at endedAt.
	done       chan struct{}
	finishedAt time.Time
	// lostInRestart tells that a restart ended the task; set before done is closed.
	lostInRestart bool
	usageSample   usageSample
}

func newTaskAttempt(req platform.StartRequest, firstStep int64, failAll bool) *taskAttempt {
	c := parseBehaviour(req.Task)
	firstStep = min(firstStep, c.steps)
	t := &taskAttempt{taskBehaviour: c, firstStep: firstStep, done: make(chan struct{})}
	t.remaining = float64(c.work) * float64(c.steps-firstStep) / float64(c.steps)
	if failAll {
		t.taskBehaviour.fail = true
		t.remaining = min(t.remaining, float64(failAllDuration))
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
func (t *taskAttempt) used() domain.Resources {
	used := t.taskBehaviour.used
	if t.isThrottled() {
		limit := int64(t.status.Throttle * float64(t.status.Reserved.CPUMilli))
		used.CPUMilli = min(used.CPUMilli, limit)
	}
	used.Slots = t.status.Reserved.Slots
	return used
}

func (t *taskAttempt) isThrottled() bool {
	return t.status.Throttle > 0 && t.status.Throttle < 1
}

// slowdown returns the ratio of progress time to that alone on the worker.
// batchShare is the share of the worker's CPU that batch tasks use.
func (t *taskAttempt) slowdown(interference, batchShare float64) float64 {
	if t.status.Task.Kind == domain.KindUrgent {
		return 1 + interference*batchShare
	}
	full := t.taskBehaviour.used.CPUMilli
	if !t.isThrottled() || full == 0 {
		return 1
	}
	// The floor keeps a task with a share near zero from never ending.
	return float64(full) / math.Max(float64(t.used().CPUMilli), 1)
}

// timeLeft returns the time until the work is finished at the given slowdown.
func (t *taskAttempt) timeLeft(slowdown float64) time.Duration {
	// A thousandth of a nanosecond absorbs the rounding of the product.
	remaining := math.Ceil(t.remaining*slowdown - 1e-3)
	if remaining >= float64(unlimitedWork) {
		return unlimitedWork
	}
	return time.Duration(remaining)
}

// isFinished reports whether less than one nanosecond of work remains, the
// rounding error of progress.
func (t *taskAttempt) isFinished() bool { return t.remaining < 1 }

// stepsDone returns the number of finished steps, the earlier runs' included.
func (t *taskAttempt) stepsDone() int64 {
	total := float64(t.taskBehaviour.work)
	// One part in 1e9 absorbs the rounding of progress at a step's boundary.
	done := math.Floor((total-t.remaining)/total*float64(t.taskBehaviour.steps) + 1e-9)
	return max(int64(done), t.firstStep)
}
