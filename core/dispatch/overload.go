package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Capacity is what the caller knows of how fast work gets done.
type Capacity struct {
	// FillRate is the estimated work of filling tasks that ends per second, in
	// core-seconds, while some of it waits; 0 if none waits or it is not known.
	FillRate float64
	// Slowdown is the mean duration of filling tasks against their estimate.
	Slowdown float64
}

// Select marks the jobs that cannot all be on time. It goes through the jobs
// with waiting filling tasks in the order of their objectives and adds their
// work up; when one would be late, the job with the least gain for its work is
// put behind. That is Moore and Hodgson's rule, with gains. Other demands stay
// as they are.
func Select(demands []Demand, c Capacity, now time.Duration) {
	if c.FillRate <= 0 {
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
	behind := map[occurrence]bool{}
	var chosen []*Demand
	total := 0.0
	for _, d := range order {
		chosen = append(chosen, d)
		total += d.Work
		for late(d, total, c, now) && len(chosen) > 0 {
			worst := leastGain(chosen)
			total -= chosen[worst].Work
			dropped := chosen[worst]
			chosen = slices.Delete(chosen, worst, worst+1)
			behind[occurrence{job: string(dropped.ID.Job), index: dropped.ID.Occurrence}] = true
			if dropped == d {
				break
			}
		}
	}
	for i := range demands {
		d := &demands[i]
		d.behind = behind[occurrence{job: string(d.ID.Job), index: d.ID.Occurrence}]
	}
}

// occurrence names one run through the steps of a job.
type occurrence struct {
	job   string
	index int
}

// late reports whether a job would miss its objective if all chosen work
// before it is done first.
func late(d *Demand, total float64, c Capacity, now time.Duration) bool {
	queue := time.Duration(total / c.FillRate * float64(time.Second))
	chain := time.Duration(float64(d.Remaining) * max(1, c.Slowdown))
	return now+max(queue, chain) > d.Due
}

// leastGain returns the index of the demand with the least gain for the work
// that is left.
func leastGain(demands []*Demand) int {
	worst := 0
	for i, d := range demands {
		if d.gain() < demands[worst].gain() {
			worst = i
		}
	}
	return worst
}

// smallestWork keeps the gain of nearly finished jobs finite, in core-seconds.
const smallestWork = 0.1

// gain is what finishing the job on time is worth for each core-second that is
// left: callers value a job by a fixed part and a part that grows with its work.
func (d *Demand) gain() float64 {
	const fixed = 0.3
	value := fixed
	if d.MeanWork > 0 {
		value += (1 - fixed) * d.TotalWork / d.MeanWork
	}
	return value / max(smallestWork, d.Work)
}
