package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// deferJobs marks jobs as deferred so that the others can finish on time. It considers
// the jobs that can still meet their objective, in each pool by itself. Jobs are deferred
// only in a pool with more work than can finish on time.
func deferJobs(demands []Demand, load Load, now time.Duration) {
	type poolJob struct {
		pool Pool
		occurrence
	}
	jobs := map[Pool][]*Demand{}
	seen := map[poolJob]bool{}
	for i := range demands {
		d := &demands[i]
		key := poolJob{pool: d.pool(), occurrence: d.occurrence()}
		if d.Step.LongRunning || load.Pools[key.pool].Rate <= 0 || seen[key] || d.tier(now) != onTime {
			continue
		}
		seen[key] = true
		jobs[key.pool] = append(jobs[key.pool], d)
	}
	deferred := map[occurrence]bool{}
	for pool, list := range jobs {
		selectDeferred(list, load.Pools[pool], now, deferred)
	}
	for i := range demands {
		demands[i].deferred = deferred[demands[i].occurrence()] && !demands[i].Step.LongRunning
	}
}

// occurrence identifies one execution of all steps of a job.
type occurrence struct {
	job   string
	index int
}

func (d *Demand) occurrence() occurrence {
	return occurrence{job: string(d.ID.Job), index: d.ID.Occurrence}
}

// selectDeferred adds the jobs of one pool that wait so that the others finish on time to
// deferred. It goes through the jobs in the order of their deadlines and adds up the work
// that has not begun. While the newest job would miss its objective, the job that costs
// least is deferred. This is the Moore-Hodgson algorithm with values.
func selectDeferred(jobs []*Demand, pool PoolLoad, now time.Duration, deferred map[occurrence]bool) {
	slices.SortStableFunc(jobs, func(a, b *Demand) int { return cmp.Compare(a.Deadline, b.Deadline) })
	if fitInTime(jobs, pool, now) {
		return
	}
	ranks := costRanks(jobs)
	total := 0.0
	var chosen ranking
	for i, d := range jobs {
		if now+pool.chainTime(d) > d.Deadline {
			// It is late even if it runs next. Deferring others would not help it.
			deferred[d.occurrence()] = true
			continue
		}
		chosen.add(rated{candidate: i, rating: -float64(ranks[i])})
		total += d.workToBegin()
		for now+pool.queueTime(total)+pool.turnover(d) > d.Deadline && len(chosen) > 0 {
			cheapest := jobs[chosen[0].candidate]
			chosen.removeFirst()
			total -= cheapest.workToBegin()
			deferred[cheapest.occurrence()] = true
			if cheapest == d {
				break
			}
		}
	}
}

// fitInTime reports whether the pool has the capacity to finish all jobs, in the order of
// their deadlines, on time.
func fitInTime(jobs []*Demand, pool PoolLoad, now time.Duration) bool {
	total := 0.0
	for _, d := range jobs {
		total += d.workToBegin()
		if now+pool.queueTime(total)+pool.turnover(d) > d.Deadline {
			return false
		}
	}
	return true
}

// queueTime returns how long the pool needs for an amount of work, in core-seconds.
func (p PoolLoad) queueTime(work float64) time.Duration {
	return time.Duration(work / p.Rate * float64(time.Second))
}

// turnover returns how long the tasks that are being executed delay the end of a job's last
// task. In a full pool, tasks begin at the pool's rate as others end, and the last one then
// takes its own duration. In a pool that is partly free, some begin immediately.
func (p PoolLoad) turnover(d *Demand) time.Duration {
	return min(p.queueTime(p.Executing), time.Duration(float64(d.TaskDuration)*p.Slowdown))
}

// chainTime returns how long the remaining steps of a job take without waiting.
func (p PoolLoad) chainTime(d *Demand) time.Duration {
	return time.Duration(float64(d.Remaining) * p.Slowdown)
}

// workToBegin returns the work that the job would no longer take from the pool if it were
// deferred, in core-seconds.
func (d *Demand) workToBegin() float64 { return max(0, d.CoreSeconds-d.Executing) }

// costRanks returns the rank of each job when ordered by what its delay costs, the cheapest
// first: work beyond an account's share, then the lower priorities, then the jobs with the
// least value per work.
func costRanks(jobs []*Demand) []int {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := jobs[i], jobs[j]
		return cmp.Or(
			-cmp.Compare(a.share, b.share),
			-cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.valuePerWork(), b.valuePerWork()),
		)
	})
	ranks := make([]int, len(jobs))
	for rank, i := range order {
		ranks[i] = rank
	}
	return ranks
}

const (
	// minWork is the least remaining work, in core-seconds, that valuePerWork
	// assumes. It bounds the value per work of nearly finished jobs.
	minWork = 0.1
	// startedFactor raises the value of jobs with started tasks. Otherwise small changes
	// of the estimates would defer them in one round and not in the next, and the work
	// that was done for them would be useless.
	startedFactor = 1.5
)

// valuePerWork returns the value of finishing the job on time per core-second that has not
// begun.
func (d *Demand) valuePerWork() float64 {
	value := ValuePerWork(d.TotalWork, d.MeanWork, d.workToBegin())
	if d.Executing > 0 || d.CoreSeconds < d.TotalWork {
		value *= startedFactor
	}
	return value
}

// ValuePerWork returns the value of finishing a job on time per core-second that is
// left. The value of a job has a fixed part and a part that grows with its work. A job
// with the mean work of its queue has a value of 1. All work is in core-seconds; a mean
// of 0 is not known.
func ValuePerWork(total, mean, remaining float64) float64 {
	const fixed = 0.3
	value := fixed
	if mean > 0 {
		value += (1 - fixed) * total / mean
	}
	return value / max(minWork, remaining)
}
