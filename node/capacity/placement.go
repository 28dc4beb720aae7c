package capacity

import (
	"errors"
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/burn"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/policy"
	"github.com/basilferry/basilferry/core/shard"
)

// standardCapacity is close to the capacity of a worker in
// samples/agrodaneio.json.
var standardCapacity = domain.Resources{CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8, Connections: 64}

// usedSlotsPerWorker is the number of slots in use on each worker of
// newHalfFullPolicy: half of those in standardCapacity.
const usedSlotsPerWorker = 4

// newHalfFullPolicy returns a policy that has reserved half of the slots of
// each worker.
func newHalfFullPolicy(workers int) *policy.Policy {
	p := policy.New(policy.Config{Seed: 1})
	for i, vm := range sampleVMs(workers) {
		p.WorkerUp(0, shard.WorkerInfo{ID: vm.ID, Rack: vm.Rack, Capacity: standardCapacity})
		for slot := range usedSlotsPerWorker {
			d := sampleDemand(uint64(i*usedSlotsPerWorker + slot))
			p.Reserve(0, vm.ID, d, d.Declared)
		}
	}
	return p
}

func sampleDemand(seq uint64) shard.Demand {
	task := sampleTask(domain.RequestID{Shard: domain.ShardID{Domain: "d01"}, Epoch: 1, Seq: seq}, domain.KindUrgent)
	return shard.Demand{ID: task.ID, Kind: task.Kind, Class: task.Class, Team: task.Team, Declared: task.Resources, Budget: time.Second}
}

// measurePlacement returns the processor time of one placement decision among
// size workers, including the reservation and the release of the capacity.
func measurePlacement(size float64, _ Options) (float64, error) {
	p := newHalfFullPolicy(int(size))
	const decisions = 5000
	var failed error
	micros := cpuMicros(func() {
		for seq := range uint64(decisions) {
			d := sampleDemand(1<<32 + seq)
			c, refusal := p.Choose(0, d)
			if refusal != nil {
				failed = errors.New(refusal.Reason)
				return
			}
			p.Reserve(0, c.Worker, d, c.Reserved)
			p.Release(0, c.Worker, d.ID, shard.ResultSucceeded, time.Second)
		}
	})
	return micros / decisions, failed
}

func placementQuantities() []Quantity {
	return []Quantity{{
		Name: "placement/cpu", Role: "shard owner", Mechanism: "core/policy Choose, Reserve, Release; core/placement Find",
		Size: "workers", Unit: "us/decision", Resource: CPU,
		Sizes: []float64{50, 1500, 15_000}, QuickSizes: []float64{10, 50, 100}, Measure: measurePlacement, Interpolate: true,
		At:         func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.Workers) },
		Multiplier: func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.StartsPerSecond) },
	}}
}

// Limits of the explain store, as in node/app.
const (
	maxExplainEntries = 200_000
	maxExplainBytes   = 32 << 20
)

// reasonsPerStart is the number of reasons that are recorded per start.
const reasonsPerStart = 1

func measureExplain(size float64, _ Options) (float64, error) {
	return heapGrowth(func() any {
		s := explain.NewStore(maxExplainEntries, maxExplainBytes)
		for seq := range uint64(size) {
			id := domain.RequestID{Shard: domain.ShardID{Domain: "d01"}, Epoch: 1, Seq: seq}
			reason := fmt.Sprintf("attempt 1 on worker d01-w%05d: least loaded of 8 drawn workers", seq%1000)
			s.Add(id, explain.Entry{At: time.Unix(0, 0), Node: "d01-n1", Reason: reason})
		}
		return s
	}), nil
}

func measureBurn(size float64, _ Options) (float64, error) {
	return heapGrowth(func() any {
		r := burn.NewRecorder([]burn.Objective{
			{Kind: domain.KindUrgent, Target: 0.999, Latency: time.Second},
			{Kind: domain.KindBatch, Target: 0.99},
			{Kind: domain.KindWatch, Target: 0.99},
		})
		for i := range int64(size) {
			r.Record(time.Unix(i, 0), domain.KindUrgent, burn.Good)
		}
		return r
	}), nil
}

// boundedMemoryQuantities returns the memory of the stores whose memory must
// stay bounded as the load grows.
func boundedMemoryQuantities() []Quantity {
	hour := func(t Topology) float64 {
		return reasonsPerStart * t.busiestNodeShare(TwoYearTarget.StartsPerSecond) * time.Hour.Seconds()
	}
	return []Quantity{
		{
			Name: "explain/memory", Role: "every node", Mechanism: "core/explain Store", Size: "reasons recorded", Unit: "B", Resource: Memory,
			Sizes: []float64{20_000, 100_000, 400_000}, QuickSizes: quickSizes, Measure: measureExplain, At: hour, Interpolate: true,
		},
		{
			Name: "burn/memory", Role: "every node", Mechanism: "core/burn Recorder, 3 objectives", Size: "events recorded", Unit: "B", Resource: Memory,
			Sizes: []float64{1000, 10_000, 100_000}, QuickSizes: quickSizes, Measure: measureBurn, At: hour, Interpolate: true,
		},
	}
}
