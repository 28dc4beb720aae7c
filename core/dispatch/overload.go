package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Throughput describes how fast work finishes.
type Throughput struct {
	// BestEffortRate is the best-effort work that finishes per second, in
	// core-seconds by the clients' estimates; 0 if it is unknown.
	BestEffortRate float64
	// Slowdown is the mean ratio of the duration of best-effort tasks to their
	// estimate.
	Slowdown float64
}

// DeferJobs marks jobs as deferred so that the others can finish on time. It
// goes through the jobs that have waiting best-effort tasks and can still meet
// their objective, in the order of their deadlines, and adds up their remaining
// work. While the newest job would miss its objective, the job with the least
// value per remaining work among those added so far is deferred. This is the
// Moore-Hodgson algorithm with values. Other jobs are not deferred.
func DeferJobs(demands []Demand, throughput Throughput, now time.Duration) {
	if throughput.BestEffortRate <= 0 {
		return
	}
	var order []*Demand
	seen := map[occurrence]bool{}
	for i := range demands {
		d := &demands[i]
		key := occurrence{job: string(d.ID.Job), index: d.ID.Occurrence}
		if d.Step.Fills && !seen[key] && d.tier(now) == onTime {
			seen[key] = true
			order = append(order, d)
		}
	}
	slices.SortStableFunc(order, func(a, b *Demand) int { return cmp.Compare(a.Deadline, b.Deadline) })
	deferred := map[occurrence]bool{}
	var chosen []*Demand
	total := 0.0
	for _, d := range order {
		chosen = append(chosen, d)
		total += d.CoreSeconds
		for missesObjective(d, total, throughput, now) && len(chosen) > 0 {
			worst := leastValuable(chosen)
			total -= chosen[worst].CoreSeconds
			dropped := chosen[worst]
			chosen = slices.Delete(chosen, worst, worst+1)
			deferred[occurrence{job: string(dropped.ID.Job), index: dropped.ID.Occurrence}] = true
			if dropped == d {
				break
			}
		}
	}
	for i := range demands {
		d := &demands[i]
		d.deferred = deferred[occurrence{job: string(d.ID.Job), index: d.ID.Occurrence}]
	}
}

// occurrence identifies one execution of all steps of a job.
type occurrence struct {
	job   string
	index int
}

// missesObjective reports whether a job would miss its objective if the given
// work, its own included, is done first.
func missesObjective(d *Demand, work float64, throughput Throughput, now time.Duration) bool {
	queueTime := time.Duration(work / throughput.BestEffortRate * float64(time.Second))
	chainTime := time.Duration(float64(d.Remaining) * max(1, throughput.Slowdown))
	return now+max(queueTime, chainTime) > d.Deadline
}

// leastValuable returns the index of the demand with the least value per
// remaining work.
func leastValuable(demands []*Demand) int {
	worst := 0
	for i, d := range demands {
		if d.valuePerWork() < demands[worst].valuePerWork() {
			worst = i
		}
	}
	return worst
}

// minWork is the least remaining work, in core-seconds, that valuePerWork
// assumes. It bounds the value per work of nearly finished jobs.
const minWork = 0.1

// valuePerWork returns the value of finishing the job on time per core-second
// that is left.
func (d *Demand) valuePerWork() float64 { return ValuePerWork(d.TotalWork, d.MeanWork, d.CoreSeconds) }

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
