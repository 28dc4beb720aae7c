package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
)

// recountInterval is how often the use of the accounts by pool is counted anew from all
// attempts, which corrects what changes besides placements and ends, such as the service of
// a worker. A count of 7,000 attempts takes 1.4 ms, which is too long for each round.
const recountInterval = time.Second

// poolUse holds what each account uses of each pool. fleet.AccountUse has only the sum over
// all pools, in which the CPU that long-running tasks reserve and the CPU that best-effort
// tasks use beside them cannot be told apart.
type poolUse struct {
	byAccount map[string]map[dispatch.Pool]dispatch.AccountUse
	// countedAt is when the use was last counted; 0 for never.
	countedAt fleet.Instant
	// isEnabled is true while accounts are enabled. Without them nothing is counted.
	isEnabled bool
}

func newPoolUse() poolUse {
	return poolUse{byAccount: map[string]map[dispatch.Pool]dispatch.AccountUse{}}
}

// setEnabled enables or disables the count.
func (a *poolUse) setEnabled(enabled bool) {
	if a.isEnabled != enabled {
		a.isEnabled, a.countedAt = enabled, 0
	}
}

// count counts the use anew if the last count is too old.
func (a *poolUse) count(workers []*fleet.Worker, now fleet.Instant) {
	if a.countedAt > 0 && now-a.countedAt < recountInterval {
		return
	}
	a.countedAt = now
	clear(a.byAccount)
	for _, w := range workers {
		for _, r := range w.Attempts {
			a.add(w, r, 1)
		}
	}
}

// add adds sign times the need of an attempt to the use of its account.
func (a *poolUse) add(w *fleet.Worker, r *fleet.Attempt, sign int64) {
	if r.Account == "" || r.Step == nil || !a.isEnabled {
		return
	}
	if a.byAccount[r.Account] == nil {
		a.byAccount[r.Account] = map[dispatch.Pool]dispatch.AccountUse{}
	}
	pool := dispatch.Pool{Service: w.Service, BestEffort: r.Step.Fills}
	use, need := a.byAccount[r.Account][pool], r.Step.Need
	if sign < 0 {
		need = domain.Resources{}.Sub(need)
	}
	use.Total = use.Total.Add(need)
	if r.Step.LongRunning {
		use.LongRunning = use.LongRunning.Add(need)
	}
	a.byAccount[r.Account][pool] = use
}

// accountLoads returns the load of the accounts with use, and of those of the demands.
func (s *Scheduler) accountLoads(demands []dispatch.Demand) map[string]dispatch.AccountLoad {
	out := make(map[string]dispatch.AccountLoad, len(s.poolUse.byAccount))
	for name := range s.poolUse.byAccount {
		out[name] = s.accountLoad(name)
	}
	for i := range demands {
		if name := demands[i].Account; name != "" && out[name].Weight == 0 {
			out[name] = s.accountLoad(name)
		}
	}
	return out
}

// accountLoad returns the load of an account. The weight is 1, without a limit, for one that
// was removed before this owner has read a configuration.
func (s *Scheduler) accountLoad(name string) dispatch.AccountLoad {
	out := dispatch.AccountLoad{Weight: 1, Use: s.poolUse.byAccount[name]}
	a := s.accounts.last[name]
	out.Limit = a.Limit
	if a.Weight > 0 {
		out.Weight = a.Weight
	}
	return out
}

// roundLoad returns the load at the start of a planning round.
func (s *Scheduler) roundLoad(demands []dispatch.Demand, now fleet.Instant) dispatch.Load {
	load := dispatch.Load{Pools: map[dispatch.Pool]dispatch.PoolLoad{}}
	s.poolUse.setEnabled(s.config.HasAccounts)
	if s.poolUse.isEnabled {
		s.poolUse.count(s.fleet.All(), now)
		load.Accounts = s.accountLoads(demands)
	}
	if s.capacities.byPool == nil || now-s.capacities.at >= capacityInterval {
		s.capacities = poolCapacities{at: now, byPool: s.sumCapacities(load.Accounts, now)}
	}
	for pool, capacity := range s.capacities.byPool {
		p, _ := s.throughput.snapshot(pool, now)
		p.Executing, p.Capacity = s.executing[pool], capacity.total
		if !pool.BestEffort {
			p.Rate = capacity.endingCores / p.Slowdown
		}
		load.Pools[pool] = p
	}
	return load
}

// capacityInterval is how often the capacity of the pools is added up. Rounds are up to ten
// times as frequent, and thousands of workers change little between two of them.
const capacityInterval = 100 * time.Millisecond

// poolCapacities are the capacities of the pools at a time.
type poolCapacities struct {
	at     fleet.Instant
	byPool map[dispatch.Pool]poolCapacity
}

// poolCapacity is the capacity of one pool. endingCores is the CPU that tasks which end by
// themselves can use; it is not set for best-effort tasks.
type poolCapacity struct {
	total       domain.Resources
	endingCores float64
}

// sumCapacities adds up what is free for each pool and what the accounts use of it.
func (s *Scheduler) sumCapacities(accounts map[string]dispatch.AccountLoad, now fleet.Instant) map[dispatch.Pool]poolCapacity {
	out := map[dispatch.Pool]poolCapacity{}
	for service, free := range s.freeByService(now) {
		regular := poolCapacity{total: free.reserved, endingCores: float64(free.endingCPUMilli) / milliPerCore}
		bestEffort := poolCapacity{total: free.reserved}
		bestEffort.total.CPUMilli = free.unusedCPUMilli
		out[dispatch.Pool{Service: service}] = regular
		out[dispatch.Pool{Service: service, BestEffort: true}] = bestEffort
	}
	for pool, capacity := range out {
		for _, account := range accounts {
			capacity.total = capacity.total.Add(account.Use[pool].Total)
		}
		out[pool] = capacity
	}
	return out
}

// serviceCapacity is the capacity of the usable workers of a service.
type serviceCapacity struct {
	// reserved is what no attempt reserves, and unusedCPUMilli the CPU that more
	// best-effort tasks could use.
	reserved       domain.Resources
	unusedCPUMilli int64
	// endingCPUMilli is the CPU that long-running tasks do not reserve. Tasks that end by
	// themselves use it, or it is free.
	endingCPUMilli int64
}

// freeByService adds up the usable workers by service.
func (s *Scheduler) freeByService(now fleet.Instant) map[string]*serviceCapacity {
	out := map[string]*serviceCapacity{}
	for _, w := range s.fleet.All() {
		if !s.isUsable(w, now) {
			continue
		}
		c := out[w.Service]
		if c == nil {
			c = &serviceCapacity{}
			out[w.Service] = c
		}
		c.reserved = c.reserved.Add(w.FreeCapacity().AtLeastZero())
		c.unusedCPUMilli += max(0, dispatch.UnusedCPUMilli(w))
		c.endingCPUMilli += max(0, w.Capacity.CPUMilli-w.LongRunningUse.CPUMilli)
	}
	return out
}

// addExecuting adds the work of the placed tasks of an occurrence to the pools. It returns
// that work, in core-seconds, for regular and for best-effort tasks.
func (s *Scheduler) addExecuting(e *ledger.Entry, k int) (regular, bestEffort float64) {
	occurrence := e.Occurrences[k]
	if occurrence == nil || e.PlacedCount() == 0 {
		return 0, 0
	}
	predicted := s.predictionOf(e.Job)
	for i := range e.Job.Steps {
		step, placed := &e.Job.Steps[i], occurrence.Steps[i].Placed
		switch amount := predicted.taskWork(e.Job, i) * float64(placed); {
		case step.LongRunning:
		case step.Fills:
			bestEffort += amount
		default:
			regular += amount
		}
	}
	service := s.service(e.Job.Queue)
	s.executing[dispatch.Pool{Service: service}] += regular
	s.executing[dispatch.Pool{Service: service, BestEffort: true}] += bestEffort
	return regular, bestEffort
}

// countDeferred counts the jobs that are deferred for the first time, by queue.
func (s *Scheduler) countDeferred(demands []dispatch.Demand) {
	for i := range demands {
		id := demands[i].ID.Job
		if !demands[i].IsDeferred() || s.wasDeferred[id] {
			continue
		}
		s.wasDeferred[id] = true
		s.newlyDeferred[s.ledger.Entry(id).Job.Queue.Route]++
	}
}

// TakeDeferred returns and removes how many jobs of each queue were deferred for the first
// time since the last call.
func (s *Scheduler) TakeDeferred() map[string]int64 {
	if len(s.newlyDeferred) == 0 {
		return nil
	}
	out := s.newlyDeferred
	s.newlyDeferred = map[string]int64{}
	return out
}

// waitingByStep returns how many tasks of each step the demands have. A step has two demands
// if the share of its account ends within it.
func waitingByStep(demands []dispatch.Demand) map[job.StepID]int {
	out := make(map[job.StepID]int, len(demands))
	for i := range demands {
		out[demands[i].ID] += len(demands[i].Waiting)
	}
	return out
}
