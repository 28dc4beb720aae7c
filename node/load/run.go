package load

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// maxInFlight limits the number of concurrent calls.
	maxInFlight = 512
	// idleConnectionsPerNode is the number of idle connections kept to each node.
	idleConnectionsPerNode = 64
	// pollInterval is the interval at which accepted batch tasks are polled.
	pollInterval = 250 * time.Millisecond
)

// Config configures a load run.
type Config struct {
	// Nodes lists the entry nodes as "http://ip:port". Requests are sent
	// to them round robin.
	Nodes []string
	Mix   Mix
	// Expected returns the correct answer to a task; if it is nil, answers are not
	// checked.
	Expected func(domain.Task) []byte
	// BatchWait limits the wait for accepted batch tasks to finish after the last
	// request.
	BatchWait time.Duration
}

// loadRun is a load run in progress.
type loadRun struct {
	cfg      Config
	client   *APIClient
	results  *results
	inFlight sync.WaitGroup
	slots    chan struct{}
	nextNode int

	mu       sync.Mutex
	accepted []domain.RequestID
	watches  []domain.RequestID
}

// Run sends the requests of the mix and returns the results as the clients saw them.
func Run(ctx context.Context, cfg Config) Report {
	r := &loadRun{
		cfg:     cfg,
		client:  NewAPIClient(idleConnectionsPerNode),
		results: newResults(),
		slots:   make(chan struct{}, maxInFlight),
	}
	defer r.client.Close()
	r.sendAll(ctx)
	r.inFlight.Wait()
	r.awaitBatch(ctx)
	r.countWatches(ctx)
	return r.results.report()
}

// sendAll sends all requests at their scheduled times, or later if maxInFlight calls
// are in progress. The sequence of tasks depends only on the mix and its seed.
func (r *loadRun) sendAll(ctx context.Context) {
	g := newGenerator(r.cfg.Mix.Seed)
	start := time.Now()
	var at time.Duration
	batchTasksAndWatches := r.batchTasksAndWatches(g)
	for at < r.cfg.Mix.Duration && ctx.Err() == nil {
		at += g.nextArrivalDelay(r.cfg.Mix.UrgentPerSecond)
		for len(batchTasksAndWatches) > 0 && batchTasksAndWatches[0].at <= at {
			r.sendAt(ctx, start, batchTasksAndWatches[0].at, batchTasksAndWatches[0].task)
			batchTasksAndWatches = batchTasksAndWatches[1:]
		}
		r.sendAt(ctx, start, at, g.newUrgentTask(r.cfg.Mix.Deadline))
	}
}

// scheduledTask is a task and its time since the start of the run.
type scheduledTask struct {
	at   time.Duration
	task domain.Task
}

// batchTasksAndWatches schedules batch tasks and watches evenly over the first half
// of the run.
func (r *loadRun) batchTasksAndWatches(g *generator) []scheduledTask {
	total := r.cfg.Mix.BatchTasks + r.cfg.Mix.Watches
	list := make([]scheduledTask, 0, total)
	for i := range total {
		t := scheduledTask{at: r.cfg.Mix.Duration / 2 * time.Duration(i) / time.Duration(total)}
		if i < r.cfg.Mix.Watches {
			t.task = g.newWatch()
		} else {
			t.task = g.newBatchTask()
		}
		list = append(list, t)
	}
	return list
}

// sendAt waits until the given time after start and sends the task to the next node.
// It blocks while maxInFlight calls are in progress.
func (r *loadRun) sendAt(ctx context.Context, start time.Time, at time.Duration, task domain.Task) {
	timer := time.NewTimer(time.Until(start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	node := r.cfg.Nodes[r.nextNode%len(r.cfg.Nodes)]
	r.nextNode++
	r.slots <- struct{}{}
	r.inFlight.Go(func() {
		defer func() { <-r.slots }()
		r.submit(ctx, node, task)
	})
}

// submit sends a task and records the result.
func (r *loadRun) submit(ctx context.Context, node string, task domain.Task) {
	start := time.Now()
	o, err := r.client.Submit(ctx, node, "", task)
	took := time.Since(start)
	if err != nil {
		r.results.recordError(task.Kind, err)
		return
	}
	r.results.recordOutcome(task.Kind, o.State, took)
	if task.Kind == domain.KindUrgent {
		r.checkAnswer(task, o)
		return
	}
	if o.State == domain.OutcomeAccepted || o.State == domain.OutcomeRunning {
		r.recordAccepted(task.Kind, o.ID)
	}
}

// checkAnswer compares the answer with the expected answer to this request, byte for
// byte.
func (r *loadRun) checkAnswer(task domain.Task, o domain.Outcome) {
	if o.State != domain.OutcomeSucceeded || r.cfg.Expected == nil {
		return
	}
	task.ID = o.ID
	if !bytes.Equal(o.Answer, r.cfg.Expected(task)) {
		r.results.recordWrongAnswer(fmt.Sprintf("request %s got %q", o.ID, o.Answer))
	}
}

func (r *loadRun) recordAccepted(kind domain.Kind, id domain.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if kind == domain.KindWatch {
		r.watches = append(r.watches, id)
		return
	}
	r.accepted = append(r.accepted, id)
}

// awaitBatch polls the accepted batch tasks until all have finished or BatchWait has
// passed.
func (r *loadRun) awaitBatch(ctx context.Context) {
	deadline := time.Now().Add(r.cfg.BatchWait)
	unfinished := r.accepted
	for len(unfinished) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		var remaining []domain.RequestID
		for i, id := range unfinished {
			o, err := r.client.Get(ctx, r.cfg.Nodes[i%len(r.cfg.Nodes)], id)
			if err != nil || !o.State.Final() {
				remaining = append(remaining, id)
				continue
			}
			r.results.recordBatchOutcome(o.State)
		}
		unfinished = remaining
		sleep(ctx, pollInterval)
	}
	r.results.setBatchUnfinished(len(unfinished))
}

// countWatches counts how many of the accepted watches are running.
func (r *loadRun) countWatches(ctx context.Context) {
	running := 0
	for i, id := range r.watches {
		o, err := r.client.Get(ctx, r.cfg.Nodes[i%len(r.cfg.Nodes)], id)
		if err == nil && o.State == domain.OutcomeRunning {
			running++
		}
	}
	r.results.setWatches(running, len(r.watches))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
