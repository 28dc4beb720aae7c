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
	// submits and forwards bound the requests of clients and of peers that are
	// in progress.
	submits  limiter
	forwards limiter
	// queries bounds the other calls of clients and peers, such as lookups and
	// cancellations.
	queries limiter
	loads   *loadTable
	ids     *idPool
	remote  *remoteOwners
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
	// background waits for the goroutines that outlive a call.
	background sync.WaitGroup
}

var (
	_ service.Requests   = (*Router)(nil)
	_ service.Operations = (*Router)(nil)
	_ service.Delegator  = (*Router)(nil)
)

// New returns a router. Close releases its resources.
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

// Close cancels the work for peers and waits for the background goroutines.
func (r *Router) Close() {
	r.cancel()
	r.background.Wait()
}

// limiter is a counting semaphore.
type limiter chan struct{}

func newLimiter(n int) limiter { return make(limiter, n) }

// tryAcquire takes a place if one is free, and reports whether it did. The
// caller must then call release.
func (l limiter) tryAcquire() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l limiter) release() { <-l }

// errOverloaded returns the error of a call that a limiter rejects.
func errOverloaded(id domain.RequestID) error {
	e := &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "the node is processing as many requests as its settings allow",
		Remedy:  "try again later or through another node",
	}
	if !id.IsZero() {
		e.RequestID = id.String()
	}
	return e
}

// isKnownShard reports whether the shard exists according to the settings.
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

// checkID returns an error for a zero id and for one whose shard does not exist.
func (r *Router) checkID(id domain.RequestID) error {
	if !id.IsZero() && r.isKnownShard(id.Shard) {
		return nil
	}
	return &domain.Error{
		Kind:      domain.KindNotFound,
		Message:   fmt.Sprintf("request %s belongs to a shard that does not exist", id),
		Remedy:    "use an id that POST /v1/ids or an earlier answer returned",
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

// PingArgs returns the state of this node that its pings carry.
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
