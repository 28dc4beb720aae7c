package scheduler

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

// fakeAttempt is one attempt on a fake worker.
type fakeAttempt struct {
	status platform.Running
	// worked is how long the attempt has worked, at full speed.
	worked time.Duration
}

// fakeWorker implements the parts of the worker contract that the scheduler tests
// need: fencing tokens, leases, refusal of outdated attempts, and completions that
// are reported until they are stored.
type fakeWorker struct {
	id            domain.WorkerID
	address, kind string
	incarnation   int64
	clock         time.Duration
	maxToken      platform.Token
	leaseUntil    time.Duration
	// leaseLimit is the longest lease that the worker grants, on its own clock.
	leaseLimit       time.Duration
	attempts         map[string]*fakeAttempt
	completions      []platform.Completion
	nextNumber       int64
	finishedAttempts map[string]int
	// An unresponsive worker neither carries out nor answers commands.
	// dropStartResults makes the worker carry out start requests without answering.
	// dropResults makes it carry out all commands without answering.
	unresponsive, dropStartResults, dropResults bool
	// The attempts on a stalled worker make no progress. The clock of a slow worker is 2%
	// slow.
	stalled, slow bool
	started       []platform.AttemptKey
	// taskTime is how long a task takes at full speed; 0 for tasks that gain a percent in each
	// step and do not end by themselves. Tasks on the worker take slowdown times as long.
	taskTime time.Duration
	slowdown int
}

func newFakeWorker(id string) *fakeWorker {
	return &fakeWorker{
		id: domain.WorkerID(id), address: "address of " + id, kind: "a", incarnation: 1, clock: time.Hour, leaseLimit: testSettings.LeaseLimit, attempts: map[string]*fakeAttempt{}, finishedAttempts: map[string]int{}, nextNumber: 1,
	}
}

// restart ends the worker's process and starts a new one, which knows nothing of the
// former and whose clock shows the given time.
func (w *fakeWorker) restart(clock time.Duration) {
	w.incarnation++
	w.attempts, w.finishedAttempts, w.completions = map[string]*fakeAttempt{}, map[string]int{}, nil
	w.nextNumber, w.maxToken, w.clock, w.leaseUntil = 1, 0, clock, 0
}

func (w *fakeWorker) finish(task string, kind platform.CompletionKind) {
	r := w.attempts[task]
	delete(w.attempts, task)
	w.finishedAttempts[task] = max(w.finishedAttempts[task], r.status.Attempt)
	w.completions = append(w.completions, platform.Completion{AttemptKey: r.status.AttemptKey, Number: w.nextNumber, Kind: kind, Checkpoint: r.status.Checkpoint})
	w.nextNumber++
}

func (w *fakeWorker) advance(d time.Duration) {
	if w.slow {
		d = d * 98 / 100
	}
	w.clock += d
	for _, task := range slices.Sorted(maps.Keys(w.attempts)) {
		if !w.stalled {
			w.work(task, d)
		}
	}
	if w.clock <= w.leaseUntil {
		return
	}
	for task := range w.attempts {
		w.finish(task, platform.CompletionLapsed)
	}
}

// work lets an attempt work for the given time.
func (w *fakeWorker) work(task string, d time.Duration) {
	r := w.attempts[task]
	if w.taskTime == 0 {
		r.status.ProgressPercent = min(99, r.status.ProgressPercent+1)
		return
	}
	r.worked += d / time.Duration(max(1, w.slowdown))
	if r.worked >= w.taskTime {
		w.finish(task, platform.CompletionDone)
		return
	}
	r.status.ProgressPercent = int(100 * r.worked / w.taskTime)
}

// extendLease extends the lease as far as the worker allows.
func (w *fakeWorker) extendLease(until time.Duration) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock+w.leaseLimit))
}

// execute carries out a command. It returns false if the worker does not answer.
func (w *fakeWorker) execute(command *Command) (result Result, answered bool) {
	result = Result{Command: command}
	if w.unresponsive {
		return result, false
	}
	if command.Token < w.maxToken {
		result.Err = &platform.RefusedError{Reason: platform.RefusedFenced}
		return result, true
	}
	w.maxToken = command.Token
	if w.dropResults {
		defer func() { answered = false }()
	}
	switch command.Kind {
	case CommandHeartbeat:
		w.extendLease(command.Heartbeat.Until)
		for len(w.completions) > 0 && w.completions[0].Number <= command.Heartbeat.LastStored {
			w.completions = w.completions[1:]
		}
		result.Report = platform.HeartbeatResult{Clock: w.clock, StartedUnixMS: w.incarnation, Completions: append([]platform.Completion(nil), w.completions...)}
		for _, task := range slices.Sorted(maps.Keys(w.attempts)) {
			result.Report.Running = append(result.Report.Running, w.attempts[task].status)
		}
	case CommandStart:
		task := command.Start.Task
		result.Clock = w.clock
		if command.Start.Until <= w.clock {
			result.Err = &platform.RefusedError{Reason: platform.RefusedLeaseExpired}
			return result, !w.dropStartResults
		}
		w.extendLease(command.Start.Until)
		if command.Start.Attempt <= w.finishedAttempts[task] {
			result.Err = &platform.RefusedError{Reason: platform.RefusedStale}
		} else if w.attempts[task] == nil {
			w.attempts[task] = &fakeAttempt{status: platform.Running{AttemptKey: command.Start.AttemptKey, Checkpoint: command.Start.Checkpoint}}
			w.started = append(w.started, command.Start.AttemptKey)
		}
		return result, !w.dropStartResults
	case CommandStop:
		key := command.Key()
		w.finishedAttempts[key.Task] = max(w.finishedAttempts[key.Task], key.Attempt)
		if r := w.attempts[key.Task]; r != nil && r.status.Attempt == key.Attempt {
			w.finish(key.Task, platform.CompletionStopped)
		}
	case CommandThrottle:
		if r := w.attempts[command.Key().Task]; r != nil {
			r.status.ProgressPercent = command.Percent
		}
	}
	return result, true
}

// harness runs a scheduler against fake workers, in steps of harnessStep.
type harness struct {
	t         *testing.T
	settings  Settings
	scheduler *Scheduler
	now       fleet.Instant
	workers   []*fakeWorker
	// storeDown delays all appends.
	storeDown bool
	batch     *Batch
	// leaseBounds is the stored lease bounds record, and leaseBoundsAt is when it
	// was stored. lastSeenAt is when the owner last wrote to the store.
	leaseBounds               []byte
	leaseBoundsAt, lastSeenAt fleet.Instant
	// unreadable are the jobs whose records the next owner cannot decode.
	unreadable []job.ID
	// refused is the job whose state the store refuses for good; empty for none.
	refused job.ID
	// storedStates are the stored state records of the jobs, and stateOffsets their
	// offsets. statesEnd is the end of the states.
	storedStates map[job.ID][]byte
	// storedParts are the stored parts of the state of testJobID.
	storedParts  map[int][]byte
	stateOffsets map[job.ID]int64
	statesEnd    int64
	// settled is the owner's settled offset, and settledOffset the stored one.
	settled       SettledOffset
	settledOffset int64
	// previousOwnerEnded tells a new owner that the process of the previous owner
	// has ended.
	previousOwnerEnded bool
	// allowed are the workers that the policy service allows, and adviceRequests
	// counts the requests to it.
	allowed        map[domain.WorkerID]bool
	adviceRequests int
	// unanswered are the commands that get no result, with the time at which they
	// fail.
	unanswered map[*Command]fleet.Instant
	// heartbeatsWait makes a heartbeat without an answer fail later by the time that the
	// worker may wait.
	heartbeatsWait bool
	// delays selects commands that reach no worker by themselves. They are added to
	// delayed and get no result.
	delays  func(*Command) bool
	delayed []*Command
	// accounts are the client accounts of the configuration, and configChanges counts the
	// configurations after the first.
	accounts      []account.Account
	configChanges int64
	// decisions are all decisions so far.
	decisions []Decision
}

var errNoAnswer = errors.New("no answer")

const harnessStep = 20 * time.Millisecond

// commandTimeout is how long after its issue a command without a result fails.
const commandTimeout = 700 * time.Millisecond

var testSettings = Settings{
	Lease: 6 * time.Second, LeaseLimit: 6500 * time.Millisecond, HeartbeatWait: time.Second, MaxOffline: 9 * time.Second,
	OwnerTimeout: 2 * time.Second, Retention: time.Minute,
}

func newHarness(t *testing.T, workers int) *harness {
	t.Helper()
	return newHarnessWith(t, workers, testSettings)
}

func newHarnessWith(t *testing.T, workers int, settings Settings) *harness {
	t.Helper()
	h := &harness{t: t, settings: settings, now: time.Minute, unanswered: map[*Command]fleet.Instant{}, storedStates: map[job.ID][]byte{}, storedParts: map[int][]byte{}, stateOffsets: map[job.ID]int64{}}
	for i := range workers {
		f := newFakeWorker(fmt.Sprintf("w%d", i))
		f.leaseLimit = settings.LeaseLimit
		h.workers = append(h.workers, f)
	}
	h.setScheduler(New(settings, 5, h.now, h.now))
	return h
}

// setScheduler makes a scheduler the current owner and passes it the configuration
// and the registry.
func (h *harness) setScheduler(scheduler *Scheduler) {
	h.scheduler = scheduler
	h.batch, h.settled = nil, SettledOffset{}
	clear(h.unanswered)
	scheduler.SetConfig(h.config())
	for _, f := range h.workers {
		h.register(f)
	}
}

// config returns the current configuration.
func (h *harness) config() *platform.OperatorConfig {
	return &platform.OperatorConfig{
		Version: 1 + h.configChanges, Routes: []platform.Route{{Queue: testQueue}}, HasAccounts: h.accounts != nil, Accounts: h.accounts,
	}
}

// register passes the current registry entry of a worker to the scheduler.
func (h *harness) register(f *fakeWorker) {
	i := slices.Index(h.workers, f)
	h.scheduler.RegisterWorker(platform.RegistryEntry{
		ID: f.id, Address: f.address, Service: "desk", Domain: domain.FailureDomain([]string{"north", "south"}[i%2]),
		Capacity: domain.Resources{CPUMilli: 4000, MemoryMiB: 1000}, Labels: []string{f.kind, fmt.Sprintf("r%d", i%2)},
		StartedUnixMS: f.incarnation,
	}, h.now)
}

var testQueue = job.Queue{Route: "checks", Service: "desk", MaxAttempts: 2, Stretch: 1.5, Objective: time.Second}

func (h *harness) worker(id domain.WorkerID) *fakeWorker {
	for _, f := range h.workers {
		if f.id == id {
			return f
		}
	}
	h.t.Fatalf("command for unknown worker %s", id)
	return nil
}

// execute lets the worker at the address of a command carry it out. It returns false
// if there is no answer.
func (h *harness) execute(command *Command) (result Result, answered bool) {
	for _, f := range h.workers {
		if f.address != command.To.Address {
			continue
		}
		if f.id != command.To.ID && !f.unresponsive {
			return Result{Command: command, Err: &platform.RefusedError{Reason: platform.RefusedIncarnation}}, true
		}
		return f.execute(command)
	}
	return Result{Command: command}, false
}

func (h *harness) step() {
	h.now += harnessStep
	for _, f := range h.workers {
		f.advance(harnessStep)
	}
	h.scheduler.Advance(h.now, h.now.Milliseconds())
	h.storeBatch()
	for _, command := range h.scheduler.TakeCommands() {
		if command.Kind == CommandAdvise {
			h.scheduler.HandleResult(h.advise(command), h.now)
		} else if h.delays != nil && h.delays(command) {
			h.delayed = append(h.delayed, command)
		} else if result, ok := h.execute(command); ok {
			h.scheduler.HandleResult(result, h.now)
		} else {
			h.unanswered[command] = h.now + commandTimeout
			if h.heartbeatsWait {
				h.unanswered[command] += command.Heartbeat.Wait
			}
		}
	}
	for command, at := range h.unanswered {
		if h.now >= at {
			delete(h.unanswered, command)
			h.scheduler.HandleResult(Result{Command: command, Err: errNoAnswer}, h.now)
		}
	}
	decisions, _ := h.scheduler.TakeDecisions()
	h.decisions = append(h.decisions, decisions...)
}

// advise returns tickets for the workers in h.allowed.
func (h *harness) advise(command *Command) Result {
	h.adviceRequests++
	result := Result{Command: command, Advice: platform.Advice{Valid: 3 * time.Second}}
	for _, id := range command.Workers {
		if h.allowed[id] {
			result.Advice.Tickets = append(result.Advice.Tickets, platform.Ticket{Worker: id, Ticket: "t-" + string(id)})
		}
	}
	return result
}

func (h *harness) storeBatch() {
	h.takeBatch()
	if b := h.batch; b != nil && !h.storeDown {
		h.batch = nil
		h.keep(b)
		h.scheduler.Stored(b, h.now, h.now)
		h.settled.Observe(h.statesEnd, h.now)
	}
	if !h.storeDown && h.scheduler.AreLeaseBoundsStored(h.now) {
		if offset, ok := h.settled.Take(h.now); ok {
			h.settledOffset = offset
		}
	}
}

// takeBatch takes the owner's next batch, unless it waits for one to be stored.
func (h *harness) takeBatch() {
	if h.batch != nil {
		return
	}
	b, err := h.scheduler.TakeBatch(h.now)
	if err != nil {
		h.t.Fatal(err)
	}
	h.batch = b
}

// keep stores the records of a batch.
func (h *harness) keep(b *Batch) {
	if b.LeaseBounds != nil {
		h.leaseBounds, h.leaseBoundsAt = b.LeaseBounds, h.now
	}
	for _, record := range slices.Clone(b.Records) {
		if record.Job == h.refused {
			h.scheduler.Hold(b, record.Job, platform.ErrInvalid, h.now)
			continue
		}
		if record.Part == ledger.MainPart {
			h.storedStates[record.Job] = record.State
		} else {
			h.storedParts[record.Part] = record.State
		}
		h.stateOffsets[record.Job] = h.statesEnd
		h.statesEnd++
	}
	h.lastSeenAt = h.now
}

func (h *harness) runFor(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.step()
		if !h.storeDown {
			h.scheduler.RecordRenewal(h.now)
			h.lastSeenAt = h.now
		}
	}
}

// startCount returns how many attempts of the task the workers have started.
func (h *harness) startCount(task string) int {
	n := 0
	for _, f := range h.workers {
		for _, key := range f.started {
			if key.Task == task {
				n++
			}
		}
	}
	return n
}

// workersRunning returns the workers on which the task runs.
func (h *harness) workersRunning(task string) []*fakeWorker {
	var out []*fakeWorker
	for _, f := range h.workers {
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
