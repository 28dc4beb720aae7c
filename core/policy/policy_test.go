package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
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

// Guards against batch tasks before watches and in slots kept for urgent
// requests, and against a start beyond the capacity.
func TestOrderAndKeptSlots(t *testing.T) {
	p := New(Config{Seed: 1})
	p.WorkerUp(0, shard.WorkerInfo{ID: "w", Rack: "r", Capacity: bigWorker})
	for seq := range uint64(10) {
		p.Enqueue(0, demand(seq, domain.KindBatch, 1000))
	}
	p.Enqueue(0, demand(100, domain.KindWatch, 1000))
	var kinds []domain.Kind
	for {
		d, c, ok := p.Next(0)
		if !ok {
			break
		}
		kinds = append(kinds, d.Kind)
		p.Hold(0, c.Worker, d, c.Reserved)
	}
	assert.Equal(t, len(kinds), 6)
	assert.Equal(t, kinds[0], domain.KindWatch)
	for seq := uint64(200); seq < 202; seq++ {
		c, refusal := p.Choose(0, demand(seq, domain.KindUrgent, 1000))
		assert.Assert(t, refusal == nil)
		p.Hold(0, c.Worker, demand(seq, domain.KindUrgent, 1000), c.Reserved)
	}
	_, refusal := p.Choose(0, demand(300, domain.KindUrgent, 1000))
	assert.Assert(t, refusal != nil && !refusal.Never)
	refusal = p.NeverFits(demand(301, domain.KindBatch, 64_000))
	assert.Assert(t, refusal != nil && refusal.Never)
}
