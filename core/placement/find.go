package placement

import (
	"fmt"
	"slices"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// sampleCount is the number of workers drawn at random for each decision.
	sampleCount = 8
	// enoughCandidates ends the decision without a search of the tree.
	enoughCandidates = 3
	// candidateLimit bounds the candidates that are compared.
	candidateLimit = 12
	// visitLimit bounds the nodes that one search of the tree visits. The
	// search misses a worker only if many workers have room in each single
	// dimension but not in all; a later search starts elsewhere.
	visitLimit = 512
	// rackCostWeight is the cost of a rack that holds the class densely, relative
	// to the cost of a fully loaded worker.
	rackCostWeight = 0.2
)

// Query asks for a worker.
type Query struct {
	Kind   domain.Kind
	Class  domain.Class
	Demand domain.Resources
	Zone   Zone
	// Avoid lists workers that are not chosen.
	Avoid []domain.WorkerID
	// Cost is added to the cost of a candidate; nil adds nothing. The load of
	// a full worker costs 1.
	Cost func(id domain.WorkerID, occupants []Occupant) float64
	// Packed prefers loaded workers instead of idle ones.
	Packed bool
}

// Selection is the chosen worker.
type Selection struct {
	Worker domain.WorkerID
	// Load is the largest share of a dimension in use with the demand added.
	Load float64
	// Reason is a short sentence.
	Reason string
}

// candidates collects the distinct workers on which a demand fits.
type candidates struct {
	leaves []int
}

func (c *candidates) add(leaf int) {
	if len(c.leaves) < candidateLimit && !slices.Contains(c.leaves, leaf) {
		c.leaves = append(c.leaves, leaf)
	}
}

// Find picks a worker on which the demand fits now. It changes nothing but
// the state of the generator.
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
	if !q.Demand.Fits(x.tree.nodes[x.tree.leaves+leaf][freeIndex(q.Kind, q.Zone)]) {
		return false
	}
	return !slices.Contains(q.Avoid, x.workers[leaf].ID)
}

func (x *Index) searchTree(q Query) {
	s := search{tree: x.tree, index: freeIndex(q.Kind, q.Zone), demand: q.Demand, visitsLeft: visitLimit}
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
	return fmt.Sprintf("worker %s has room (%d%% in use with this task), the best of %d candidates; rack %q holds %d tasks of the class",
		w.ID, int(load*100+0.5), len(x.matches.leaves), w.rack.name, w.rack.classes[q.Class])
}
