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
	// maxWaiting bounds the urgent requests that wait for an answer at once.
	maxWaiting = 512
	// idleConnections are kept to each node.
	idleConnections = 64
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

// run is one run in progress.
type run struct {
	cfg     Config
	caller  *Caller
	results *results
	work    sync.WaitGroup
	slots   chan struct{}
	next    int

	mu       sync.Mutex
	accepted []domain.RequestID
	watches  []domain.RequestID
}

// Run sends the mix and returns what the callers saw.
func Run(ctx context.Context, cfg Config) Report {
	r := &run{
		cfg:     cfg,
		caller:  NewCaller(idleConnections),
		results: newResults(),
		slots:   make(chan struct{}, maxWaiting),
	}
	defer r.caller.Close()
	r.send(ctx)
	r.work.Wait()
	r.awaitBatch(ctx)
	r.countWatches(ctx)
	return r.results.report()
}

// send issues all requests at their times. The sequence of tasks depends on
// the seed only.
func (r *run) send(ctx context.Context) {
	g := newGenerator(r.cfg.Mix.Seed)
	start := time.Now()
	var at time.Duration
	others := r.others(g)
	for at < r.cfg.Mix.Duration && ctx.Err() == nil {
		at += g.arrival(r.cfg.Mix.UrgentPerSecond)
		for len(others) > 0 && others[0].at <= at {
			r.issue(ctx, start, others[0].at, others[0].task)
			others = others[1:]
		}
		r.issue(ctx, start, at, g.urgent(r.cfg.Mix.Deadline))
	}
}

type timedTask struct {
	at   time.Duration
	task domain.Task
}

// others spreads batch tasks and watches over the first half of the run.
func (r *run) others(g *generator) []timedTask {
	total := r.cfg.Mix.BatchTasks + r.cfg.Mix.Watches
	list := make([]timedTask, 0, total)
	for i := range total {
		t := timedTask{at: r.cfg.Mix.Duration / 2 * time.Duration(i) / time.Duration(total)}
		if i < r.cfg.Mix.Watches {
			t.task = g.watch()
		} else {
			t.task = g.batch()
		}
		list = append(list, t)
	}
	return list
}

// issue sends a task at its time, to the next node.
func (r *run) issue(ctx context.Context, start time.Time, at time.Duration, task domain.Task) {
	timer := time.NewTimer(time.Until(start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	node := r.cfg.Nodes[r.next%len(r.cfg.Nodes)]
	r.next++
	r.slots <- struct{}{}
	r.work.Go(func() {
		defer func() { <-r.slots }()
		r.one(ctx, node, task)
	})
}

func (r *run) one(ctx context.Context, node string, task domain.Task) {
	start := time.Now()
	o, err := r.caller.Submit(ctx, node, "", task)
	took := time.Since(start)
	if err != nil {
		r.results.fault(task.Kind, err)
		return
	}
	r.results.add(task.Kind, o.State, took)
	if task.Kind == domain.KindUrgent {
		r.check(task, o)
		return
	}
	if o.State == domain.OutcomeAccepted || o.State == domain.OutcomeRunning {
		r.keep(task.Kind, o.ID)
	}
}

// check compares an answer with its own request, byte for byte.
func (r *run) check(task domain.Task, o domain.Outcome) {
	if o.State != domain.OutcomeSucceeded || r.cfg.Expected == nil {
		return
	}
	task.ID = o.ID
	if !bytes.Equal(o.Answer, r.cfg.Expected(task)) {
		r.results.wrongAnswer(fmt.Sprintf("request %s got %q", o.ID, o.Answer))
	}
}

func (r *run) keep(kind domain.Kind, id domain.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if kind == domain.KindWatch {
		r.watches = append(r.watches, id)
		return
	}
	r.accepted = append(r.accepted, id)
}

// awaitBatch asks for the accepted batch tasks until all have ended.
func (r *run) awaitBatch(ctx context.Context) {
	limit := time.Now().Add(r.cfg.BatchWait)
	open := r.accepted
	for len(open) > 0 && time.Now().Before(limit) && ctx.Err() == nil {
		var still []domain.RequestID
		for i, id := range open {
			o, err := r.caller.Get(ctx, r.cfg.Nodes[i%len(r.cfg.Nodes)], id)
			if err != nil || !o.State.Final() {
				still = append(still, id)
				continue
			}
			r.results.ended(o.State)
		}
		open = still
		sleep(ctx, pollInterval)
	}
	r.results.unfinished(len(open))
}

// countWatches asks how many of the accepted watches run.
func (r *run) countWatches(ctx context.Context) {
	running := 0
	for i, id := range r.watches {
		o, err := r.caller.Get(ctx, r.cfg.Nodes[i%len(r.cfg.Nodes)], id)
		if err == nil && o.State == domain.OutcomeRunning {
			running++
		}
	}
	r.results.watching(running, len(r.watches))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
