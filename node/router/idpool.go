package router

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer"
)

const (
	// idBatchSize is the number of ids that are reserved ahead in one shard.
	idBatchSize = 256
	// idLowWaterMark is the number of remaining ids below which the next batch
	// is reserved in the background, so that no request waits for it.
	idLowWaterMark = 64
	// maxPoolShards bounds the number of shards with ids in the pool. Together
	// with idBatchSize it bounds the number of ids in the pool.
	maxPoolShards = 16
	// reserveTimeout bounds a call that reserves ids, so that a request has time
	// left for another shard.
	reserveTimeout = 300 * time.Millisecond
	// maxReservedIDs is the largest number of ids that one call may reserve.
	maxReservedIDs = 1000
)

// idRange is a range of consecutive reserved ids of one shard and epoch.
type idRange struct {
	// node is the owner that issued the ids.
	node  domain.NodeID
	epoch domain.Epoch
	next  uint64
	left  int
}

// idPool holds ids that were reserved ahead, at most one range for each shard.
type idPool struct {
	mutex     sync.Mutex
	ranges    map[domain.ShardID]*idRange
	refilling map[domain.ShardID]bool
}

func newIDPool() *idPool {
	return &idPool{
		ranges:    make(map[domain.ShardID]*idRange),
		refilling: make(map[domain.ShardID]bool),
	}
}

// isStale reports whether the owner that issued the ids is known to have been
// replaced. A new owner cannot prove that the request with an id of an older
// epoch has not run, so it would not start it.
func (r idRange) isStale(c candidate) bool {
	return r.node != c.node || c.epoch != 0 && r.epoch != c.epoch
}

// pooledID is an id from the pool. If refill is true, the caller of take must
// reserve the next batch.
type pooledID struct {
	id     domain.RequestID
	refill bool
}

// take removes an id of the candidate's shard from the pool and returns it. It
// returns false if there is none.
func (p *idPool) take(c candidate) (pooledID, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pooled := p.ranges[c.shard]
	if pooled == nil {
		return pooledID{}, false
	}
	if pooled.isStale(c) {
		delete(p.ranges, c.shard)
		return pooledID{}, false
	}
	id := domain.RequestID{Shard: c.shard, Epoch: pooled.epoch, Seq: pooled.next}
	pooled.next++
	pooled.left--
	if pooled.left == 0 {
		delete(p.ranges, c.shard)
	}
	refill := pooled.left < idLowWaterMark && !p.refilling[c.shard]
	if refill {
		p.refilling[c.shard] = true
	}
	return pooledID{id: id, refill: refill}, true
}

// put adds a reserved range to the pool. It replaces the range of the same shard,
// whose remaining ids are never used. If the pool already holds ranges of
// maxPoolShards other shards, the new range is dropped.
func (p *idPool) put(shard domain.ShardID, r idRange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if r.left == 0 || p.ranges[shard] == nil && len(p.ranges) >= maxPoolShards {
		return
	}
	p.ranges[shard] = &r
}

func (p *idPool) finishRefill(shard domain.ShardID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.refilling, shard)
}

// drop removes the ids of a shard whose owner cannot be reached or has changed.
func (p *idPool) drop(shard domain.ShardID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.ranges, shard)
}

// newID returns an unused id of the candidate's shard.
func (r *Router) newID(ctx context.Context, c candidate) (domain.RequestID, error) {
	if t, ok := r.ids.take(c); ok {
		if t.refill {
			r.refill(c)
		}
		return t.id, nil
	}
	reserved, err := r.reserveRange(ctx, c, idBatchSize)
	if err != nil {
		return domain.RequestID{}, err
	}
	id := domain.RequestID{Shard: c.shard, Epoch: reserved.epoch, Seq: reserved.next}
	reserved.next++
	reserved.left--
	r.ids.put(c.shard, reserved)
	return id, nil
}

// refill reserves the next batch of ids of a shard in the background.
func (r *Router) refill(c candidate) {
	r.background.Go(func() {
		defer r.ids.finishRefill(c.shard)
		if reserved, err := r.reserveRange(r.ctx, c, idBatchSize); err == nil {
			r.ids.put(c.shard, reserved)
		}
	})
}

// reserveRange reserves n consecutive ids with the owner of the candidate's shard.
func (r *Router) reserveRange(ctx context.Context, c candidate, n int) (idRange, error) {
	if c.node == r.Node.ID {
		epoch, first, err := r.Shards.Draw(c.shard, n)
		return idRange{node: c.node, epoch: epoch, next: first, left: n}, err
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	client, err := r.Clients.Client(c.node)
	if err != nil {
		return idRange{}, err
	}
	reply, err := client.Draw(ctx, peer.DrawArgs{Shard: c.shard, Count: n})
	if err != nil {
		return idRange{}, err
	}
	return idRange{node: c.node, epoch: reply.Epoch, next: reply.First, left: n}, nil
}
