package dispatch

import (
	"maps"
	"math"
	"slices"

	"github.com/basilferry/basilferry/core/domain"
)

// shareClass is how tasks relate to the share of their account.
type shareClass uint8

const (
	// withinShare tasks fit into the share, or have none.
	withinShare shareClass = iota
	// crossesShare is the one task that begins within the share and exceeds it. The
	// capacity is not enough for such a task of each account.
	crossesShare
	// beyondShare tasks begin beyond the share.
	beyondShare
)

// amounts are the resources that shares are computed of: CPU, memory and accelerators.
type amounts [3]float64

func amountsOf(r domain.Resources) amounts {
	return amounts{float64(r.CPUMilli), float64(r.MemoryMiB), float64(r.Accelerators)}
}

// plus returns a plus n times b.
func (a amounts) plus(b amounts, n float64) amounts {
	for i := range a {
		a[i] += n * b[i]
	}
	return a
}

// dominantShare returns the largest share that a has of the capacity.
func (a amounts) dominantShare(capacity amounts) float64 {
	share := 0.0
	for i := range a {
		if a[i] > 0 {
			share = max(share, a[i]/max(1, capacity[i]))
		}
	}
	return share
}

// accountShare is the state of one account in one pool.
type accountShare struct {
	weight float64
	// use is what the account uses, and demand that and what its waiting tasks need.
	// committed is the part of use that does not end by itself.
	use, demand, committed amounts
	// limit is what the account may use; a resource of 0 has no limit.
	limit amounts
	// size is the dominant share of demand, and level the dominant share that the account
	// may have per unit of its weight. The level is infinite if there is capacity for its
	// demand.
	size, level float64
}

// poolShares are the shares of a pool.
type poolShares struct {
	capacity amounts
	accounts map[string]*accountShare
	// order lists the accounts by name, so that sums do not depend on map iteration order.
	order []*accountShare
}

// markBeyondShares marks the tasks that exceed the share of their account in their pool.
// The demands are in their normal order; each account's first ones are within its share.
// Long-running tasks and tasks without an account are never beyond a share.
func markBeyondShares(demands []Demand, load Load) []Demand {
	pools := map[Pool]*poolShares{}
	for i := range demands {
		if d := &demands[i]; hasShare(d, load) {
			p := poolSharesOf(pools, d.pool(), load)
			p.addNeed(d)
		}
	}
	for _, p := range pools {
		p.findLevels()
	}
	out := make([]Demand, 0, len(demands))
	for i := range demands {
		d := demands[i]
		if !hasShare(&d, load) {
			out = append(out, d)
			continue
		}
		out = pools[d.pool()].divide(out, d)
	}
	return out
}

// hasShare reports whether the demand counts against the share of an account.
func hasShare(d *Demand, load Load) bool {
	_, known := load.Accounts[d.Account]
	return known && d.Account != "" && !d.Step.LongRunning
}

// poolSharesOf returns the shares of a pool. It adds them with the use of all accounts.
func poolSharesOf(pools map[Pool]*poolShares, pool Pool, load Load) *poolShares {
	if p := pools[pool]; p != nil {
		return p
	}
	p := &poolShares{capacity: amountsOf(load.Pools[pool].Capacity), accounts: map[string]*accountShare{}}
	for _, name := range slices.Sorted(maps.Keys(load.Accounts)) {
		account := load.Accounts[name]
		use := account.Use[pool]
		a := &accountShare{
			weight: account.Weight, limit: amountsOf(account.Limit),
			use: amountsOf(use.Total), demand: amountsOf(use.Total), committed: amountsOf(use.LongRunning),
		}
		p.accounts[name], p.order = a, append(p.order, a)
	}
	pools[pool] = p
	return p
}

// addNeed adds what the waiting tasks of a demand need, up to the limit of the account.
func (p *poolShares) addNeed(d *Demand) {
	a := p.accounts[d.Account]
	a.demand = a.demand.plus(amountsOf(d.Step.Need), float64(len(d.Waiting)))
	for i := range a.demand {
		if a.limit[i] > 0 {
			a.demand[i] = min(a.demand[i], max(a.use[i], a.limit[i]))
		}
	}
}

// levelSteps is the number of bisections of a level. It makes the error of the level less
// than a billionth of the largest one.
const levelSteps = 40

// rounding is the part of a task by which it may exceed a share and is still within it.
const rounding = 1e-6

// findLevels raises the level of all accounts until a resource of the pool is exhausted. The
// accounts that need it keep that level, and the level of the others is raised further.
func (p *poolShares) findLevels() {
	highest := 0.0
	for _, a := range p.order {
		a.size, a.level = a.demand.dominantShare(p.capacity), math.Inf(1)
		highest = max(highest, a.size/a.weight)
	}
	for range len(p.capacity) {
		low, high := 0.0, highest
		exhausted := p.exhausted(high)
		if exhausted == [len(amounts{})]bool{} {
			return
		}
		for range levelSteps {
			middle := (low + high) / 2
			if at := p.exhausted(middle); at == [len(amounts{})]bool{} {
				low = middle
			} else {
				high, exhausted = middle, at
			}
		}
		for _, a := range p.order {
			for i := range exhausted {
				if exhausted[i] && a.demand[i] > 0 {
					a.level = min(a.level, low)
				}
			}
		}
	}
}

// exhausted returns which resources are not enough for the accounts' demands up to the level,
// or up to their own if that is lower. Long-running use counts in full, because it does not
// end.
func (p *poolShares) exhausted(level float64) (out [len(amounts{})]bool) {
	total := amounts{}
	for _, a := range p.order {
		part := 1.0
		if allowed := min(level, a.level) * a.weight; allowed < a.size {
			part = allowed / a.size
		}
		for i := range total {
			total[i] += max(a.committed[i], part*a.demand[i])
		}
	}
	for i := range total {
		// The tolerance is for rounding: the committed use alone may be all of the capacity.
		out[i] = total[i] > p.capacity[i]*(1+1e-9)
	}
	return out
}

// divide appends the demand to out, divided by the classes of its tasks, and adds them to
// the use of its account. A gang is not divided.
func (p *poolShares) divide(out []Demand, d Demand) []Demand {
	a, need := p.accounts[d.Account], amountsOf(d.Step.Need)
	unit := 1
	if d.Step.Gang {
		unit = len(d.Waiting)
	}
	for waiting := d.Waiting; len(waiting) > 0; {
		part, count := d, len(waiting)
		if fitting := p.countWithin(a, need, count); fitting >= unit {
			part.share, count = withinShare, fitting/unit*unit
		} else if used := a.use.dominantShare(p.capacity) / max(minLevel, a.level*a.weight); used < 1-rounding {
			part.share, part.shareUsed, count = crossesShare, used, unit
		} else {
			part.share = beyondShare
		}
		part.Waiting, waiting = waiting[:count], waiting[count:]
		a.use = a.use.plus(need, float64(count))
		out = append(out, part)
	}
	return out
}

// minLevel replaces a level of 0, with which an account that uses nothing has no share.
const minLevel = 1e-9

// countWithin returns how many of count tasks fit into the rest of the share.
func (p *poolShares) countWithin(a *accountShare, need amounts, count int) int {
	fitting := float64(count)
	for i := range need {
		if need[i] > 0 {
			room := a.level*a.weight*max(1, p.capacity[i]) - a.use[i]
			fitting = min(fitting, math.Floor(max(0, room)/need[i]+rounding))
		}
	}
	return int(fitting)
}
