package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

// Guards against an eviction before the task is fully throttled. A second call of
// Reactions after the same usage report must return nothing.
func TestThrottlesBeforeEviction(t *testing.T) {
	const lag = time.Second
	p := New(Config{Seed: 1})
	p.WorkerUp(0, shard.WorkerInfo{ID: "w", Rack: "r", Capacity: bigWorker})
	noisy := demand(1, domain.KindBatch, 1000)
	noisy.Class = "noisy"
	p.Reserve(0, "w", noisy, noisy.Declared)
	var kinds []shard.ReactionKind
	for now := lag; now < 20*lag; now += lag / 4 {
		urgent := demand(uint64(now), domain.KindUrgent, 1000)
		p.Reserve(now, "w", urgent, urgent.Declared)
		p.Observe(now, "w", []platform.Usage{{ID: urgent.ID, Class: urgent.Class, Used: urgent.Declared, Slowdown: 9, Age: lag}})
		reactions := p.Reactions(now)
		assert.Equal(t, len(p.Reactions(now)), 0)
		for _, r := range reactions {
			assert.Equal(t, r.ID, noisy.ID)
			kinds = append(kinds, r.Kind)
		}
		p.Release(now, "w", urgent.ID, shard.ResultSucceeded, time.Millisecond)
	}
	assert.DeepEqual(t, kinds, []shard.ReactionKind{shard.ReactThrottle, shard.ReactThrottle, shard.ReactEvict})
}

// Guards against a first burst of an unknown class that reaches every worker
// before any slowdown is measured, and against a class that stays confined to some
// workers forever because no slowdown is ever measured.
func TestUnknownClassIsConfinedTemporarily(t *testing.T) {
	p := New(Config{Seed: 1})
	for _, id := range []domain.WorkerID{"a", "b", "c", "d"} {
		p.WorkerUp(0, shard.WorkerInfo{ID: id, Rack: "r", Capacity: bigWorker})
	}
	urgent := demand(1000, domain.KindUrgent, 1000)
	p.Reserve(0, "a", urgent, urgent.Declared)
	p.Release(0, "a", urgent.ID, shard.ResultSucceeded, time.Millisecond)
	workers := map[domain.WorkerID]bool{}
	startAll := func(now time.Duration) {
		for d, c, ok := p.DequeueNext(now); ok; d, c, ok = p.DequeueNext(now) {
			p.Reserve(now, c.Worker, d, c.Reserved)
			workers[c.Worker] = true
		}
	}
	for seq := range uint64(24) {
		d := demand(seq, domain.KindBatch, 1000)
		d.Class = "new"
		p.Enqueue(0, d)
	}
	startAll(0)
	assert.Equal(t, len(workers), 3)
	for now := time.Duration(0); now <= maxUnknownDuration; now += time.Second {
		for _, id := range []domain.WorkerID{"a", "b", "c"} {
			p.Observe(now, id, nil)
		}
	}
	startAll(maxUnknownDuration + time.Second)
	assert.Equal(t, len(workers), 4)
}
