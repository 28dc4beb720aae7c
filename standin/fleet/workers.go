package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Workers implements platform.Orders for a number of workers in memory. Every
// task takes the same time. It may be used from several goroutines.
type Workers struct {
	mu      sync.Mutex
	task    time.Duration
	origin  time.Time
	workers map[domain.WorkerID]*worker
	// starts counts the starts of each task, and overlaps the tasks that ran in
	// two places at once.
	starts   map[string]int
	at       map[string]domain.WorkerID
	overlaps []string
	done     map[string]bool
}

type worker struct {
	token platform.Token
	lease time.Time
	runs  map[string]*run
	over  map[string]int
	ends  []platform.Completion
	next  int64
	dark  bool
}

type run struct {
	key   platform.AttemptKey
	began time.Time
}

// NewWorkers returns workers whose tasks take the given time.
func NewWorkers(ids []domain.WorkerID, task time.Duration) *Workers {
	w := &Workers{
		task: task, origin: time.Now(), workers: map[domain.WorkerID]*worker{},
		starts: map[string]int{}, at: map[string]domain.WorkerID{}, done: map[string]bool{},
	}
	for _, id := range ids {
		w.workers[id] = &worker{runs: map[string]*run{}, over: map[string]int{}, next: 1}
	}
	return w
}

// Starts returns how often a task was started.
func (w *Workers) Starts(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

// Overlaps returns the tasks that ran in two places at once, or again after
// they were done.
func (w *Workers) Overlaps() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.overlaps...)
}

// SetDark makes a worker unreachable while it runs on, or reachable again.
func (w *Workers) SetDark(id domain.WorkerID, dark bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].dark = dark
}

// reach returns a worker with its ends up to date.
func (w *Workers) reach(to platform.Endpoint, token platform.Token) (*worker, error) {
	one := w.workers[to.ID]
	if one == nil || one.dark {
		return nil, fmt.Errorf("no answer from %s", to.ID)
	}
	w.settle(one)
	if token < one.token {
		return nil, &platform.RefusedError{Reason: platform.RefusedFenced}
	}
	one.token = token
	return one, nil
}

// settle ends the runs whose time or lease is over.
func (w *Workers) settle(one *worker) {
	now := time.Now()
	for _, r := range one.runs {
		switch end := r.began.Add(w.task); {
		case end.Before(now) && end.Before(one.lease):
			w.done[r.key.Task] = true
			w.end(one, r, platform.CompletionDone)
		case one.lease.Before(now):
			w.end(one, r, platform.CompletionLapsed)
		}
	}
}

func (w *Workers) end(one *worker, r *run, how platform.CompletionKind) {
	delete(one.runs, r.key.Task)
	delete(w.at, r.key.Task)
	one.over[r.key.Task] = max(one.over[r.key.Task], r.key.Run)
	one.ends = append(one.ends, platform.Completion{AttemptKey: r.key, Number: one.next, Kind: how})
	one.next++
}

// Hold implements platform.Orders. It answers at once.
func (w *Workers) Hold(_ context.Context, to platform.Endpoint, o platform.HeartbeatCommand) (platform.HeartbeatResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one, err := w.reach(to, o.Token)
	if err != nil {
		return platform.HeartbeatResult{}, err
	}
	w.extend(one, o.Until)
	for len(one.ends) > 0 && one.ends[0].Number <= o.LastStored {
		one.ends = one.ends[1:]
	}
	report := platform.HeartbeatResult{Clock: time.Since(w.origin), StartedUnixMS: 1, Completion: append([]platform.Completion(nil), one.ends...)}
	for _, r := range one.runs {
		percent := int(100 * time.Since(r.began) / w.task)
		report.Running = append(report.Running, platform.Running{AttemptKey: r.key, Percent: min(percent, 99)})
	}
	return report, nil
}

func (w *Workers) extend(one *worker, until time.Duration) {
	if end := w.origin.Add(until); end.After(one.lease) {
		one.lease = end
	}
}

// Start implements platform.Orders.
func (w *Workers) Start(_ context.Context, to platform.Endpoint, o platform.StartCommand) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one, err := w.reach(to, o.Token)
	if err != nil {
		return 0, err
	}
	if o.Run <= one.over[o.Task] {
		return 0, &platform.RefusedError{Reason: platform.RefusedStale}
	}
	if one.runs[o.Task] != nil {
		return time.Since(w.origin), nil
	}
	w.extend(one, o.Until)
	for _, other := range w.workers {
		w.settle(other)
	}
	if _, elsewhere := w.at[o.Task]; elsewhere || w.done[o.Task] {
		w.overlaps = append(w.overlaps, o.Task)
	}
	one.runs[o.Task] = &run{key: o.AttemptKey, began: time.Now()}
	w.at[o.Task] = to.ID
	w.starts[o.Task]++
	return time.Since(w.origin), nil
}

// Stop implements platform.Orders.
func (w *Workers) Stop(_ context.Context, to platform.Endpoint, key platform.AttemptKey, token platform.Token) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	one, err := w.reach(to, token)
	if err != nil {
		return err
	}
	one.over[key.Task] = max(one.over[key.Task], key.Run)
	if r := one.runs[key.Task]; r != nil && r.key.Run == key.Run {
		w.end(one, r, platform.CompletionStopped)
	}
	return nil
}

// Pace implements platform.Orders; the time of a task does not depend on it.
func (w *Workers) Throttle(_ context.Context, to platform.Endpoint, _ platform.AttemptKey, _ int, token platform.Token) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.reach(to, token)
	return err
}
