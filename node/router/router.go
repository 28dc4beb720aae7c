package router

import (
	"context"
	"fmt"
	"sync"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/service"
)

// Router implements service.Requests, service.Operations and
// service.Delegator, and through Handler also peer.Handler. It is safe for
// concurrent use.
type Router struct {
	Options
	// submits and forwards bound the requests of callers and of peers that
	// are held at once.
	submits  limiter
	forwards limiter
	// queries bounds the look-ups and cancellations of callers and peers.
	queries limiter
	loads   *loadTable
	ids     *idPool
	remote  *remoteOwners
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc
	// background counts goroutines that outlive a call.
	background sync.WaitGroup
}

var (
	_ service.Requests   = (*Router)(nil)
	_ service.Operations = (*Router)(nil)
	_ service.Delegator  = (*Router)(nil)
)

// New returns a router. Close ends it.
func New(o Options) *Router {
	if o.Limits.MaxInFlight <= 0 {
		o.Limits.MaxInFlight = defaultMaxInFlight
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{
		Options:  o,
		submits:  newLimiter(o.Limits.MaxInFlight),
		forwards: newLimiter(o.Limits.MaxInFlight),
		queries:  newLimiter(o.Limits.MaxInFlight),
		ctx:      ctx,
		cancel:   cancel,
	}
	r.loads = newLoadTable(o.Node.Domain, o.Cluster.ShardsPerDomain)
	r.ids = newIDPool()
	r.remote = newRemoteOwners(o.Cluster, o.Clients)
	return r
}

// Close ends the work that the router does for peers and in the background.
func (r *Router) Close() {
	r.cancel()
	r.background.Wait()
}

// limiter bounds the holders of a resource.
type limiter chan struct{}

func newLimiter(n int) limiter { return make(limiter, n) }

// tryAcquire reports whether there is room; the caller must then leave.
func (l limiter) tryAcquire() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l limiter) release() { <-l }

// errOverloaded is the error of a call that a limiter keeps out.
func errOverloaded(id domain.RequestID) error {
	e := &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "the node holds as many requests as its settings allow",
		Remedy:  "try again later or through another node",
	}
	if !id.IsZero() {
		e.RequestID = id.String()
	}
	return e
}

// isKnownShard reports whether the settings have the shard.
func (r *Router) isKnownShard(id domain.ShardID) bool {
	if id.Index < 0 || id.Index >= r.Cluster.ShardsPerDomain {
		return false
	}
	for _, d := range r.Cluster.Domains {
		if d == id.Domain {
			return true
		}
	}
	return false
}

// checkID returns an error for an id that no shard can have issued.
func (r *Router) checkID(id domain.RequestID) error {
	if !id.IsZero() && r.isKnownShard(id.Shard) {
		return nil
	}
	return &domain.Error{
		Kind:      domain.KindNotFound,
		Message:   fmt.Sprintf("request %s belongs to a shard that does not exist", id),
		Remedy:    "use an id as returned by POST /v1/ids or by an earlier answer",
		RequestID: id.String(),
	}
}

// ownsShard reports whether this node owns the shard.
func (r *Router) ownsShard(id domain.ShardID) bool {
	for _, o := range r.Shards.Owned() {
		if o.Shard == id {
			return true
		}
	}
	return false
}

// PingArgs returns what this node tells of itself to its peers.
func (r *Router) PingArgs() peer.PingArgs {
	return peer.PingArgs{
		From:                r.Node.ID,
		Domain:              r.Node.Domain,
		ConfigVersion:       r.Config.Current().Version,
		ProvisionalTakeOuts: r.Config.Provisional(),
		Owned:               toPeerOwnedShards(r.Shards.Owned()),
		Stopping:            r.Stopping != nil && r.Stopping(),
	}
}

func toPeerOwnedShards(owned []service.OwnedShard) []peer.OwnedShard {
	list := make([]peer.OwnedShard, 0, len(owned))
	for _, o := range owned {
		list = append(list, peer.OwnedShard(o))
	}
	return list
}
