package router

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/settings"
)

const (
	// ownerCacheTTL is how long the owners that a node of another failure domain
	// reported are used. It is shorter than membership.PeerTimeout (1 s), after
	// which the owner's own domain detects that the owner has failed.
	ownerCacheTTL = 500 * time.Millisecond
	// ownerCallTimeout bounds one call that asks for the owners of a domain.
	ownerCallTimeout = 500 * time.Millisecond
)

// remoteOwners finds the owners of shards of other failure domains. A node
// pings only two nodes of other domains, so for a request of another domain it
// asks a node of that domain for the owners. Concurrent lookups in the same
// domain share the reply to one call.
type remoteOwners struct {
	clients Clients
	now     func() time.Time
	nodes   map[domain.FailureDomain][]domain.NodeID
	domains map[domain.FailureDomain]*domainOwners
}

// domainOwners is the last reply about the owners of one failure domain.
type domainOwners struct {
	mu        sync.Mutex
	owners    map[domain.ShardID]domain.NodeID
	fetchedAt time.Time
	// nextNode counts failed calls; modulo the number of nodes of the domain, it
	// is the index of the node to ask first.
	nextNode int
}

func newRemoteOwners(c settings.Cluster, clients Clients) *remoteOwners {
	r := &remoteOwners{
		clients: clients,
		now:     time.Now,
		nodes:   map[domain.FailureDomain][]domain.NodeID{},
		domains: map[domain.FailureDomain]*domainOwners{},
	}
	for _, n := range c.Nodes {
		r.nodes[n.Domain] = append(r.nodes[n.Domain], n.ID)
	}
	for _, d := range c.Domains {
		r.domains[d] = &domainOwners{}
	}
	return r
}

// findOwner returns the owner of a shard, as known to a node of the shard's
// failure domain.
func (r *remoteOwners) findOwner(ctx context.Context, id domain.ShardID) (domain.NodeID, bool) {
	d, known := r.domains[id.Domain]
	if !known {
		return "", false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.now().Sub(d.fetchedAt) >= ownerCacheTTL {
		r.refresh(ctx, id.Domain, d)
	}
	owner, ok := d.owners[id]
	return owner, ok
}

// refresh asks the nodes of the domain, one after the other, until one replies. If
// none does, no owner is known.
func (r *remoteOwners) refresh(ctx context.Context, name domain.FailureDomain, d *domainOwners) {
	nodes := r.nodes[name]
	d.owners = nil
	for range nodes {
		node := nodes[d.nextNode%len(nodes)]
		reply, err := r.fetchOwners(ctx, node)
		if err == nil {
			d.owners = ownersByShard(reply)
			d.fetchedAt = r.now()
			return
		}
		d.nextNode++
	}
}

func (r *remoteOwners) fetchOwners(ctx context.Context, node domain.NodeID) (peer.OwnersReply, error) {
	client, err := r.clients.Client(node)
	if err != nil {
		return peer.OwnersReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	return client.Owners(ctx)
}

func ownersByShard(reply peer.OwnersReply) map[domain.ShardID]domain.NodeID {
	owners := make(map[domain.ShardID]domain.NodeID, len(reply.Owners))
	for _, o := range reply.Owners {
		owners[o.Shard] = o.Node
	}
	return owners
}

// owner returns the live owner of a shard, and false if none is known.
func (r *Router) owner(ctx context.Context, id domain.ShardID) (domain.NodeID, bool) {
	if node, ok := r.Peers.Owner(id); ok || id.Domain == r.Node.Domain {
		return node, ok
	}
	return r.remote.findOwner(ctx, id)
}

// Owners implements peer.Handler.
func (h handler) Owners() (peer.OwnersReply, error) {
	r := h.r
	var reply peer.OwnersReply
	for i := range r.Cluster.ShardsPerDomain {
		id := domain.ShardID{Domain: r.Node.Domain, Index: i}
		if node, ok := r.Peers.Owner(id); ok {
			reply.Owners = append(reply.Owners, peer.ShardOwner{Shard: id, Node: node})
		}
	}
	return reply, nil
}
