package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/service"
)

// candidate is a shard to which a request without an id may be sent.
type candidate struct {
	shard domain.ShardID
	// node is the shard's owner.
	node domain.NodeID
	// epoch is the owner's epoch, zero if it is not known.
	epoch domain.Epoch
	// own is true if this node owns the shard.
	own       bool
	freeSlots int64
}

// candidates returns the shards that may accept a new request, best first: those of
// this node's failure domain with free slots, then those without, then the shards
// of other domains. Within the first two groups, this node's own shards come first,
// and then those with the most free slots.
func (r *Router) candidates() []candidate {
	list := r.domainCandidates()
	slices.SortStableFunc(list, compareCandidates)
	for _, id := range r.Peers.ReachableShards() {
		if node, ok := r.Peers.Owner(id); ok {
			list = append(list, candidate{shard: id, node: node})
		}
	}
	return list
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		trueFirst(a.freeSlots > 0, b.freeSlots > 0),
		trueFirst(a.own, b.own),
		cmp.Compare(b.freeSlots, a.freeSlots),
	)
}

// trueFirst is a comparison function that orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (r *Router) domainCandidates() []candidate {
	var list []candidate
	own := r.Shards.Owned()
	for i := range r.Cluster.ShardsPerDomain {
		id := domain.ShardID{Domain: r.Node.Domain, Index: i}
		if c, ok := r.candidate(id, own); ok {
			list = append(list, c)
		}
	}
	return list
}

// candidate returns one shard of this node's failure domain as a candidate, and
// false if it has no known owner or its owner reports that it is not ready.
func (r *Router) candidate(id domain.ShardID, own []service.OwnedShard) (candidate, bool) {
	for _, o := range own {
		if o.Shard == id {
			return candidate{shard: id, node: r.Node.ID, epoch: o.Epoch, own: true, freeSlots: o.FreeSlots}, o.Ready
		}
	}
	node, ok := r.Peers.Owner(id)
	if !ok || node == r.Node.ID {
		return candidate{}, false
	}
	if l, ok := r.loads.get(id, time.Now()); ok && l.node == node {
		return candidate{shard: id, node: node, epoch: l.Epoch, freeSlots: l.FreeSlots}, l.Ready
	}
	return candidate{shard: id, node: node}, true
}
