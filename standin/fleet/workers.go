package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Workers implements platform.WorkerClient for a number of workers in memory. Every
// task takes the same time. It may be used from several goroutines.
type Workers struct {
	mu           sync.Mutex
	taskDuration time.Duration
	clockStart   time.Time
	workers      map[domain.WorkerID]*worker
	// startCounts counts the starts of each task, and overlaps the tasks that ran in
	// two places at once.
	startCounts map[string]int
	runningOn   map[string]domain.WorkerID
	overlapping []string
	completed   map[string]bool
}

type worker struct {
	fencingToken platform.Token
	leaseEnd     time.Time
	attempts     map[string]*attempt
	lastFinished map[string]int
	completions  []platform.Completion
	nextNumber   int64
	unreachable  bool
}

type attempt struct {
	key       platform.AttemptKey
	startedAt time.Time
}

// NewWorkers returns workers whose tasks take the given time.
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

// OverlappingTasks returns the tasks that ran in two places at once, or again after
// they were done.
func (w *Workers) OverlappingTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.overlapping...)
}

// SetUnreachable makes a worker unreachable while it runs on, or reachable again.
func (w *Workers) SetUnreachable(id domain.WorkerID, unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].unreachable = unreachable
}

// acceptCommand returns a worker with its ends up to date.
func (w *Workers) acceptCommand(to platform.Endpoint, fencingToken platform.Token) (*worker, error) {
	one := w.workers[to.ID]
	if one == nil || one.unreachable {
		return nil, fmt.Errorf("no answer from %s", to.ID)
	}
	w.finishDueAttempts(one)
	if fencingToken < one.fencingToken {
		return nil, &platform.RefusedError{Reason: platform.RefusedFenced}
	}
	one.fencingToken = fencingToken
	return one, nil
}

// finishDueAttempts ends the runs whose time or lease is over.
func (w *Workers) finishDueAttempts(one *worker) {
	now := time.Now()
	for _, r := range one.attempts {
		switch finish := r.startedAt.Add(w.taskDuration); {
		case finish.Before(now) && finish.Before(one.leaseEnd):
			w.completed[r.key.Task] = true
			w.finish(one, r, platform.CompletionDone)
		case one.leaseEnd.Before(now):
			w.finish(one, r, platform.CompletionLapsed)
		}
	}
}

func (w *Workers) finish(one *worker, r *attempt, how platform.CompletionKind) {
	delete(one.attempts, r.key.Task)
	delete(w.runningOn, r.key.Task)
	one.lastFinished[r.key.Task] = max(one.lastFinished[r.key.Task], r.key.Run)
	one.completions = append(one.completions, platform.Completion{AttemptKey: r.key, Number: one.nextNumber, Kind: how})
	one.nextNumber++
}

// Hold implements platform.WorkerClient. It answers at once.
func (w *Workers) Hold(_ context.Context, to platform.Endpoint, o platform.HeartbeatCommand) (platform.HeartbeatResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one, err := w.acceptCommand(to, o.Token)
	if err != nil {
		return platform.HeartbeatResult{}, err
	}
	w.extendLease(one, o.Until)
	for len(one.completions) > 0 && one.completions[0].Number <= o.LastStored {
		one.completions = one.completions[1:]
	}
	report := platform.HeartbeatResult{Clock: time.Since(w.clockStart), StartedUnixMS: 1, Completion: append([]platform.Completion(nil), one.completions...)}
	for _, r := range one.attempts {
		percent := int(100 * time.Since(r.startedAt) / w.taskDuration)
		report.Running = append(report.Running, platform.Running{AttemptKey: r.key, Percent: min(percent, 99)})
	}
	return report, nil
}

func (w *Workers) extendLease(one *worker, until time.Duration) {
	if end := w.clockStart.Add(until); end.After(one.leaseEnd) {
		one.leaseEnd = end
	}
}

// Start implements platform.WorkerClient.
func (w *Workers) Start(_ context.Context, to platform.Endpoint, o platform.StartCommand) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one, err := w.acceptCommand(to, o.Token)
	if err != nil {
		return 0, err
	}
	if o.Run <= one.lastFinished[o.Task] {
		return 0, &platform.RefusedError{Reason: platform.RefusedStale}
	}
	if one.attempts[o.Task] != nil {
		return time.Since(w.clockStart), nil
	}
	w.extendLease(one, o.Until)
	for _, other := range w.workers {
		w.finishDueAttempts(other)
	}
	if _, elsewhere := w.runningOn[o.Task]; elsewhere || w.completed[o.Task] {
		w.overlapping = append(w.overlapping, o.Task)
	}
	one.attempts[o.Task] = &attempt{key: o.AttemptKey, startedAt: time.Now()}
	w.runningOn[o.Task] = to.ID
	w.startCounts[o.Task]++
	return time.Since(w.clockStart), nil
}

// Stop implements platform.WorkerClient.
func (w *Workers) Stop(_ context.Context, to platform.Endpoint, key platform.AttemptKey, token platform.Token) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	one, err := w.acceptCommand(to, token)
	if err != nil {
		return err
	}
	one.lastFinished[key.Task] = max(one.lastFinished[key.Task], key.Run)
	if r := one.attempts[key.Task]; r != nil && r.key.Run == key.Run {
		w.finish(one, r, platform.CompletionStopped)
	}
	return nil
}

// Pace implements platform.WorkerClient; the time of a task does not depend on it.
func (w *Workers) Throttle(_ context.Context, to platform.Endpoint, _ platform.AttemptKey, _ int, token platform.Token) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.acceptCommand(to, token)
	return err
}
