package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// fakeRun is one run on a fake worker.
type fakeRun struct {
	row platform.Running
}

// fakeWorker follows the contract of a worker closely enough for the tests of
// the decision core: tokens, leases, runs that are refused as old, ends that
// are listed until they are stored.
type fakeWorker struct {
	id    domain.WorkerID
	born  int64
	clock time.Duration
	token platform.Token
	lease time.Duration
	runs  map[string]*fakeRun
	ends  []platform.Completion
	next  int64
	over  map[string]int
	// dark workers answer nothing and carry nothing out; deaf ones carry
	// starts out and do not answer.
	dark, deafStarts bool
	// still workers make no progress.
	still   bool
	started []platform.AttemptKey
}

func newFakeWorker(id string) *fakeWorker {
	return &fakeWorker{
		id: domain.WorkerID(id), born: 1, clock: time.Hour, runs: map[string]*fakeRun{}, over: map[string]int{}, next: 1,
	}
}

func (w *fakeWorker) end(task string, how platform.CompletionKind) {
	r := w.runs[task]
	delete(w.runs, task)
	w.over[task] = max(w.over[task], r.row.Run)
	w.ends = append(w.ends, platform.Completion{AttemptKey: r.row.AttemptKey, Number: w.next, Kind: how, Checkpoint: r.row.Checkpoint})
	w.next++
}

func (w *fakeWorker) advance(d time.Duration) {
	w.clock += d
	for _, r := range w.runs {
		if !w.still {
			r.row.Percent = min(99, r.row.Percent+1)
		}
	}
	if w.clock <= w.lease {
		return
	}
	for task := range w.runs {
		w.end(task, platform.CompletionLapsed)
	}
}

func (w *fakeWorker) do(o *Order) (Answer, bool) {
	a := Answer{Order: o}
	if w.dark {
		return a, false
	}
	if o.Token < w.token {
		a.Err = &platform.RefusedError{Reason: platform.RefusedFenced}
		return a, true
	}
	w.token = o.Token
	switch o.Kind {
	case OrderHold:
		w.lease = max(w.lease, o.Hold.Until)
		for len(w.ends) > 0 && w.ends[0].Number <= o.Hold.LastStored {
			w.ends = w.ends[1:]
		}
		a.Report = platform.HeartbeatResult{Clock: w.clock, StartedUnixMS: w.born, Completion: append([]platform.Completion(nil), w.ends...)}
		for _, r := range w.runs {
			a.Report.Running = append(a.Report.Running, r.row)
		}
	case OrderStart:
		w.lease = max(w.lease, o.Start.Until)
		task := o.Start.Task
		a.Clock = w.clock
		if o.Start.Run <= w.over[task] {
			a.Err = &platform.RefusedError{Reason: platform.RefusedStale}
		} else if w.runs[task] == nil {
			w.runs[task] = &fakeRun{row: platform.Running{AttemptKey: o.Start.AttemptKey, Checkpoint: o.Start.Checkpoint}}
			w.started = append(w.started, o.Start.AttemptKey)
		}
		return a, !w.deafStarts
	case OrderStop:
		key := o.Key()
		w.over[key.Task] = max(w.over[key.Task], key.Run)
		if r := w.runs[key.Task]; r != nil && r.row.Run == key.Run {
			w.end(key.Task, platform.CompletionStopped)
		}
	case OrderPace:
		if r := w.runs[o.Key().Task]; r != nil {
			r.row.Percent = o.Percent
		}
	}
	return a, true
}

// world runs a machine against fake workers, in steps of world.step.
type world struct {
	t       *testing.T
	m       *Machine
	now     fleet.Instant
	workers []*fakeWorker
	// storeDown keeps appends waiting.
	storeDown bool
	batch     *Batch
	// bounds is the stored list of the workers without a lease, and boundsAt when
	// it was stored. SeenAt is when the owner last wrote.
	bounds           []byte
	boundsAt, seenAt fleet.Instant
	// formerDead tells a new owner that the process of the last one has ended.
	formerDead bool
	// allowed are the workers that the policy service allows, and questions
	// counts the questions to it.
	allowed   map[domain.WorkerID]bool
	questions int
	// waiting are orders whose answer does not come; they fail at the time.
	waiting map[*Order]fleet.Instant
}

const worldStep = 20 * time.Millisecond

// answerTimeout is when an order without an answer fails.
const answerTimeout = 700 * time.Millisecond

var testSettings = Settings{
	Lease: 6 * time.Second, HoldWait: time.Second, Offline: 9 * time.Second,
	Keep: time.Minute,
}

func newWorld(t *testing.T, workers int) *world {
	w := &world{t: t, now: time.Minute, waiting: map[*Order]fleet.Instant{}}
	for i := range workers {
		w.workers = append(w.workers, newFakeWorker(fmt.Sprintf("w%d", i)))
	}
	w.own(New(testSettings, 5, w.now, w.now))
	return w
}

// own puts a machine in office: it learns the configuration and the registry.
func (w *world) own(m *Machine) {
	w.m = m
	w.batch = nil
	clear(w.waiting)
	m.SetConfig(&platform.OperatorConfig{Version: 1, Routes: []platform.Route{{Queue: testQueue}}})
	for i, f := range w.workers {
		m.List(platform.RegistryEntry{
			ID: f.id, Address: "a", Service: "desk", Domain: domain.FailureDomain([]string{"north", "south"}[i%2]),
			Capacity: domain.Resources{CPUMilli: 4000, MemoryMiB: 1000}, Labels: []string{"a", fmt.Sprintf("r%d", i%2)},
		}, w.now)
	}
}

var testQueue = job.Queue{Route: "checks", Service: "desk", MaxAttempts: 2, Stretch: 1.5, Objective: time.Second}

func (w *world) worker(id domain.WorkerID) *fakeWorker {
	for _, f := range w.workers {
		if f.id == id {
			return f
		}
	}
	w.t.Fatalf("order for unknown worker %s", id)
	return nil
}

func (w *world) step() {
	w.now += worldStep
	for _, f := range w.workers {
		f.advance(worldStep)
	}
	w.m.Advance(w.now, w.now.Milliseconds())
	w.store()
	for _, o := range w.m.TakeOrders() {
		if o.Kind == OrderAdvise {
			w.m.Answered(w.advise(o), w.now)
		} else if a, ok := w.worker(o.Worker).do(o); ok {
			w.m.Answered(a, w.now)
		} else {
			w.waiting[o] = w.now + answerTimeout
		}
	}
	for o, at := range w.waiting {
		if w.now >= at {
			delete(w.waiting, o)
			w.m.Answered(Answer{Order: o, Err: fmt.Errorf("no answer")}, w.now)
		}
	}
	w.m.TakeDecisions()
}

// advise allows the workers in w.allowed.
func (w *world) advise(o *Order) Answer {
	w.questions++
	a := Answer{Order: o, Advice: platform.Advice{Valid: 3 * time.Second}}
	for _, id := range o.Workers {
		if w.allowed[id] {
			a.Advice.Tickets = append(a.Advice.Tickets, platform.Ticket{Worker: id, Ticket: "t-" + string(id)})
		}
	}
	return a
}

func (w *world) store() {
	if w.batch == nil {
		b, err := w.m.TakeBatch(w.now)
		if err != nil {
			w.t.Fatal(err)
		}
		w.batch = b
	}
	if w.batch != nil && !w.storeDown {
		b := w.batch
		w.batch = nil
		if b.Bounds != nil {
			w.bounds, w.boundsAt = b.Bounds, w.now
		}
		w.seenAt = w.now
		w.m.Stored(b, w.now, w.now)
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
		if !w.storeDown {
			w.m.Renewed(w.now)
			w.seenAt = w.now
		}
	}
}

// starts lists the runs that the workers have started, by task.
func (w *world) starts(task string) int {
	n := 0
	for _, f := range w.workers {
		for _, key := range f.started {
			if key.Task == task {
				n++
			}
		}
	}
	return n
}

// runningOn returns the workers on which the task runs.
func (w *world) runningOn(task string) []*fakeWorker {
	var out []*fakeWorker
	for _, f := range w.workers {
		if f.runs[task] != nil {
			out = append(out, f)
		}
	}
	return out
}

const (
	testJobID = job.ID("0123456789abcdef")
	firstTask = "0123456789abcdef.0.0.0"
)

func oneStep(count int, cpu int64) *job.Job {
	return &job.Job{
		ID: testJobID, Payload: "text", Queue: testQueue,
		Steps: []job.Step{{Count: count, Need: domain.Resources{CPUMilli: cpu, MemoryMiB: 10}, Estimate: time.Second}},
	}
}
