package shard

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// simDomain simulates a failure domain with one shard in virtual time: workers
// that keep the contract, a log, and owners whose calls are delayed or lost. A
// seeded generator chooses the pauses of owners and the faults of the network.
type simDomain struct {
	*simClock

	shard   domain.ShardID
	workers []*simWorker
	owners  []*simOwner
	journal *journal.Domain
	offset  platform.Offset
	logUp   bool
	config  domain.Configuration

	// calls holds the request of each call of a client.
	calls map[CallID]domain.RequestID
	// sent holds when each call was made, answers when and how it was answered.
	sent     map[CallID]time.Duration
	answers  map[CallID]answer
	lastCall CallID
	outcomes map[domain.RequestID][]domain.Outcome
	// trace holds the reasons recorded by all owners, by request.
	trace map[domain.RequestID][]string
	// unreachable holds when the newest owner last could not reach a worker.
	unreachable map[domain.WorkerID]time.Duration
	// takeOuts holds the periods during which the failure domain was taken out.
	takeOuts []takeOutPeriod
	// other is the shard of another failure domain that tasks move to.
	other *simDomain
	// onReply holds the handlers of the replies to calls of the other shard.
	onReply map[CallID]func(Reply)
	// disabledMechanism is switched off, to show that the checks detect it.
	disabledMechanism disabledMechanism
}

// simClock is the virtual time and the random source of one history.
type simClock struct {
	rng   *rand.Rand
	now   time.Duration
	queue timers
	seq   int
}

// newSimClock returns a clock that starts at one hour, because the state machine
// uses the instant 0 for times that are not set.
func newSimClock(seed uint64) *simClock {
	return &simClock{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour}
}

// answer is the answer that a client got, and when.
type answer struct {
	at      time.Duration
	outcome domain.Outcome
}

// takeOutPeriod is a period during which a failure domain was taken out; to is zero
// while it lasts.
type takeOutPeriod struct{ from, to time.Duration }

// disabledMechanism is a mechanism that a test switches off.
type disabledMechanism int

const (
	disableNone disabledMechanism = iota
	// disableFencing: workers accept any epoch.
	disableFencing
	// treatLostAnswerAsRefusal: a start whose answer was lost counts as refused.
	treatLostAnswerAsRefusal
	// disableTakeoverWait: each new owner is told that the shard was handed over.
	disableTakeoverWait
)

type timer struct {
	at  time.Duration
	seq int
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// simOwner drives one state machine. While the owner is paused, its events wait.
type simOwner struct {
	node    domain.NodeID
	machine *StateMachine
	paused  bool
	pending []Event
	logCut  bool
	config  domain.Configuration
	// cut lists the workers that the owner cannot reach.
	cut  map[domain.WorkerID]bool
	down bool
}

const (
	simWorkers  = 5
	callTimeout = 800 * time.Millisecond
)

func newSimDomain(clock *simClock, name domain.FailureDomain, disabled disabledMechanism) *simDomain {
	w := &simDomain{
		simClock:          clock,
		shard:             domain.ShardID{Domain: name, Index: 0},
		journal:           journal.NewDomain(),
		logUp:             true,
		calls:             map[CallID]domain.RequestID{},
		sent:              map[CallID]time.Duration{},
		answers:           map[CallID]answer{},
		outcomes:          map[domain.RequestID][]domain.Outcome{},
		trace:             map[domain.RequestID][]string{},
		onReply:           map[CallID]func(Reply){},
		unreachable:       map[domain.WorkerID]time.Duration{},
		disabledMechanism: disabled,
	}
	w.config = domain.Configuration{Version: 1, Preset: domain.Preset{Name: "ordinary", IsolatedStarts: domain.IsolatedAll}}
	for i := range simWorkers {
		w.workers = append(w.workers, newSimWorker(w, domain.WorkerID(fmt.Sprintf("%s-w%d", name, i))))
	}
	return w
}

func (w *simClock) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, timer{at: w.now + d, seq: w.seq, run: run})
}

// runFor advances the time by d and runs the timers that are due.
func (w *simClock) runFor(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		t := heap.Pop(&w.queue).(timer)
		w.now = t.at
		t.run()
	}
	w.now = end
}

func (w *simClock) delay() time.Duration {
	return time.Duration(200+w.rng.IntN(2000)) * time.Microsecond
}

// claim adds a new owner. The previous one continues until it learns of the claim.
func (w *simDomain) claim(node domain.NodeID) *simOwner {
	prev := w.journal.Shard(w.shard).Epoch
	w.appendRecord([]journal.Entry{{Shard: w.shard, Claim: &journal.Claim{Shard: w.shard, Node: node, Previous: prev}}})
	j := w.journal.Shard(w.shard).Clone()
	if w.disabledMechanism == disableTakeoverWait {
		j.Handover = true
	}
	o := &simOwner{node: node, cut: map[domain.WorkerID]bool{}}
	m, effects := New(Config{Shard: w.shard, Node: node, Epoch: j.Epoch, Journal: j, Policy: newFirstFit(), Now: w.now})
	o.machine = m
	w.owners = append(w.owners, o)
	w.run(o, effects)
	w.configure(o)
	w.step(o, WorkersListed{VMs: w.vms()})
	w.tick(o)
	return o
}

func (w *simDomain) vms() []platform.VM {
	var list []platform.VM
	for _, k := range w.workers {
		list = append(list, platform.VM{ID: k.id, Domain: w.shard.Domain, State: platform.VMLive})
	}
	return list
}

func (w *simDomain) tick(o *simOwner) {
	if o.down {
		return
	}
	w.recordUnreachable()
	w.readLog(o)
	w.configure(o)
	w.step(o, Tick{})
	w.after(TickInterval, func() { w.tick(o) })
}

// configure gives an owner the configuration. An owner that is cut off from the log
// is isolated and keeps the configuration that it has.
func (w *simDomain) configure(o *simOwner) {
	if o.logCut {
		w.step(o, Configured{Configuration: o.config, Isolated: true})
		return
	}
	o.config = w.config
	c := Configured{Configuration: w.config}
	if w.other != nil && !w.config.TakenOut(w.other.shard.Domain) {
		c.Targets = []domain.ShardID{w.other.shard}
	}
	w.step(o, c)
}

func (w *simDomain) recordUnreachable() {
	for _, k := range w.workers {
		if k.crashed || w.latest().cut[k.id] {
			w.unreachable[k.id] = w.now
		}
	}
}

// isUnreachable reports whether the newest owner could not reach the worker at some
// time within the last 2 s, about as long as an attach takes.
func (w *simDomain) isUnreachable(k *simWorker) bool {
	last, ever := w.unreachable[k.id]
	return ever && w.now-last < 2*time.Second
}

// markLostResults marks the results that no owner can know of when another attempt
// starts or the task moves to the other domain: the log holds no outcome, and the
// worker that has the result is unreachable. Another attempt is right in this case,
// because the task would be lost if the worker never returned.
func (w *simDomain) markLostResults(id domain.RequestID) {
	if w.endLogged(id) || w.other != nil && w.other.endLogged(id) {
		return
	}
	w.markLostResultsInDomain(id)
	if w.other != nil {
		w.other.markLostResultsInDomain(id)
	}
}

func (w *simDomain) markLostResultsInDomain(id domain.RequestID) {
	for _, k := range w.workers {
		for i := range k.history {
			iv := &k.history[i]
			if iv.id == id && iv.state == platform.TaskSucceeded && w.isUnreachable(k) {
				iv.lost = true
			}
		}
	}
}

func (w *simDomain) endLogged(id domain.RequestID) bool {
	_, logged := w.journal.Shard(w.shard).Finished[id]
	return logged
}

func (w *simDomain) readLog(o *simOwner) {
	up := w.logUp && !o.logCut
	w.step(o, LogState{Up: up})
	if up {
		w.step(o, OwnershipRead{SentAt: w.now, Epoch: w.journal.Shard(w.shard).Epoch})
	}
}

func (w *simDomain) appendRecord(entries []journal.Entry) {
	w.offset++
	rec, err := journal.Encode(fmt.Sprint("r", w.offset), entries)
	if err != nil {
		panic(err)
	}
	rec.Offset, rec.AppendedAt = w.offset, time.Unix(0, int64(w.now))
	if err := w.journal.ApplyRecord(rec); err != nil {
		panic(err)
	}
}

func (w *simDomain) step(o *simOwner, ev Event) {
	if o.down {
		return
	}
	if o.paused {
		o.pending = append(o.pending, ev)
		return
	}
	w.run(o, o.machine.Step(w.now, ev))
}

// resume lets a paused owner process the events that arrived meanwhile.
func (w *simDomain) resume(o *simOwner) {
	o.paused = false
	pending := o.pending
	o.pending = nil
	for _, ev := range pending {
		w.step(o, ev)
	}
}

func (w *simDomain) run(o *simOwner, effects []Effect) {
	for _, e := range effects {
		w.execute(o, e)
	}
}

func (w *simDomain) execute(o *simOwner, e Effect) {
	switch e := e.(type) {
	case SendAttach:
		sent := w.now
		var done AttachDone
		w.call(o, e.Worker, func(k *simWorker) { done.Reply, done.Err = k.attach(e.Request) },
			func(err *domain.Error, _ bool) Event {
				return AttachDone{Worker: e.Worker, Reply: done.Reply, Err: firstError(err, done.Err), SentAt: sent}
			})
	case SendRenew:
		sent := w.now
		var done RenewDone
		w.call(o, e.Worker, func(k *simWorker) { done.Reply, done.Err = k.renew(e.Request) },
			func(err *domain.Error, _ bool) Event {
				return RenewDone{Worker: e.Worker, Reply: done.Reply, Err: firstError(err, done.Err), SentAt: sent}
			})
	case SendStart:
		w.executeStart(o, e)
	case SendStop:
		var done StopDone
		w.call(o, e.Worker, func(k *simWorker) { done.Status, done.Err = k.stop(e.Request) },
			func(err *domain.Error, _ bool) Event {
				return StopDone{Worker: e.Worker, ID: e.Request.ID, Status: done.Status, Err: firstError(err, done.Err)}
			})
	case SendLookup:
		var done LookupDone
		w.call(o, e.Worker, func(k *simWorker) { done.Status, done.Err = k.lookup(e.ID) },
			func(err *domain.Error, _ bool) Event {
				return LookupDone{Worker: e.Worker, ID: e.ID, Status: done.Status, Err: firstError(err, done.Err)}
			})
	case Append:
		w.executeAppend(o, e)
	case Delegate:
		w.delegate(o, e)
	case Redirect:
		w.redirect(e)
	case Reply:
		if answer, ok := w.onReply[e.Call]; ok {
			delete(w.onReply, e.Call)
			answer(e)
			return
		}
		if id, ok := w.calls[e.Call]; ok && e.Outcome.State != "" {
			w.outcomes[id] = append(w.outcomes[id], e.Outcome)
			w.answers[e.Call] = answer{at: w.now, outcome: e.Outcome}
		}
	case Explain:
		w.trace[e.ID] = append(w.trace[e.ID], fmt.Sprintf("%s %s: %s", w.now-time.Hour, o.node, e.Reason))
	case StepDown:
		o.down = true
	}
}

func firstError(a, b *domain.Error) *domain.Error {
	if a != nil {
		return a
	}
	return b
}

// call sends a command to a worker and its answer back. Both ways may fail; a lost
// answer is reported after callTimeout. answer makes the event from the error and
// from whether the command was certainly not sent.
func (w *simDomain) call(o *simOwner, id domain.WorkerID, do func(*simWorker), answer func(*domain.Error, bool) Event) {
	unavailable := &domain.Error{Kind: domain.KindUnavailable, Message: "no answer"}
	k := w.worker(id)
	if o.cut[id] && w.rng.IntN(2) == 0 {
		w.after(w.delay(), func() { w.step(o, answer(unavailable, true)) })
		return
	}
	w.after(w.delay(), func() {
		if o.cut[id] && w.rng.IntN(3) > 0 || k.crashed {
			w.after(callTimeout, func() { w.step(o, answer(unavailable, false)) })
			return
		}
		do(k)
		if o.cut[id] {
			w.after(callTimeout, func() { w.step(o, answer(unavailable, false)) })
			return
		}
		w.after(w.delay(), func() { w.step(o, answer(nil, false)) })
	})
}

// executeStart starts a task. The start of an urgent task is answered when the task
// finishes.
func (w *simDomain) executeStart(o *simOwner, e SendStart) {
	reply := func(s platform.TaskStatus, err *domain.Error, notSent bool) Event {
		if w.disabledMechanism == treatLostAnswerAsRefusal && err != nil {
			notSent = true
		}
		return StartDone{Worker: e.Worker, ID: e.Request.Task.ID, Attempt: e.Request.Attempt, Status: s, Err: err, NotSent: notSent}
	}
	var status platform.TaskStatus
	var refusal *domain.Error
	if e.Request.Task.Kind != domain.KindUrgent {
		w.call(o, e.Worker, func(k *simWorker) { status, refusal = k.start(e.Request, nil) },
			func(err *domain.Error, notSent bool) Event { return reply(status, firstError(err, refusal), notSent) })
		return
	}
	unavailable := &domain.Error{Kind: domain.KindUnavailable, Message: "no answer"}
	k := w.worker(e.Worker)
	w.after(w.delay(), func() {
		if o.cut[e.Worker] && w.rng.IntN(2) == 0 || k.crashed {
			w.after(callTimeout, func() { w.step(o, reply(status, unavailable, false)) })
			return
		}
		ended := func(s platform.TaskStatus) {
			if o.cut[e.Worker] {
				w.after(callTimeout, func() { w.step(o, reply(s, unavailable, false)) })
				return
			}
			w.after(w.delay(), func() { w.step(o, reply(s, nil, false)) })
		}
		if _, err := k.start(e.Request, ended); err != nil {
			w.after(w.delay(), func() { w.step(o, reply(status, err, false)) })
		}
	})
}

// executeAppend appends in the order of arrival. AppendDone comes only after
// the owner has read the stream up to the record.
func (w *simDomain) executeAppend(o *simOwner, e Append) {
	w.after(5*time.Millisecond, func() {
		if !w.logUp || o.logCut {
			w.after(300*time.Millisecond, func() {
				w.step(o, AppendDone{Token: e.Token, Err: &domain.Error{Kind: domain.KindUnavailable, Message: "no answer"}})
			})
			return
		}
		for _, entry := range e.Entries {
			if entry.Moved != nil {
				w.markLostResults(entry.Moved.ID)
			}
		}
		w.appendRecord(e.Entries)
		w.after(w.delay(), func() {
			w.readLog(o)
			w.step(o, AppendDone{Token: e.Token})
		})
	})
}

func (w *simDomain) worker(id domain.WorkerID) *simWorker {
	for _, k := range w.workers {
		if k.id == id {
			return k
		}
	}
	return nil
}

// delegate sends a task to the newest owner of the other shard. The call or its
// answer may be lost.
func (w *simDomain) delegate(o *simOwner, e Delegate) {
	id := e.Request.Task.ID
	unavailable := &domain.Error{Kind: domain.KindUnavailable, Message: "no answer"}
	lost := w.rng.IntN(6)
	done := func(outcome domain.Outcome, err *domain.Error) {
		if lost == 0 {
			err = unavailable
		}
		w.after(w.delay(), func() { w.step(o, DelegateDone{ID: id, Moves: e.Request.Moves, Outcome: outcome, Err: err}) })
	}
	if lost == 1 {
		w.after(callTimeout, func() { w.step(o, DelegateDone{ID: id, Moves: e.Request.Moves, Err: unavailable}) })
		return
	}
	w.after(w.delay(), func() {
		w.other.lastCall++
		call := w.other.lastCall
		w.other.onReply[call] = func(r Reply) {
			if r.Outcome.State == "" {
				done(domain.Outcome{}, r.Outcome.Err)
				return
			}
			done(r.Outcome, nil)
		}
		sub := e.Request
		sub.Call = call
		w.other.step(w.other.latest(), sub)
	})
}

// redirect queries the newest owner of the other shard for a waiting client.
func (w *simDomain) redirect(e Redirect) {
	id, waiting := w.calls[e.Call]
	if !waiting {
		return
	}
	w.after(w.delay(), func() {
		w.other.lastCall++
		w.other.calls[w.other.lastCall] = id
		w.other.step(w.other.latest(), Queried{Call: w.other.lastCall, ID: id})
	})
}

// submit sends a request to an owner.
func (w *simDomain) submit(o *simOwner, task domain.Task) {
	w.lastCall++
	w.calls[w.lastCall] = task.ID
	w.sent[w.lastCall] = w.now
	ev := Submitted{Call: w.lastCall, Task: task}
	if task.Kind == domain.KindUrgent {
		ev.Budget = 2 * time.Second
	}
	w.step(o, ev)
}

// latest returns the owner of the highest epoch.
func (w *simDomain) latest() *simOwner { return w.owners[len(w.owners)-1] }
