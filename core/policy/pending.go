package policy

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fairshare"
	"github.com/basilferry/basilferry/core/shard"
)

const (
	// maxPlacementTries is the maximum number of placements that one DequeueNext
	// tries. A placement that fails is not tried again until capacity is freed.
	maxPlacementTries = 64
	// retryAllInterval is the time after which all pending tasks become eligible
	// for placement again. Reasons other than freed capacity are a changed noise
	// estimate, a probe that is due, and a search that missed a worker.
	retryAllInterval = time.Second
)

// Enqueue implements shard.Policy.
func (p *Policy) Enqueue(_ shard.Instant, d shard.Demand) {
	p.Dequeue(d.ID)
	p.demands[d.ID] = d
	p.queue(d.Kind).Add(fairshare.Item{
		ID:       d.ID,
		Team:     d.Team,
		Class:    d.Class,
		Declared: withAtLeastOneSlot(d.Declared),
		Avoid:    d.Avoid,
	})
}

// Dequeue implements shard.Policy.
func (p *Policy) Dequeue(id domain.RequestID) {
	d, ok := p.demands[id]
	if !ok {
		return
	}
	delete(p.demands, id)
	p.queue(d.Kind).Remove(id)
}

func (p *Policy) queue(kind domain.Kind) *fairshare.Queue {
	if kind == domain.KindWatch {
		return p.watches
	}
	return p.batch
}

// DequeueNext implements shard.Policy.
func (p *Policy) DequeueNext(now shard.Instant) (shard.Demand, shard.Placement, bool) {
	if now-p.lastRetryAllAt >= retryAllInterval {
		p.lastRetryAllAt = now
		p.retryAllPending()
	}
	if d, c, ok := p.dequeueFrom(now, p.watches); ok {
		return d, c, true
	}
	return p.dequeueFrom(now, p.batch)
}

func (p *Policy) dequeueFrom(now shard.Instant, q *fairshare.Queue) (shard.Demand, shard.Placement, bool) {
	var placement shard.Placement
	item, ok := q.StartNext(maxPlacementTries, func(i fairshare.Item) fairshare.StartResult {
		var result fairshare.StartResult
		placement, result = p.tryPlace(now, p.demands[i.ID])
		return result
	})
	if !ok {
		return shard.Demand{}, shard.Placement{}, false
	}
	d := p.demands[item.ID]
	delete(p.demands, item.ID)
	return d, placement, true
}

func (p *Policy) tryPlace(now shard.Instant, d shard.Demand) (shard.Placement, fairshare.StartResult) {
	if d.Kind == domain.KindBatch {
		if c, ok := p.probe(now, d); ok && p.batch.WithinQuota(d.Team, c.Reserved) {
			return c, fairshare.Started
		}
	}
	c, ok := p.placePending(now, d)
	if !ok {
		return c, fairshare.NoCapacity
	}
	if d.Kind == domain.KindBatch && !p.batch.WithinQuota(d.Team, c.Reserved) {
		return c, fairshare.OverQuota
	}
	return c, fairshare.Started
}

// retryAllPending makes all pending tasks eligible for placement again.
func (p *Policy) retryAllPending() {
	p.watches.RetryAll()
	p.batch.RetryAll()
}
