package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// maxClaimShare is the largest share of the usable workers of a service that are
	// claimed in one round. The others stay open to all work.
	maxClaimShare = 0.5
	// maxClaimingDemands is how many demands of a service claim workers in one round.
	// Each of them rates all workers.
	maxClaimingDemands = 8
	// minCapacityRatio is how many times the capacity for its waiting tasks there must be
	// beside other long-running work for a demand to claim workers. With less, claims
	// would leave short work hardly any capacity.
	minCapacityRatio = 2
	// claimChoices is how many more workers than it claims a demand considers. It limits
	// the attempts that are examined.
	claimChoices = 8
)

// claims describes the claims on the workers of one service in one round.
type claims struct {
	// left is how many more workers may be claimed, and demands how many demands have
	// claimed some.
	left, demands int
}

// release is the capacity that an attempt is expected to free, and when, counted from
// the round.
type release struct {
	in   time.Duration
	need domain.Resources
}

// claimWorkers claims workers for tasks of an overdue demand that fit on none, one
// worker a task: those with enough capacity for the task soonest. Later demands of the
// round get none of the capacity that the task needs. Otherwise smaller tasks would take
// each part of it as soon as it becomes free.
//
// A claim takes from the room of the demand's account: what an account may not start keeps
// no capacity from others, and smaller tasks of the account leave the room to the task.
//
// A claim lasts for one round. The next round mostly chooses the same workers, because
// only their free capacity has grown.
func (p *Planner) claimWorkers(d *Demand, tasks int) {
	service, account := p.claimsOf(d.Service), p.accountOf(d)
	tasks = account.limitTasks(d, tasks)
	if tasks == 0 || service.left == 0 || service.demands == maxClaimingDemands {
		return
	}
	need := d.Step.ReservedCapacity()
	if p.rankByMissingCapacity(d, need) < minCapacityRatio*tasks {
		return
	}
	tasks = min(tasks, service.left)
	p.rankBySoonestFit(d, need, tasks+claimChoices)
	if len(p.soonest) > 0 {
		service.demands++
	}
	for ; tasks > 0 && len(p.soonest) > 0; tasks-- {
		c := &p.candidates[p.soonest[0].candidate]
		c.claimed, c.free = true, withheld(c.free, need)
		account.take(d)
		service.left--
		p.soonest.removeFirst()
	}
}

// claimsOf returns the claims of the round on the workers of a service.
func (p *Planner) claimsOf(service string) *claims {
	if p.claims == nil {
		p.claims = map[string]*claims{}
	}
	if p.claims[service] == nil {
		workers := 0
		for i := range p.candidates {
			if p.candidates[i].worker.Service == service {
				workers++
			}
		}
		p.claims[service] = &claims{left: max(1, int(maxClaimShare*float64(workers)))}
	}
	return p.claims[service]
}

// withheld returns what is free for other tasks once need is kept back: nothing of a
// resource of which less than need is free.
func withheld(free, need domain.Resources) domain.Resources {
	rest := free.Sub(need)
	return domain.Resources{
		CPUMilli:     max(rest.CPUMilli, min(free.CPUMilli, 0)),
		MemoryMiB:    max(rest.MemoryMiB, min(free.MemoryMiB, 0)),
		Accelerators: max(rest.Accelerators, min(free.Accelerators, 0)),
		Slots:        max(rest.Slots, min(free.Slots, 0)),
		Connections:  max(rest.Connections, min(free.Connections, 0)),
	}
}

// rankByMissingCapacity fills the ranking with the unclaimed candidates on which a task
// of the demand may fit some time, that with the least missing capacity first. It returns
// how many tasks fit on them beside other long-running work.
func (p *Planner) rankByMissingCapacity(d *Demand, need domain.Resources) (capacity int) {
	p.ranking = p.ranking[:0]
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.claimed || !p.mayUse(c, d) {
			continue
		}
		if fits := timesFits(need, c.worker.Capacity.Sub(c.worker.LongRunningUse)); fits > 0 {
			capacity += fits
			p.ranking = append(p.ranking, rated{candidate: i, rating: -missingShare(need, c.free)})
		}
	}
	p.ranking.order()
	return capacity
}

// timesFits returns how many times need fits into the capacity.
func timesFits(need, capacity domain.Resources) int {
	times := func(need, capacity int64) int64 {
		if need <= 0 {
			return math.MaxInt32
		}
		return max(0, capacity) / need
	}
	return int(min(
		times(need.CPUMilli, capacity.CPUMilli), times(need.MemoryMiB, capacity.MemoryMiB), times(need.Accelerators, capacity.Accelerators),
		times(need.Slots, capacity.Slots), times(need.Connections, capacity.Connections),
	))
}

// missingShare returns the largest share of the needed amount of a resource that is not
// free.
func missingShare(need, free domain.Resources) float64 {
	share := func(need, free int64) float64 { return float64(max(0, need-free)) / float64(max(1, need)) }
	return max(
		share(need.CPUMilli, free.CPUMilli), share(need.MemoryMiB, free.MemoryMiB), share(need.Accelerators, free.Accelerators),
		share(need.Slots, free.Slots), share(need.Connections, free.Connections),
	)
}

// rankBySoonestFit takes candidates from the ranking until a task of the demand will fit
// on count of them. It ranks these in p.soonest, the soonest first.
func (p *Planner) rankBySoonestFit(d *Demand, need domain.Resources, count int) {
	p.soonest = p.soonest[:0]
	for ; len(p.soonest) < count && len(p.ranking) > 0; p.ranking.removeFirst() {
		i := p.ranking[0].candidate
		c := &p.candidates[i]
		if c.isAtTaskLimit(d) {
			continue
		}
		if in, ok := p.fitsIn(c, need); ok {
			p.soonest = append(p.soonest, rated{candidate: i, rating: -in.Seconds()})
		}
	}
	p.soonest.order()
}

// fitsIn returns how long it is expected to take until the candidate has the capacity.
// It is not ok if attempts that do not end by themselves keep it.
func (p *Planner) fitsIn(c *candidate, need domain.Resources) (in time.Duration, ok bool) {
	p.collectReleases(c)
	free := c.free
	for _, r := range p.releases {
		if need.Fits(free) {
			break
		}
		free, in = free.Add(r.need), r.in
	}
	return in, need.Fits(free)
}

// collectReleases sets p.releases to what the attempts on a candidate will release, in
// the order of time.
func (p *Planner) collectReleases(c *candidate) {
	p.releases = p.releases[:0]
	for _, attempt := range c.worker.Attempts {
		if in, ok := p.rules.Remaining(c.worker, attempt); ok {
			p.releases = append(p.releases, release{in: in, need: attempt.Need})
		}
	}
	slices.SortFunc(p.releases, func(a, b release) int { return cmp.Compare(a.in, b.in) })
}
