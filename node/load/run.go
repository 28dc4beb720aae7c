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
	// maxInFlight bounds the urgent requests that wait for an answer at once.
	maxInFlight = 512
	// idleConnectionsPerNode are kept to each node.
	idleConnectionsPerNode = 64
	// pollInterval separates questions about accepted batch tasks.
	pollInterval = 250 * time.Millisecond
)

// Config is what a run needs.
type Config struct {
	// Nodes lists the entry nodes as "http://ip:port". Requests go to them in
	// turn.
	Nodes []string
	Mix   Mix
	// Expected returns the answer that the task must give; nil checks none.
	Expected func(domain.Task) []byte
	// BatchWait is how long accepted batch tasks are awaited after the last
	// request.
	BatchWait time.Duration
}

// loadRun is one run in progress.
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

// Run sends the mix and returns what the callers saw.
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

// sendAll issues all requests at their times. The sequence of tasks depends on
// the seed only.
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

type scheduledTask struct {
	at   time.Duration
	task domain.Task
}

// batchTasksAndWatches spreads batch tasks and watches over the first half of the run.
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

// sendAt sends a task at its time, to the next node.
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

// checkAnswer compares an answer with its own request, byte for byte.
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

// awaitBatch asks for the accepted batch tasks until all have ended.
func (r *loadRun) awaitBatch(ctx context.Context) {
	limit := time.Now().Add(r.cfg.BatchWait)
	open := r.accepted
	for len(open) > 0 && time.Now().Before(limit) && ctx.Err() == nil {
		var still []domain.RequestID
		for i, id := range open {
			o, err := r.client.Get(ctx, r.cfg.Nodes[i%len(r.cfg.Nodes)], id)
			if err != nil || !o.State.Final() {
				still = append(still, id)
				continue
			}
			r.results.recordBatchOutcome(o.State)
		}
		open = still
		sleep(ctx, pollInterval)
	}
	r.results.setBatchUnfinished(len(open))
}

// countWatches asks how many of the accepted watches run.
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
