package placement

import (
	"fmt"
	"slices"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// sampleCount is the number of workers sampled at random for each decision.
	sampleCount = 8
	// enoughCandidates is the number of candidates that makes a search of the
	// tree unnecessary, or at which the search stops.
	enoughCandidates = 3
	// candidateLimit is the maximum number of candidates that are compared.
	candidateLimit = 12
	// visitLimit is the maximum number of nodes that one search of the tree
	// visits. The search can miss a worker only if many workers have enough
	// free capacity in each single dimension but not in all of them. A later
	// search starts at another leaf.
	visitLimit = 512
	// rackCostWeight is the upper limit of the cost for the density of tasks of
	// the class in the rack of a candidate. A fully loaded worker costs 1.
	rackCostWeight = 0.2
)

// Query describes the task for which Find picks a worker.
type Query struct {
	Kind        domain.Kind
	Class       domain.Class
	Demand      domain.Resources
	NoiseFilter NoiseFilter
	// Avoid lists workers that must not be chosen.
	Avoid []domain.WorkerID
	// Cost returns an amount that is added to the cost of a candidate; nil adds
	// nothing. A fully loaded worker costs 1 without it.
	Cost func(id domain.WorkerID, occupants []Occupant) float64
	// Packed prefers loaded workers to idle ones.
	Packed bool
}

// Selection is the chosen worker.
type Selection struct {
	Worker domain.WorkerID
	// Load is the largest share of a dimension that is reserved, with the
	// demand included.
	Load float64
	// Reason explains the choice in a short sentence.
	Reason string
}

// candidates collects the leaves of distinct workers on which a demand fits.
type candidates struct {
	leaves []int
}

func (c *candidates) add(leaf int) {
	if len(c.leaves) < candidateLimit && !slices.Contains(c.leaves, leaf) {
		c.leaves = append(c.leaves, leaf)
	}
}

// Find picks the cheapest of a few workers on which the demand fits now, and
// returns false if it finds none. It changes only the state of the random
// generator.
func (x *Index) Find(q Query) (Selection, bool) {
	x.matches.leaves = x.matches.leaves[:0]
	x.sampleWorkers(q)
	if len(x.matches.leaves) < enoughCandidates {
		x.searchTree(q)
	}
	return x.cheapestMatch(q)
}

func (x *Index) sampleWorkers(q Query) {
	if len(x.workers) == 0 {
		return
	}
	for range sampleCount {
		leaf := x.random.IntN(len(x.workers))
		if x.isEligible(leaf, q) {
			x.matches.add(leaf)
		}
	}
}

func (x *Index) isEligible(leaf int, q Query) bool {
	if !q.Demand.Fits(x.tree.nodes[x.tree.leaves+leaf][freeIndex(q.Kind, q.NoiseFilter)]) {
		return false
	}
	return !slices.Contains(q.Avoid, x.workers[leaf].ID)
}

func (x *Index) searchTree(q Query) {
	s := search{tree: x.tree, index: freeIndex(q.Kind, q.NoiseFilter), demand: q.Demand, visitsLeft: visitLimit}
	s.visit = func(leaf int) bool {
		if !slices.Contains(q.Avoid, x.workers[leaf].ID) {
			x.matches.add(leaf)
		}
		return len(x.matches.leaves) < enoughCandidates
	}
	s.run(x.random.IntN(x.tree.leaves))
}

func (x *Index) cheapestMatch(q Query) (Selection, bool) {
	best := -1
	bestCost := 0.0
	for _, leaf := range x.matches.leaves {
		cost := x.cost(x.workers[leaf], q)
		if best < 0 || cost < bestCost {
			best = leaf
			bestCost = cost
		}
	}
	if best < 0 {
		return Selection{}, false
	}
	w := x.workers[best]
	load := w.load(q.Demand)
	return Selection{Worker: w.ID, Load: load, Reason: x.reason(w, q, load)}, true
}

// cost adds up the load of the worker, the density of tasks of the class in its
// rack, and Query.Cost. The candidate with the lowest cost is chosen.
func (x *Index) cost(w *worker, q Query) float64 {
	cost := w.load(q.Demand)
	if q.Packed {
		cost = 1 - cost
	}
	density := w.rack.density(q.Class)
	cost += rackCostWeight * density / (1 + density)
	if q.Cost != nil {
		cost += q.Cost(w.ID, w.occupants)
	}
	return cost
}

func (x *Index) reason(w *worker, q Query, load float64) string {
	return fmt.Sprintf("worker %s has enough free capacity (%d%% reserved with this task) and is the best of %d candidates; rack %q has %d tasks of the class",
		w.ID, int(load*100+0.5), len(x.matches.leaves), w.rack.name, w.rack.classes[q.Class])
}
