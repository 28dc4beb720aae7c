package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

// reference adds up what was started on each worker.
type reference struct {
	capacity map[domain.WorkerID]domain.Resources
	held     map[domain.WorkerID]map[domain.RequestID]shard.Placement
	kinds    map[domain.RequestID]domain.Kind
}

func (r *reference) check(t *rapid.T, preset domain.Preset, c shard.Placement, kind domain.Kind) {
	var all, batch domain.Resources
	for id, h := range r.held[c.Worker] {
		all = all.Add(h.Reserved)
		if r.kinds[id] == domain.KindBatch {
			batch = batch.Add(h.Reserved)
		}
	}
	capacity := r.capacity[c.Worker]
	if !all.Fits(capacity) {
		t.Fatalf("worker %s holds %+v of %+v", c.Worker, all, capacity)
	}
	if kind != domain.KindBatch {
		return
	}
	if batch.Slots > capacity.Slots-preset.UrgentSlots {
		t.Fatalf("batch tasks hold %d slots on worker %s", batch.Slots, c.Worker)
	}
	if float64(batch.CPUMilli) > preset.BatchShare*float64(capacity.CPUMilli) {
		t.Fatalf("batch tasks hold %d millicores on worker %s", batch.CPUMilli, c.Worker)
	}
}

// Guards against starts beyond the capacity of a worker (I1), the batch share
// or the slots kept for urgent requests, also when usage reports raise the
// reservations, workers come and go, and presets change.
func TestStartsNeverExceedLimits(t *testing.T) {
	kinds := []domain.Kind{domain.KindUrgent, domain.KindBatch, domain.KindWatch}
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{Seed: rapid.Uint64().Draw(t, "seed")})
		preset := DefaultPresets()[0]
		ref := &reference{map[domain.WorkerID]domain.Resources{}, map[domain.WorkerID]map[domain.RequestID]shard.Placement{}, map[domain.RequestID]domain.Kind{}}
		start := func(now time.Duration, d shard.Demand, c shard.Placement) {
			p.Reserve(now, c.Worker, d, c.Reserved)
			ref.held[c.Worker][d.ID] = c
			ref.kinds[d.ID] = d.Kind
			ref.check(t, preset, c, d.Kind)
		}
		for seq := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now := time.Duration(seq) * 100 * time.Millisecond
			w := domain.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")))
			switch rapid.IntRange(0, 9).Draw(t, "call") {
			case 0:
				if ref.held[w] == nil {
					ref.held[w] = map[domain.RequestID]shard.Placement{}
				}
				ref.capacity[w] = bigWorker
				p.WorkerUp(now, shard.WorkerInfo{ID: w, Rack: "r", Capacity: bigWorker})
			case 1:
				p.WorkerDown(now, w)
			case 2:
				preset = rapid.SampledFrom(DefaultPresets()).Draw(t, "preset")
				p.Configure(now, preset, nil)
			case 3:
				used := domain.Resources{CPUMilli: rapid.Int64Range(0, 50_000).Draw(t, "cpu"), MemoryMiB: rapid.Int64Range(0, 200_000).Draw(t, "memory")}
				usage := platform.Usage{Class: "c", Used: used, Slowdown: rapid.Float64Range(1, 9).Draw(t, "slowdown"), Age: time.Second}
				for range 6 {
					p.Observe(now, w, []platform.Usage{usage})
				}
				p.Reactions(now)
			case 4:
				result := rapid.SampledFrom([]shard.Result{shard.ResultSucceeded, shard.ResultFailed, shard.ResultStopped}).Draw(t, "result")
				for id := range uint64(seq) {
					task := demand(id, domain.KindBatch, 0).ID
					if _, ok := ref.held[w][task]; ok {
						p.Release(now, w, task, result, time.Millisecond)
						delete(ref.held[w], task)
					}
				}
			case 5, 6:
				d := demand(uint64(seq), domain.KindUrgent, rapid.Int64Range(1, 40_000).Draw(t, "size"))
				if c, refusal := p.Choose(now, d); refusal == nil {
					start(now, d, c)
				}
			default:
				d := demand(uint64(seq), rapid.SampledFrom(kinds[1:]).Draw(t, "kind"), rapid.Int64Range(1, 40_000).Draw(t, "size"))
				p.Enqueue(now, d)
				for {
					d, c, ok := p.DequeueNext(now)
					if !ok {
						break
					}
					start(now, d, c)
				}
			}
		}
	})
}
