package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// IncarnationID identifies the incarnation of every worker. Registry entries of the
// workers have to name it too.
const IncarnationID = 1

// Workers implements platform.WorkerClient for a set of workers in memory. All tasks
// take the same time. It is safe for concurrent use.
type Workers struct {
	mu           sync.Mutex
	taskDuration time.Duration
	// clockStart is the time at which the clocks of all workers read zero.
	clockStart time.Time
	workers    map[domain.WorkerID]*worker
	// startCounts counts the starts of each task.
	startCounts map[string]int
	// runningOn maps each running task to its worker.
	runningOn map[string]domain.WorkerID
	// overlapping lists the tasks that were started while they ran on a worker
	// or after they had completed.
	overlapping []string
	completed   map[string]bool
}

type worker struct {
	fencingToken platform.Token
	leaseEnd     time.Time
	attempts     map[string]*attempt
	// lastFinished is the highest attempt number of each task that has finished or
	// was stopped.
	lastFinished map[string]int
	completions  []platform.Completion
	// nextNumber is the number of the next completion.
	nextNumber  int64
	unreachable bool
}

type attempt struct {
	key       platform.AttemptKey
	startedAt time.Time
}

// NewWorkers returns workers with the given ids whose tasks take taskDuration.
func NewWorkers(ids []domain.WorkerID, taskDuration time.Duration) *Workers {
	w := &Workers{
		taskDuration: taskDuration, clockStart: time.Now(), workers: map[domain.WorkerID]*worker{},
		startCounts: map[string]int{}, runningOn: map[string]domain.WorkerID{}, completed: map[string]bool{},
	}
	for _, id := range ids {
		w.workers[id] = &worker{attempts: map[string]*attempt{}, lastFinished: map[string]int{}, nextNumber: 1}
	}
	return w
}

// StartCount returns how often a task was started.
func (w *Workers) StartCount(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startCounts[task]
}

// OverlappingTasks returns the tasks that were started while they ran on a
// worker or after they had completed.
func (w *Workers) OverlappingTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.overlapping...)
}

// SetUnreachable makes a worker unreachable, or reachable again. An unreachable
// worker keeps running its tasks.
func (w *Workers) SetUnreachable(id domain.WorkerID, unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].unreachable = unreachable
}

// acceptCommand finishes the worker's due attempts, checks the command's
// fencing token and returns the worker.
func (w *Workers) acceptCommand(to platform.Endpoint, fencingToken platform.Token) (*worker, error) {
	target := w.workers[to.ID]
	if target == nil || target.unreachable {
		return nil, fmt.Errorf("no response from %s", to.ID)
	}
	w.finishDueAttempts(target)
	if fencingToken < target.fencingToken {
		return nil, &platform.RefusedError{Reason: platform.RefusedFenced}
	}
	target.fencingToken = fencingToken
	return target, nil
}

// finishDueAttempts finishes the attempts that have run for the task duration,
// and those that were still running when the worker's lease expired.
func (w *Workers) finishDueAttempts(target *worker) {
	now := time.Now()
	for _, a := range target.attempts {
		switch finish := a.startedAt.Add(w.taskDuration); {
		case finish.Before(now) && finish.Before(target.leaseEnd):
			w.completed[a.key.Task] = true
			w.finish(target, a, platform.CompletionDone)
		case target.leaseEnd.Before(now):
			w.finish(target, a, platform.CompletionLapsed)
		}
	}
}

func (w *Workers) finish(target *worker, a *attempt, kind platform.CompletionKind) {
	delete(target.attempts, a.key.Task)
	delete(w.runningOn, a.key.Task)
	target.lastFinished[a.key.Task] = max(target.lastFinished[a.key.Task], a.key.Attempt)
	target.completions = append(target.completions, platform.Completion{AttemptKey: a.key, Number: target.nextNumber, Kind: kind})
	target.nextNumber++
}

// Heartbeat implements platform.WorkerClient. It responds immediately.
func (w *Workers) Heartbeat(_ context.Context, to platform.Endpoint, command platform.HeartbeatCommand) (platform.HeartbeatResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	target, err := w.acceptCommand(to, command.Token)
	if err != nil {
		return platform.HeartbeatResult{}, err
	}
	w.extendLease(target, command.Until)
	for len(target.completions) > 0 && target.completions[0].Number <= command.LastStored {
		target.completions = target.completions[1:]
	}
	result := platform.HeartbeatResult{Clock: time.Since(w.clockStart), StartedUnixMS: IncarnationID, Completions: append([]platform.Completion(nil), target.completions...)}
	for _, a := range target.attempts {
		percent := int(100 * time.Since(a.startedAt) / w.taskDuration)
		result.Running = append(result.Running, platform.Running{AttemptKey: a.key, ProgressPercent: min(percent, 99)})
	}
	return result, nil
}

func (w *Workers) extendLease(target *worker, until time.Duration) {
	if end := w.clockStart.Add(until); end.After(target.leaseEnd) {
		target.leaseEnd = end
	}
}

// Start implements platform.WorkerClient.
func (w *Workers) Start(_ context.Context, to platform.Endpoint, command platform.StartCommand) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	target, err := w.acceptCommand(to, command.Token)
	if err != nil {
		return 0, err
	}
	if command.Attempt <= target.lastFinished[command.Task] {
		return 0, &platform.RefusedError{Reason: platform.RefusedStale}
	}
	if target.attempts[command.Task] != nil {
		return time.Since(w.clockStart), nil
	}
	w.extendLease(target, command.Until)
	for _, other := range w.workers {
		w.finishDueAttempts(other)
	}
	if _, elsewhere := w.runningOn[command.Task]; elsewhere || w.completed[command.Task] {
		w.overlapping = append(w.overlapping, command.Task)
	}
	target.attempts[command.Task] = &attempt{key: command.AttemptKey, startedAt: time.Now()}
	w.runningOn[command.Task] = to.ID
	w.startCounts[command.Task]++
	return time.Since(w.clockStart), nil
}

// Stop implements platform.WorkerClient.
func (w *Workers) Stop(_ context.Context, to platform.Endpoint, key platform.AttemptKey, token platform.Token) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	target, err := w.acceptCommand(to, token)
	if err != nil {
		return err
	}
	target.lastFinished[key.Task] = max(target.lastFinished[key.Task], key.Attempt)
	if a := target.attempts[key.Task]; a != nil && a.key.Attempt == key.Attempt {
		w.finish(target, a, platform.CompletionStopped)
	}
	return nil
}

// Throttle implements platform.WorkerClient. It does not change the duration of a
// task.
func (w *Workers) Throttle(_ context.Context, to platform.Endpoint, _ platform.AttemptKey, _ int, token platform.Token) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.acceptCommand(to, token)
	return err
}
