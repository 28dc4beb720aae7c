package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/service"
)

// candidate is a shard that a request without an id may go to.
type candidate struct {
	shard domain.ShardID
	// node is the shard's owner.
	node domain.NodeID
	// epoch is the owner's epoch, zero if it is not known.
	epoch     domain.Epoch
	own       bool
	freeSlots int64
}

// candidates returns the shards that may take a new request, best first: own
// shards with free slots, then other shards of the domain with free slots,
// then those without, each by their number of free slots; and after them the
// shards of other domains.
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

// trueFirst orders true before false.
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

// candidate describes one shard of the own domain, if it is ready as far as
// this node knows.
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
