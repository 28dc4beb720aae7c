package worker

import (
	"math"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// failAllDuration bounds the run time of a task that is started while failAll is
// set.
const failAllDuration = time.Millisecond

// taskAttempt is one attempt of a task on the worker, running or finished.
type taskAttempt struct {
	status        platform.TaskStatus
	taskBehaviour taskBehaviour
	// remaining is the run time, in nanoseconds, that the task still needs when it
	// is alone on the worker.
	remaining float64
	// firstStep is the number of finished steps in the checkpoint that the attempt
	// resumes from.
	firstStep    int64
	historyIndex int
	// done is closed when the attempt finishes, at finishedAt.
	done       chan struct{}
	finishedAt time.Time
	// lostInRestart is true if a restart ended the attempt. It is set before done
	// is closed.
	lostInRestart bool
	usageSample   usageSample
}

func newTaskAttempt(req platform.StartRequest, firstStep int64, failAll bool) *taskAttempt {
	behaviour := parseBehaviour(req.Task)
	firstStep = min(firstStep, behaviour.steps)
	t := &taskAttempt{taskBehaviour: behaviour, firstStep: firstStep, done: make(chan struct{})}
	t.remaining = float64(behaviour.work) * float64(behaviour.steps-firstStep) / float64(behaviour.steps)
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

// used returns the actual resource use. The CPU use is capped while the task is
// throttled.
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

// slowdown returns the ratio of the time that the task needs for its progress to
// the time that it needs alone on the worker. batchShare is the fraction of the
// worker's CPU that batch tasks use.
func (t *taskAttempt) slowdown(interference, batchShare float64) float64 {
	if t.status.Task.Kind == domain.KindUrgent {
		return 1 + interference*batchShare
	}
	full := t.taskBehaviour.used.CPUMilli
	if !t.isThrottled() || full == 0 {
		return 1
	}
	// The minimum lets a task with a share near zero finish eventually.
	return float64(full) / math.Max(float64(t.used().CPUMilli), 1)
}

// timeLeft returns the time until the task finishes at the given slowdown.
func (t *taskAttempt) timeLeft(slowdown float64) time.Duration {
	// 0.001 ns absorbs the rounding error of the product.
	remaining := math.Ceil(t.remaining*slowdown - 1e-3)
	if remaining >= float64(unlimitedWork) {
		return unlimitedWork
	}
	return time.Duration(remaining)
}

// isFinished reports whether less than one nanosecond of run time remains. The
// progress has rounding errors of up to that size.
func (t *taskAttempt) isFinished() bool { return t.remaining < 1 }

// stepsDone returns the number of finished steps, including those of earlier
// attempts.
func (t *taskAttempt) stepsDone() int64 {
	total := float64(t.taskBehaviour.work)
	// 1e-9 steps absorb the rounding error of the progress at a step boundary.
	done := math.Floor((total-t.remaining)/total*float64(t.taskBehaviour.steps) + 1e-9)
	return max(int64(done), t.firstStep)
}
