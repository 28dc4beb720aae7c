package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/duration"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
)

const (
	// minRateSamples is the number of finished tasks within rateWindow from which on the
	// rate and the slowdown of a pool are meaningful.
	minRateSamples = 20
	// minBacklogTime is how long a pool must have had waiting tasks that could start before
	// its rate counts as its capacity. It is above maxPlanInterval, so that the planner has
	// tried to place them.
	minBacklogTime = time.Second
	// runningShare is the part of a running task's work that is outstanding: the mean over a
	// random time of its run.
	runningShare = 0.5
	// maxBacklogAccounts is the number of accounts in a summary, which has to be small.
	maxBacklogAccounts = 4
)

// backlogMeter observes for how long each pool has had a backlog.
type backlogMeter map[dispatch.Pool]*poolMeter

type poolMeter struct {
	// backloggedSince is the time since which each summary has found waiting tasks that
	// could start; 0 if the last one has not.
	backloggedSince fleet.Instant
}

func (m backlogMeter) pool(id dispatch.Pool) *poolMeter {
	if m[id] == nil {
		m[id] = &poolMeter{}
	}
	return m[id]
}

// poolWork is the work of one pool at the time of a summary.
type poolWork struct {
	outstanding backlog.Histogram
	// running is the CPU demand of the running tasks, and free the CPU that more tasks of
	// the pool could certainly use, both in cores.
	running, free float64
	// waiting has the accounts of which tasks wait that could start now on any worker with
	// room.
	waiting map[string]bool
}

// summaryBuilder collects a summary in one pass over the open jobs.
type summaryBuilder struct {
	s         *Scheduler
	now       fleet.Instant
	nowUnixMS int64
	pools     map[dispatch.Pool]*poolWork
	// accounts is the outstanding work of the accounts with a limit on CPU, and use the CPU
	// demand of the running tasks of all accounts, in cores.
	accounts map[string]backlog.Histogram
	use      map[string]float64
	limits   map[string]accountLimit
	routes   map[string]bool
}

// accountLimit is the limit of an account on CPU, in cores; 0 for none. If others is true, it
// has a limit on other resources.
type accountLimit struct {
	cores  float64
	others bool
}

// Backlog returns the summary of the outstanding work, for the admission of new jobs.
// nowUnixMS is the wall-clock time in Unix milliseconds. It must be called regularly: it
// observes for how long each pool has had a backlog.
func (s *Scheduler) Backlog(now fleet.Instant, nowUnixMS int64) *backlog.Summary {
	b := summaryBuilder{
		s: s, now: now, nowUnixMS: nowUnixMS, pools: map[dispatch.Pool]*poolWork{}, accounts: map[string]backlog.Histogram{},
		use: map[string]float64{}, limits: s.accountLimits(), routes: map[string]bool{},
	}
	for _, e := range s.ledger.OpenJobs() {
		if s.held[e.Job.ID] == nil {
			b.addJob(e)
		}
	}
	b.addFree()
	return b.summary()
}

// accountLimits returns the limits of the accounts that have one.
func (s *Scheduler) accountLimits() map[string]accountLimit {
	out := map[string]accountLimit{}
	if s.config == nil {
		return out
	}
	for _, a := range s.config.Accounts {
		l := accountLimit{cores: float64(a.Limit.CPUMilli) / milliPerCore, others: a.Limit.MemoryMiB > 0 || a.Limit.Accelerators > 0}
		if l != (accountLimit{}) {
			out[a.Name] = l
		}
	}
	return out
}

// addJob adds the outstanding work of a job. Work that finishes too late to have any value
// is omitted: it runs when no other work can use the capacity.
func (b *summaryBuilder) addJob(e *ledger.Entry) {
	queue := b.s.queue(e.Job.Queue)
	predicted := b.s.predictionOf(e.Job)
	objective := queue.LatencyObjective(predicted.path)
	for k := range e.Occurrences {
		if e.Job.DueUnixMS(k) > b.nowUnixMS {
			return
		}
		if e.IsOccurrenceDone(k) {
			continue
		}
		chain, work := b.s.remaining(e, k)
		value := dispatch.ValuePerWork(predicted.work, b.s.throughput.meanWork(e.Job.Queue.Route), work)
		late := b.now+chain > b.s.accepted[e.Job.ID]+objective
		hasValue := b.now+chain <= b.s.accepted[e.Job.ID]+noValueFactor*objective || !b.s.areDurationsLearned(e, k)
		for i := range e.Job.Steps {
			b.addStep(e, k, i, backlog.Cell{Priority: queue.Priority, Class: backlog.ClassOf(value)}, late, hasValue)
		}
	}
}

// addStep adds the outstanding work of step i of occurrence k to the cell.
func (b *summaryBuilder) addStep(e *ledger.Entry, k, i int, cell backlog.Cell, late, hasValue bool) {
	step := &e.Job.Steps[i]
	done := 0
	if o := e.Occurrences[k]; o != nil {
		done = o.Steps[i].Done
	}
	waiting := e.WaitingCount(k, i)
	running := step.Count - done - waiting
	if waiting+running == 0 {
		return
	}
	cores := float64(running) * float64(step.Need.CPUMilli) / milliPerCore
	b.use[e.Job.Account] += cores
	if step.LongRunning {
		return
	}
	b.routes[e.Job.Queue.Route] = true
	p := b.pool(dispatch.Pool{Service: b.s.service(e.Job.Queue), BestEffort: step.Fills})
	p.running += cores
	if !hasValue {
		return
	}
	perTask := b.s.predictionOf(e.Job).taskWork(e.Job, i)
	cell.OnTime = perTask * runningShare * float64(running)
	cell.Work = cell.OnTime + perTask*float64(waiting)
	switch {
	case !b.s.durations.IsLearned(e.Job.Queue.Route, duration.StepKey{Job: e.Job.ID, Step: i}):
		cell.OnTime = 0
	case !late:
		cell.OnTime = cell.Work
	}
	p.outstanding.Add(cell)
	if b.limits[e.Job.Account].cores > 0 {
		own := b.accounts[e.Job.Account]
		own.Add(cell)
		b.accounts[e.Job.Account] = own
	}
	if waiting > 0 && !b.isConstrained(e, step) && e.DependenciesDone(k, i) {
		p.waiting[e.Job.Account] = true
	}
}

// isConstrained reports whether tasks of the step may wait although the pool has room.
func (b *summaryBuilder) isConstrained(e *ledger.Entry, step *job.Step) bool {
	return step.Gang || step.RequiredLabel != "" || step.MaxPerWorker > 0 || b.s.queue(e.Job.Queue).Advice
}

func (b *summaryBuilder) pool(id dispatch.Pool) *poolWork {
	if b.pools[id] == nil {
		b.pools[id] = &poolWork{waiting: map[string]bool{}}
	}
	return b.pools[id]
}

// addFree adds the unreserved CPU to the reserved pools. Best-effort tasks are limited by
// interference as well, so what they could use is not certain.
func (b *summaryBuilder) addFree() {
	for _, w := range b.s.fleet.All() {
		if p := b.pools[dispatch.Pool{Service: w.Service}]; p != nil && b.s.isUsable(w, b.now) {
			p.free += float64(max(0, w.FreeCapacity().CPUMilli)) / milliPerCore
		}
	}
}

func (b *summaryBuilder) summary() *backlog.Summary {
	out := &backlog.Summary{}
	drain := time.Duration(0)
	for id, meter := range b.s.backlog {
		meter.observe(b.pools[id] != nil && b.waitsForCapacity(b.pools[id]), b.now)
	}
	for id, work := range b.pools {
		p := backlog.Pool{ID: id, Work: work.outstanding}
		meter := b.s.backlog.pool(id)
		meter.observe(b.waitsForCapacity(work), b.now)
		p.Rate, p.Slowdown = b.capacity(id, work, meter)
		out.Pools = append(out.Pools, p)
		drain = max(drain, p.Drain())
	}
	slices.SortFunc(out.Pools, func(x, y backlog.Pool) int { return cmp.Compare(x.ID.String(), y.ID.String()) })
	for route := range b.routes {
		if !b.s.durations.HasLearned(route) {
			continue
		}
		out.Queues = append(out.Queues, backlog.Queue{
			Route: route, MeanWork: b.s.throughput.meanWork(route), Correction: b.s.durations.Correction(route),
		})
	}
	slices.SortFunc(out.Queues, func(x, y backlog.Queue) int { return cmp.Compare(x.Route, y.Route) })
	out.Accounts = b.longestAccounts(max(drain, minBacklogTime))
	return out
}

// longestAccounts returns the accounts whose own work takes longest under their limit, longer
// than that of the pools and than minBacklogTime.
func (b *summaryBuilder) longestAccounts(drain time.Duration) []backlog.Account {
	var out []backlog.Account
	need := func(a backlog.Account) float64 { return a.Work.Total() / a.Rate }
	for name, work := range b.accounts {
		if a := (backlog.Account{Name: name, Rate: b.limits[name].cores, Work: work}); need(a) > drain.Seconds() {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(x, y backlog.Account) int {
		return cmp.Or(cmp.Compare(need(y), need(x)), cmp.Compare(x.Name, y.Name))
	})
	return out[:min(len(out), maxBacklogAccounts)]
}

// nearLimit is the share of an account's limit on CPU from which on its tasks may wait for
// the limit and not for capacity.
const nearLimit = 0.9

// waitsForCapacity reports whether tasks wait in the pool that no limit of an account keeps
// waiting. It is false if that is not certain.
func (b *summaryBuilder) waitsForCapacity(p *poolWork) bool {
	for name := range p.waiting {
		limit := b.limits[name]
		if !limit.others && (limit.cores == 0 || b.use[name] < nearLimit*limit.cores) {
			return true
		}
	}
	return false
}

// observe records whether tasks wait for the capacity of the pool.
func (m *poolMeter) observe(waits bool, now fleet.Instant) {
	switch {
	case !waits:
		m.backloggedSince = 0
	case m.backloggedSince == 0:
		m.backloggedSince = now
	}
}

// capacity returns how much work the pool serves per second, and its slowdown. They are 0
// until there are enough samples. The rate is also 0 while the pool has room for more work:
// what finishes is then what arrives, not what the pool can serve. Of several estimates of
// the rate the highest counts, so that doubt leads to fewer refusals.
func (b *summaryBuilder) capacity(id dispatch.Pool, work *poolWork, meter *poolMeter) (rate, slowdown float64) {
	finished, samples := b.s.throughput.snapshot(id, b.now)
	if samples < minRateSamples || finished.Rate <= 0 {
		return 0, 0
	}
	slowdown = max(1, finished.Slowdown)
	if meter.backloggedSince == 0 || b.now-meter.backloggedSince < minBacklogTime {
		return 0, slowdown
	}
	return max(finished.Rate, (work.running+work.free)/slowdown), slowdown
}
