package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Throughput is what the caller knows of how fast work gets done.
type Throughput struct {
	// BestEffortRate is the estimated work of filling tasks that ends per second, in
	// core-seconds, while some of it waits; 0 if none waits or it is not known.
	BestEffortRate float64
	// Slowdown is the mean duration of filling tasks against their estimate.
	Slowdown float64
}

// DeferJobs marks the jobs that cannot all be on time. It goes through the jobs
// with waiting filling tasks in the order of their objectives and adds their
// work up; when one would be late, the job with the least gain for its work is
// put behind. That is Moore and Hodgson's rule, with gains. Other demands stay
// as they are.
func DeferJobs(demands []Demand, c Throughput, now time.Duration) {
	if c.BestEffortRate <= 0 {
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
	slices.SortStableFunc(order, func(a, b *Demand) int { return cmp.Compare(a.Due, b.Due) })
	deferred := map[occurrence]bool{}
	var chosen []*Demand
	total := 0.0
	for _, d := range order {
		chosen = append(chosen, d)
		total += d.Work
		for missesObjective(d, total, c, now) && len(chosen) > 0 {
			worst := leastValuable(chosen)
			total -= chosen[worst].Work
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

// occurrence names one run through the steps of a job.
type occurrence struct {
	job   string
	index int
}

// missesObjective reports whether a job would miss its objective if all chosen work
// before it is done first.
func missesObjective(d *Demand, total float64, c Throughput, now time.Duration) bool {
	queue := time.Duration(total / c.BestEffortRate * float64(time.Second))
	chain := time.Duration(float64(d.Remaining) * max(1, c.Slowdown))
	return now+max(queue, chain) > d.Due
}

// leastValuable returns the index of the demand with the least gain for the work
// that is left.
func leastValuable(demands []*Demand) int {
	worst := 0
	for i, d := range demands {
		if d.valuePerWork() < demands[worst].valuePerWork() {
			worst = i
		}
	}
	return worst
}

// minWork keeps the gain of nearly finished jobs finite, in core-seconds.
const minWork = 0.1

// valuePerWork is what finishing the job on time is worth for each core-second that is
// left: callers value a job by a fixed part and a part that grows with its work.
func (d *Demand) valuePerWork() float64 {
	const fixed = 0.3
	value := fixed
	if d.MeanWork > 0 {
		value += (1 - fixed) * d.TotalWork / d.MeanWork
	}
	return value / max(minWork, d.Work)
}
