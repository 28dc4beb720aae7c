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

// fakeAttempt is one run on a fake worker.
type fakeAttempt struct {
	status platform.Running
}

// fakeWorker follows the contract of a worker closely enough for the tests of
// the decision core: tokens, leases, runs that are refused as old, ends that
// are listed until they are stored.
type fakeWorker struct {
	id               domain.WorkerID
	incarnation      int64
	clock            time.Duration
	maxToken         platform.Token
	leaseUntil       time.Duration
	attempts         map[string]*fakeAttempt
	completions      []platform.Completion
	nextNumber       int64
	finishedAttempts map[string]int
	// unresponsive workers answer nothing and carry nothing out; deaf ones carry
	// starts out and do not answer.
	unresponsive, dropStartResults bool
	// stalled workers make no progress.
	stalled bool
	started []platform.AttemptKey
}

func newFakeWorker(id string) *fakeWorker {
	return &fakeWorker{
		id: domain.WorkerID(id), incarnation: 1, clock: time.Hour, attempts: map[string]*fakeAttempt{}, finishedAttempts: map[string]int{}, nextNumber: 1,
	}
}

func (w *fakeWorker) finish(task string, how platform.CompletionKind) {
	r := w.attempts[task]
	delete(w.attempts, task)
	w.finishedAttempts[task] = max(w.finishedAttempts[task], r.status.Run)
	w.completions = append(w.completions, platform.Completion{AttemptKey: r.status.AttemptKey, Number: w.nextNumber, Kind: how, Checkpoint: r.status.Checkpoint})
	w.nextNumber++
}

func (w *fakeWorker) advance(d time.Duration) {
	w.clock += d
	for _, r := range w.attempts {
		if !w.stalled {
			r.status.Percent = min(99, r.status.Percent+1)
		}
	}
	if w.clock <= w.leaseUntil {
		return
	}
	for task := range w.attempts {
		w.finish(task, platform.CompletionLapsed)
	}
}

func (w *fakeWorker) execute(o *Command) (Result, bool) {
	a := Result{Command: o}
	if w.unresponsive {
		return a, false
	}
	if o.Token < w.maxToken {
		a.Err = &platform.RefusedError{Reason: platform.RefusedFenced}
		return a, true
	}
	w.maxToken = o.Token
	switch o.Kind {
	case CommandHeartbeat:
		w.leaseUntil = max(w.leaseUntil, o.Hold.Until)
		for len(w.completions) > 0 && w.completions[0].Number <= o.Hold.LastStored {
			w.completions = w.completions[1:]
		}
		a.Report = platform.HeartbeatResult{Clock: w.clock, StartedUnixMS: w.incarnation, Completion: append([]platform.Completion(nil), w.completions...)}
		for _, r := range w.attempts {
			a.Report.Running = append(a.Report.Running, r.status)
		}
	case CommandStart:
		w.leaseUntil = max(w.leaseUntil, o.Start.Until)
		task := o.Start.Task
		a.Clock = w.clock
		if o.Start.Run <= w.finishedAttempts[task] {
			a.Err = &platform.RefusedError{Reason: platform.RefusedStale}
		} else if w.attempts[task] == nil {
			w.attempts[task] = &fakeAttempt{status: platform.Running{AttemptKey: o.Start.AttemptKey, Checkpoint: o.Start.Checkpoint}}
			w.started = append(w.started, o.Start.AttemptKey)
		}
		return a, !w.dropStartResults
	case CommandStop:
		key := o.Key()
		w.finishedAttempts[key.Task] = max(w.finishedAttempts[key.Task], key.Run)
		if r := w.attempts[key.Task]; r != nil && r.status.Run == key.Run {
			w.finish(key.Task, platform.CompletionStopped)
		}
	case CommandThrottle:
		if r := w.attempts[o.Key().Task]; r != nil {
			r.status.Percent = o.Percent
		}
	}
	return a, true
}

// harness runs a machine against fake workers, in steps of world.step.
type harness struct {
	t       *testing.T
	m       *Scheduler
	now     fleet.Instant
	workers []*fakeWorker
	// storeDown keeps appends waiting.
	storeDown bool
	batch     *Batch
	// leaseBounds is the stored list of the workers without a lease, and boundsAt when
	// it was stored. SeenAt is when the owner last wrote.
	leaseBounds               []byte
	leaseBoundsAt, lastSeenAt fleet.Instant
	// previousOwnerEnded tells a new owner that the process of the last one has ended.
	previousOwnerEnded bool
	// allowed are the workers that the policy service allows, and questions
	// counts the questions to it.
	allowed        map[domain.WorkerID]bool
	adviceRequests int
	// unanswered are orders whose answer does not come; they fail at the time.
	unanswered map[*Command]fleet.Instant
}

const harnessStep = 20 * time.Millisecond

// commandTimeout is when an order without an answer fails.
const commandTimeout = 700 * time.Millisecond

var testSettings = Settings{
	Lease: 6 * time.Second, HeartbeatWait: time.Second, MaxOffline: 9 * time.Second,
	Keep: time.Minute,
}

func newHarness(t *testing.T, workers int) *harness {
	w := &harness{t: t, now: time.Minute, unanswered: map[*Command]fleet.Instant{}}
	for i := range workers {
		w.workers = append(w.workers, newFakeWorker(fmt.Sprintf("w%d", i)))
	}
	w.setScheduler(New(testSettings, 5, w.now, w.now))
	return w
}

// setScheduler puts a machine in office: it learns the configuration and the registry.
func (w *harness) setScheduler(m *Scheduler) {
	w.m = m
	w.batch = nil
	clear(w.unanswered)
	m.SetConfig(&platform.OperatorConfig{Version: 1, Routes: []platform.Route{{Queue: testQueue}}})
	for i, f := range w.workers {
		m.List(platform.RegistryEntry{
			ID: f.id, Address: "a", Service: "desk", Domain: domain.FailureDomain([]string{"north", "south"}[i%2]),
			Capacity: domain.Resources{CPUMilli: 4000, MemoryMiB: 1000}, Labels: []string{"a", fmt.Sprintf("r%d", i%2)},
		}, w.now)
	}
}

var testQueue = job.Queue{Route: "checks", Service: "desk", MaxAttempts: 2, Stretch: 1.5, Objective: time.Second}

func (w *harness) worker(id domain.WorkerID) *fakeWorker {
	for _, f := range w.workers {
		if f.id == id {
			return f
		}
	}
	w.t.Fatalf("order for unknown worker %s", id)
	return nil
}

func (w *harness) step() {
	w.now += harnessStep
	for _, f := range w.workers {
		f.advance(harnessStep)
	}
	w.m.Advance(w.now, w.now.Milliseconds())
	w.storeBatch()
	for _, o := range w.m.TakeCommands() {
		if o.Kind == CommandAdvise {
			w.m.HandleResult(w.advise(o), w.now)
		} else if a, ok := w.worker(o.Worker).execute(o); ok {
			w.m.HandleResult(a, w.now)
		} else {
			w.unanswered[o] = w.now + commandTimeout
		}
	}
	for o, at := range w.unanswered {
		if w.now >= at {
			delete(w.unanswered, o)
			w.m.HandleResult(Result{Command: o, Err: fmt.Errorf("no answer")}, w.now)
		}
	}
	w.m.TakeDecisions()
}

// advise allows the workers in w.allowed.
func (w *harness) advise(o *Command) Result {
	w.adviceRequests++
	a := Result{Command: o, Advice: platform.Advice{Valid: 3 * time.Second}}
	for _, id := range o.Workers {
		if w.allowed[id] {
			a.Advice.Tickets = append(a.Advice.Tickets, platform.Ticket{Worker: id, Ticket: "t-" + string(id)})
		}
	}
	return a
}

func (w *harness) storeBatch() {
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
		if b.LeaseBounds != nil {
			w.leaseBounds, w.leaseBoundsAt = b.LeaseBounds, w.now
		}
		w.lastSeenAt = w.now
		w.m.Stored(b, w.now, w.now)
	}
}

func (w *harness) runFor(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
		if !w.storeDown {
			w.m.RecordRenewal(w.now)
			w.lastSeenAt = w.now
		}
	}
}

// startCount lists the runs that the workers have started, by task.
func (w *harness) startCount(task string) int {
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

// workersRunning returns the workers on which the task runs.
func (w *harness) workersRunning(task string) []*fakeWorker {
	var out []*fakeWorker
	for _, f := range w.workers {
		if f.attempts[task] != nil {
			out = append(out, f)
		}
	}
	return out
}

const (
	testJobID   = job.ID("0123456789abcdef")
	firstTaskID = "0123456789abcdef.0.0.0"
)

func singleStepJob(count int, cpu int64) *job.Job {
	return &job.Job{
		ID: testJobID, Payload: "text", Queue: testQueue,
		Steps: []job.Step{{Count: count, Need: domain.Resources{CPUMilli: cpu, MemoryMiB: 10}, Estimate: time.Second}},
	}
}
