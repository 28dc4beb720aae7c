package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

const (
	// reportInterval is the time between two usage reports of a worker.
	reportInterval = 500 * time.Millisecond
	// reportLag is the time from a usage report until the policy receives it.
	reportLag = 1500 * time.Millisecond
	// retryInterval is the delay before a refused urgent request is tried again
	// if it has time left.
	retryInterval = 5 * time.Millisecond
	// checkpointLoss is the work in seconds since its last checkpoint that an
	// evicted task repeats.
	checkpointLoss = 0.5
)

// simClass describes the actual tasks of a class.
type simClass struct {
	name     domain.Class
	kind     domain.Kind
	real     domain.Resources
	work     float64 // mean seconds of work of a task that is alone on a worker
	spread   float64 // sigma of the lognormal distribution of the work
	noise    float64 // slowdown that a task adds to each urgent request on the worker
	declared float64 // ratio of declared to real size
}

type simTask struct {
	shard.Demand
	class     *simClass
	remaining float64 // seconds of work left
	total     float64 // seconds of work of the whole task
	arrived   time.Duration
	reserved  domain.Resources
	share     float64 // throttle share; 1 if not throttled
	started   time.Duration
}

type simWorker struct {
	shard.WorkerInfo
	tasks   []*simTask
	faulty  bool          // fails every task about 2 ms after its start
	updated time.Duration // when the work done was last added up
	plan    int           // number of the current completion event; older ones are ignored
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim runs a policy with simulated workers on a virtual clock.
type sim struct {
	policy  shard.Policy
	random  *rand.Rand
	now     time.Duration
	events  simEvents
	seq     int
	workers []*simWorker
	byID    map[domain.WorkerID]*simWorker
	batch   map[domain.RequestID]*simTask

	latencies []float64 // milliseconds, one per urgent request
	misses    int
	work      float64 // core-seconds of batch work done
	evictions int
	throttles int
	failures  int
}

func newSim(p shard.Policy, seed uint64, workers, perRack int, capacity domain.Resources) *sim {
	s := &sim{policy: p, random: rand.New(rand.NewPCG(seed, 7)), byID: map[domain.WorkerID]*simWorker{}, batch: map[domain.RequestID]*simTask{}}
	for i := range workers {
		w := &simWorker{WorkerInfo: shard.WorkerInfo{ID: domain.WorkerID(fmt.Sprintf("w%02d", i)), Rack: fmt.Sprint("r", i/perRack), Capacity: capacity}}
		s.workers = append(s.workers, w)
		s.byID[w.ID] = w
		p.WorkerUp(0, w.WorkerInfo)
		s.at(time.Duration(i)*reportInterval/time.Duration(workers), func() { s.report(w) })
	}
	return s
}

func (s *sim) at(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at, s.seq, do})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
	for _, w := range s.workers {
		s.advance(w)
	}
}

func (s *sim) newTask(c *simClass, team domain.Team) *simTask {
	s.seq++
	work := c.work * math.Exp(c.spread*s.random.NormFloat64()-c.spread*c.spread/2)
	declared := c.real
	declared.CPUMilli = int64(float64(c.real.CPUMilli) * c.declared)
	declared.MemoryMiB = int64(float64(c.real.MemoryMiB) * c.declared)
	d := shard.Demand{ID: domain.RequestID{Epoch: 1, Seq: uint64(s.seq)}, Kind: c.kind, Class: c.name, Team: team, Declared: declared}
	return &simTask{Demand: d, class: c, remaining: work, total: work, arrived: s.now, share: 1}
}

// urgent submits urgent requests of a class at a Poisson rate per second.
func (s *sim) urgent(c *simClass, rate float64, deadline time.Duration) {
	s.at(s.now+time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.choose(s.newTask(c, "front"), deadline)
		s.urgent(c, rate, deadline)
	})
}

func (s *sim) choose(t *simTask, deadline time.Duration) {
	t.Budget = t.arrived + deadline - s.now
	if t.Budget <= 0 {
		s.recordLatency(t, deadline, true)
		return
	}
	c, refusal := s.policy.Choose(s.now, t.Demand)
	if refusal != nil {
		s.at(s.now+min(retryInterval, t.Budget), func() { s.choose(t, deadline) })
		return
	}
	s.start(t, c)
}

// recordLatency records the latency of an urgent request and whether it missed its
// deadline.
func (s *sim) recordLatency(t *simTask, deadline time.Duration, missed bool) {
	took := min(s.now-t.arrived, deadline)
	if missed {
		took = deadline // a request that fails fast must not count as a fast answer
	}
	s.latencies = append(s.latencies, float64(took)/float64(time.Millisecond))
	if missed || s.now-t.arrived > deadline {
		s.misses++
	}
}

func (s *sim) enqueue(t *simTask) {
	s.batch[t.ID] = t
	s.policy.Enqueue(s.now, t.Demand)
}

func (s *sim) startPending() {
	for {
		d, c, ok := s.policy.DequeueNext(s.now)
		if !ok {
			return
		}
		s.start(s.batch[d.ID], c)
	}
}

func (s *sim) start(t *simTask, c shard.Placement) {
	w := s.byID[c.Worker]
	s.advance(w)
	s.policy.Reserve(s.now, w.ID, t.Demand, c.Reserved)
	t.reserved, t.started, t.share = c.Reserved, s.now, 1
	w.tasks = append(w.tasks, t)
	var total domain.Resources
	for _, other := range w.tasks {
		total = total.Add(other.reserved)
	}
	if !total.Fits(w.Capacity) {
		panic(fmt.Sprintf("reservations exceed the capacity of worker %s: %+v", w.ID, total))
	}
	s.plan(w)
}

// overcommitSlowdown returns the slowdown of every task on the worker when the
// tasks need more CPU or memory than the worker has.
func (w *simWorker) overcommitSlowdown() float64 {
	cpu, memory := 0.0, 0.0
	for _, t := range w.tasks {
		cpu += float64(t.class.real.CPUMilli) * t.share
		memory += float64(t.class.real.MemoryMiB)
	}
	excess := max(1, memory/float64(w.Capacity.MemoryMiB))
	return max(1, cpu/float64(w.Capacity.CPUMilli)) * excess * excess
}

// slowdown returns the total slowdown of a task by the tasks on the worker.
func (w *simWorker) slowdown(t *simTask) float64 {
	factor := w.overcommitSlowdown()
	if t.Kind != domain.KindUrgent {
		return factor
	}
	for _, other := range w.tasks {
		factor *= 1 + other.class.noise*other.share
	}
	return factor
}

// advance adds up the work that the tasks of a worker have done since the last
// call.
func (s *sim) advance(w *simWorker) {
	span := (s.now - w.updated).Seconds()
	w.updated = s.now
	for _, t := range w.tasks {
		done := span * t.share / w.slowdown(t)
		t.remaining -= done
		if t.Kind == domain.KindBatch && !w.faulty {
			s.work += done * float64(t.class.real.CPUMilli) / 1000
		}
	}
}

// plan schedules the next completion on a worker.
func (s *sim) plan(w *simWorker) {
	w.plan++
	plan := w.plan
	next := math.Inf(1)
	for _, t := range w.tasks {
		remaining := max(0, t.remaining)
		if w.faulty {
			remaining = max(0, 0.002-(s.now-t.started).Seconds())
		}
		next = min(next, remaining*w.slowdown(t)/t.share)
	}
	if math.IsInf(next, 1) {
		return
	}
	s.at(s.now+time.Duration(next*float64(time.Second))+1, func() {
		if w.plan == plan {
			s.complete(w)
		}
	})
}

func (s *sim) complete(w *simWorker) {
	s.advance(w)
	for _, t := range slices.Clone(w.tasks) {
		switch {
		case w.faulty && s.now-t.started >= 2*time.Millisecond:
			s.fail(w, t)
		case !w.faulty && t.remaining <= 1e-9:
			s.removeTask(w, t, shard.ResultSucceeded)
			if t.Kind == domain.KindUrgent {
				s.recordLatency(t, deadline, false)
			} else {
				delete(s.batch, t.ID)
			}
		}
	}
	s.startPending()
	s.plan(w)
}

func (s *sim) fail(w *simWorker, t *simTask) {
	s.removeTask(w, t, shard.ResultFailed)
	s.failures++
	if t.Kind == domain.KindUrgent {
		s.recordLatency(t, deadline, true)
		return
	}
	t.remaining = t.total
	t.Avoid = append(slices.Clone(t.Avoid), w.ID)
	s.enqueue(t)
}

func (s *sim) removeTask(w *simWorker, t *simTask, r shard.Result) {
	w.tasks = slices.DeleteFunc(w.tasks, func(other *simTask) bool { return other == t })
	s.policy.Release(s.now, w.ID, t.ID, r, s.now-t.started)
}

// report sends a usage report. When it arrives, after reportLag, the reactions of
// the policy are applied.
func (s *sim) report(w *simWorker) {
	var usage []platform.Usage
	for _, t := range w.tasks {
		used := t.class.real
		used.CPUMilli = int64(float64(used.CPUMilli) * t.share / w.overcommitSlowdown())
		usage = append(usage, platform.Usage{ID: t.ID, Class: t.Class, Used: used, Slowdown: w.slowdown(t), Age: reportLag})
	}
	s.at(s.now+reportLag, func() {
		s.policy.Observe(s.now, w.ID, usage)
		for _, r := range s.policy.Reactions(s.now) {
			s.applyReaction(r)
		}
		s.startPending()
	})
	s.at(s.now+reportInterval, func() { s.report(w) })
}

func (s *sim) applyReaction(r shard.Reaction) {
	w := s.byID[r.Worker]
	s.advance(w)
	i := slices.IndexFunc(w.tasks, func(t *simTask) bool { return t.ID == r.ID })
	if i < 0 {
		return
	}
	t := w.tasks[i]
	if r.Kind == shard.ReactEvict {
		s.evictions++
		s.removeTask(w, t, shard.ResultStopped)
		repeated := min(checkpointLoss, t.total-t.remaining)
		t.remaining += repeated
		s.work -= repeated * float64(t.class.real.CPUMilli) / 1000
		s.enqueue(t)
	} else {
		s.throttles++
		t.share = r.Share
	}
	s.plan(w)
}
