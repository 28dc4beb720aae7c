package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

// newFilledPolicy returns a policy in which half of the slots of each worker are
// reserved and usage reports have been observed.
func newFilledPolicy(workers int) *Policy {
	p := New(Config{Seed: 1})
	for i := range workers {
		id := domain.WorkerID(fmt.Sprint("w", i))
		p.WorkerUp(0, shard.WorkerInfo{ID: id, Rack: fmt.Sprint("r", i/8), Capacity: bigWorker})
		for slot := range 4 {
			d := demand(uint64(i*8+slot), []domain.Kind{domain.KindUrgent, domain.KindBatch}[slot%2], 2000)
			d.Class = domain.Class(d.Kind)
			p.Reserve(0, id, d, d.Declared)
			p.Observe(0, id, []platform.Usage{{ID: d.ID, Class: d.Class, Used: d.Declared, Slowdown: 1}})
		}
	}
	return p
}

// reportMedian runs step for each iteration and reports the median duration.
func reportMedian(b *testing.B, step func(i int)) {
	var times []time.Duration
	i := 0
	for b.Loop() {
		start := time.Now()
		step(i)
		times = append(times, time.Since(start))
		i++
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Nanoseconds()), "median-ns")
}

// Measures the choice of a worker for an urgent request, and the Reserve and
// Release that follow it.
func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{50, 1500, 15_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p := newFilledPolicy(workers)
			reportMedian(b, func(i int) {
				now := time.Duration(i) * time.Millisecond
				d := demand(uint64(1_000_000+i), domain.KindUrgent, 2000)
				d.Class = "urgent"
				c, refusal := p.Choose(now, d)
				if refusal != nil {
					b.Fatal(refusal.Reason)
				}
				p.Reserve(now, c.Worker, d, c.Reserved)
				p.Release(now, c.Worker, d.ID, shard.ResultSucceeded, time.Millisecond)
			})
		})
	}
}

// Measures a batch task of one of 1,000 teams, from Enqueue to Release.
func BenchmarkNext(b *testing.B) {
	for _, workers := range []int{50, 1500, 15_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p := newFilledPolicy(workers)
			reportMedian(b, func(i int) {
				now := time.Duration(i) * time.Millisecond
				d := demand(uint64(1_000_000+i), domain.KindBatch, 2000)
				d.Team = domain.Team(fmt.Sprint("t", i%1000))
				p.Enqueue(now, d)
				d, c, ok := p.DequeueNext(now)
				if !ok {
					b.Fatal("no pending task can start")
				}
				p.Reserve(now, c.Worker, d, c.Reserved)
				p.Release(now, c.Worker, d.ID, shard.ResultSucceeded, time.Millisecond)
			})
		})
	}
}

// Measures the cancellation of 10,000 pending tasks of 1,000 teams that do not
// fit.
func BenchmarkCancellationWave(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		p := newFilledPolicy(50)
		for seq := range uint64(10_000) {
			d := demand(1_000_000+seq, domain.KindBatch, 20_000+int64(seq%100))
			d.Team = domain.Team(fmt.Sprint("t", seq%1000))
			p.Enqueue(0, d)
		}
		p.DequeueNext(0)
		b.StartTimer()
		for seq := range uint64(10_000) {
			p.Dequeue(demand(1_000_000+seq, domain.KindBatch, 0).ID)
		}
	}
}
