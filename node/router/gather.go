package router

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/service"
)

// forEachNode runs call for the index of each node and waits for all calls to
// return. At most gatherConcurrency calls run concurrently. The context of each ends
// after gatherTimeout.
func forEachNode(ctx context.Context, nodes []service.NodeStatus, call func(context.Context, int)) {
	limit := newLimiter(gatherConcurrency)
	var running sync.WaitGroup
	for i := range nodes {
		limit <- struct{}{}
		running.Go(func() {
			defer limit.release()
			callCtx, cancel := context.WithTimeout(ctx, gatherTimeout)
			defer cancel()
			call(callCtx, i)
		})
	}
	running.Wait()
}

// ownStatus returns the status of this node.
func (r *Router) ownStatus() service.NodeStatus {
	owned := r.Shards.Owned()
	shards := make([]domain.ShardID, 0, len(owned))
	for _, o := range owned {
		shards = append(shards, o.Shard)
	}
	return service.NodeStatus{
		ID:            r.Node.ID,
		Domain:        r.Node.Domain,
		Address:       r.Node.HTTPAddress,
		Live:          true,
		ConfigVersion: r.Config.Current().Version,
		Shards:        shards,
		Isolated:      r.Peers.Isolated(),
		LogUp:         r.Peers.LogUp(),
	}
}

// Nodes implements service.Operations. A node that does not answer is reported
// as not live; its other fields are those known from pings.
func (r *Router) Nodes(ctx context.Context) ([]service.NodeStatus, error) {
	nodes := slices.Clone(r.Peers.Status())
	forEachNode(ctx, nodes, func(ctx context.Context, i int) {
		nodes[i] = r.fetchStatus(ctx, nodes[i])
	})
	slices.SortFunc(nodes, func(a, b service.NodeStatus) int { return cmp.Compare(a.ID, b.ID) })
	return nodes, nil
}

// fetchStatus asks a node for its status. The id, domain and address in the
// result are always those of the settings.
func (r *Router) fetchStatus(ctx context.Context, known service.NodeStatus) service.NodeStatus {
	if known.ID == r.Node.ID {
		return r.ownStatus()
	}
	client, err := r.Clients.Client(known.ID)
	if err != nil {
		known.Live = false
		return known
	}
	reply, err := client.Status(ctx)
	if err != nil {
		known.Live = false
		return known
	}
	status := reply.Status
	status.ID, status.Domain, status.Address, status.Live = known.ID, known.Domain, known.Address, true
	return status
}

// nodeWorkers is the reply of one node: the shards that it owns and their workers.
// It is empty if the node did not answer.
type nodeWorkers struct {
	shards  []domain.ShardID
	workers []service.WorkerStatus
}

// Workers implements service.Operations. A domain is missing if the owner of
// one of its shards did not answer.
func (r *Router) Workers(ctx context.Context) ([]service.WorkerStatus, []domain.FailureDomain, error) {
	nodes := r.Peers.Status()
	answers := make([]nodeWorkers, len(nodes))
	forEachNode(ctx, nodes, func(ctx context.Context, i int) {
		answers[i] = r.fetchWorkers(ctx, nodes[i])
	})
	byID := make(map[domain.WorkerID]service.WorkerStatus)
	answered := make(map[domain.ShardID]bool)
	for _, a := range answers {
		for _, s := range a.shards {
			answered[s] = true
		}
		for _, w := range a.workers {
			byID[w.ID] = w
		}
	}
	return sortedWorkers(byID), r.missingDomains(answered), nil
}

func (r *Router) fetchWorkers(ctx context.Context, n service.NodeStatus) nodeWorkers {
	if n.ID == r.Node.ID {
		return nodeWorkers{shards: r.ownStatus().Shards, workers: r.Shards.Workers()}
	}
	client, err := r.Clients.Client(n.ID)
	if err != nil {
		return nodeWorkers{}
	}
	status, err := client.Status(ctx)
	if err != nil {
		return nodeWorkers{}
	}
	reply, err := client.Workers(ctx)
	if err != nil {
		return nodeWorkers{}
	}
	return nodeWorkers{shards: status.Status.Shards, workers: reply.Workers}
}

func sortedWorkers(byID map[domain.WorkerID]service.WorkerStatus) []service.WorkerStatus {
	list := make([]service.WorkerStatus, 0, len(byID))
	for _, w := range byID {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b service.WorkerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// missingDomains returns the failure domains with a shard that is not in
// answered, in the order of the settings.
func (r *Router) missingDomains(answered map[domain.ShardID]bool) []domain.FailureDomain {
	var missing []domain.FailureDomain
	for _, d := range r.Cluster.Domains {
		for i := range r.Cluster.ShardsPerDomain {
			if !answered[domain.ShardID{Domain: d, Index: i}] {
				missing = append(missing, d)
				break
			}
		}
	}
	return missing
}

// pingNode sends this node's state to another node and returns that node's state.
func (r *Router) pingNode(ctx context.Context, id domain.NodeID) (peer.PingReply, error) {
	client, err := r.Clients.Client(id)
	if err != nil {
		return peer.PingReply{}, err
	}
	return client.Ping(ctx, r.PingArgs())
}
