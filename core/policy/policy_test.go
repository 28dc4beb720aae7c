package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

var bigWorker = domain.Resources{CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8, Connections: 64}

func demand(seq uint64, kind domain.Kind, cpu int64) shard.Demand {
	return shard.Demand{
		ID:       domain.RequestID{Shard: domain.ShardID{Domain: "a"}, Epoch: 1, Seq: seq},
		Kind:     kind,
		Class:    "c",
		Team:     "t",
		Declared: domain.Resources{CPUMilli: cpu, MemoryMiB: 1000, Slots: 1},
		Budget:   time.Second,
	}
}

// Guards against starting batch tasks before watches or in the slots that are
// kept free for urgent requests, against exceeding the capacity, and against a
// batch task that fits on no worker and is not refused permanently.
func TestWatchesFirstAndUrgentSlotsStayFree(t *testing.T) {
	p := New(Config{Seed: 1})
	p.WorkerUp(0, shard.WorkerInfo{ID: "w", Rack: "r", Capacity: bigWorker})
	for seq := range uint64(10) {
		p.Enqueue(0, demand(seq, domain.KindBatch, 1000))
	}
	p.Enqueue(0, demand(100, domain.KindWatch, 1000))
	var kinds []domain.Kind
	for {
		d, c, ok := p.DequeueNext(0)
		if !ok {
			break
		}
		kinds = append(kinds, d.Kind)
		p.Reserve(0, c.Worker, d, c.Reserved)
	}
	assert.Equal(t, len(kinds), 6)
	assert.Equal(t, kinds[0], domain.KindWatch)
	for seq := uint64(200); seq < 202; seq++ {
		c, refusal := p.Choose(0, demand(seq, domain.KindUrgent, 1000))
		assert.Assert(t, refusal == nil)
		p.Reserve(0, c.Worker, demand(seq, domain.KindUrgent, 1000), c.Reserved)
	}
	_, refusal := p.Choose(0, demand(300, domain.KindUrgent, 1000))
	assert.Assert(t, refusal != nil && !refusal.Permanent)
	refusal = p.CheckFits(demand(301, domain.KindBatch, 64_000))
	assert.Assert(t, refusal != nil && refusal.Permanent)
}

// Guards against a faulty worker that keeps getting tasks, and against a repaired
// worker that never gets tasks again.
func TestFaultyWorkerIsQuarantinedAndProbed(t *testing.T) {
	p := New(Config{Seed: 1})
	for _, id := range []domain.WorkerID{"bad", "x", "y", "z"} {
		p.WorkerUp(0, shard.WorkerInfo{ID: id, Rack: "r", Capacity: bigWorker})
	}
	faulty := true
	onBad := 0
	for seq := range uint64(400) {
		now := time.Duration(seq) * 100 * time.Millisecond
		p.Enqueue(now, demand(seq, domain.KindBatch, 1000))
		d, c, ok := p.DequeueNext(now)
		assert.Assert(t, ok)
		p.Reserve(now, c.Worker, d, c.Reserved)
		result := shard.ResultSucceeded
		if c.Worker == "bad" {
			onBad++
			if faulty {
				result = shard.ResultFailed
			}
		}
		p.Release(now, c.Worker, d.ID, result, time.Millisecond)
		if seq == 200 {
			assert.Assert(t, onBad >= 4 && onBad < 15, "%d tasks on the faulty worker", onBad)
			faulty = false
			onBad = 0
		}
	}
	assert.Assert(t, onBad > 20, "%d tasks after the repair", onBad)
}

// Guards against a learned reservation that prevents the start of a task whose
// declared size fits on the worker and within the quota, and against a batch task
// above its team's quota that is not refused and stays pending forever.
func TestReservationIsClampedToWorkerAndQuota(t *testing.T) {
	p := New(Config{Seed: 1})
	p.WorkerUp(0, shard.WorkerInfo{ID: "w", Rack: "r", Capacity: bigWorker})
	quota := domain.Quota{Team: "t", Weight: 1, Limit: domain.Resources{CPUMilli: 10_000}}
	p.Configure(0, DefaultPresets()[0], []domain.Quota{quota})
	for range 10 {
		p.Observe(0, "w", []platform.Usage{{Class: "c", Used: domain.Resources{CPUMilli: 40_000, MemoryMiB: 200_000}}})
	}
	p.Enqueue(0, demand(1, domain.KindBatch, 5000))
	_, c, ok := p.DequeueNext(0)
	assert.Assert(t, ok)
	assert.Equal(t, c.Reserved.CPUMilli, int64(10_000))
	assert.Equal(t, c.Reserved.MemoryMiB, int64(93_750))
	c, refusal := p.Choose(0, demand(2, domain.KindUrgent, 5000))
	assert.Assert(t, refusal == nil)
	assert.Equal(t, c.Reserved.CPUMilli, bigWorker.CPUMilli)
	refusal = p.CheckFits(demand(3, domain.KindBatch, 11_000))
	assert.Assert(t, refusal != nil && refusal.Permanent)
	assert.Assert(t, p.CheckFits(demand(4, domain.KindBatch, 9_000)) == nil)
}
