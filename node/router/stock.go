package router

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer"
)

const (
	// idBatchSize is the number of ids that are drawn ahead from one shard.
	idBatchSize = 256
	// idLowWaterMark is the number of left ids at which the next batch is drawn
	// in the background, so that no request waits for it.
	idLowWaterMark = 64
	// maxPoolShards bounds the shards from which ids are held. Together with
	// drawBatch it bounds the ids held.
	maxPoolShards = 16
	// reserveTimeout bounds a draw, so that a request has time left to try
	// another shard.
	reserveTimeout = 300 * time.Millisecond
	// maxReservedIDs is the largest number of ids that one call may draw.
	maxReservedIDs = 1000
)

// idRange is a number of consecutive ids of one shard and epoch.
type idRange struct {
	// node is the owner that drew the ids.
	node  domain.NodeID
	epoch domain.Epoch
	next  uint64
	left  int
}

// idPool holds ids that were drawn ahead.
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

// isStale reports whether the owner that drew the ids has been replaced, as far
// as is known. A new owner cannot prove that an id of an older epoch has not
// run, so it would not start the request.
func (r idRange) isStale(c candidate) bool {
	return r.node != c.node || c.epoch != 0 && r.epoch != c.epoch
}

// pooledID is a held id, and whether the taker must draw the next batch.
type pooledID struct {
	id     domain.RequestID
	refill bool
}

// take returns an id of the candidate's shard, if one is held.
func (s *idPool) take(c candidate) (pooledID, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.ranges[c.shard]
	if held == nil {
		return pooledID{}, false
	}
	if held.isStale(c) {
		delete(s.ranges, c.shard)
		return pooledID{}, false
	}
	id := domain.RequestID{Shard: c.shard, Epoch: held.epoch, Seq: held.next}
	held.next++
	held.left--
	if held.left == 0 {
		delete(s.ranges, c.shard)
	}
	refill := held.left < idLowWaterMark && !s.refilling[c.shard]
	if refill {
		s.refilling[c.shard] = true
	}
	return pooledID{id: id, refill: refill}, true
}

// put stores a drawn range in place of the one held. Ids that are replaced are
// never used.
func (s *idPool) put(shard domain.ShardID, r idRange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.left == 0 || s.ranges[shard] == nil && len(s.ranges) >= maxPoolShards {
		return
	}
	s.ranges[shard] = &r
}

func (s *idPool) finishRefill(shard domain.ShardID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.refilling, shard)
}

// drop forgets the ids of a shard whose owner cannot be reached or has moved.
func (s *idPool) drop(shard domain.ShardID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.ranges, shard)
}

// newID returns a fresh id of the candidate's shard.
func (r *Router) newID(ctx context.Context, c candidate) (domain.RequestID, error) {
	if t, ok := r.ids.take(c); ok {
		if t.refill {
			r.refill(c)
		}
		return t.id, nil
	}
	drawn, err := r.reserveRange(ctx, c, idBatchSize)
	if err != nil {
		return domain.RequestID{}, err
	}
	id := domain.RequestID{Shard: c.shard, Epoch: drawn.epoch, Seq: drawn.next}
	drawn.next++
	drawn.left--
	r.ids.put(c.shard, drawn)
	return id, nil
}

// refill draws the next batch of a shard in the background.
func (r *Router) refill(c candidate) {
	r.background.Go(func() {
		defer r.ids.finishRefill(c.shard)
		if drawn, err := r.reserveRange(r.ctx, c, idBatchSize); err == nil {
			r.ids.put(c.shard, drawn)
		}
	})
}

// reserveRange draws n consecutive ids from the owner of the candidate's shard.
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
