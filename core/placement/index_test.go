package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/basilferry/basilferry/core/domain"
)

var bigWorker = domain.Resources{CPUMilli: 32_000, MemoryMiB: 125_000, Accelerators: 1, Slots: 8, Connections: 64}

func id(seq int) domain.RequestID { return domain.RequestID{Epoch: 1, Seq: uint64(seq)} }

func name(i int) domain.WorkerID { return domain.WorkerID(fmt.Sprint("w", i)) }

func newIndex(workers, perRack int) *Index {
	x := New(1)
	for i := range workers {
		x.MarkUp(Worker{ID: name(i), Rack: fmt.Sprint("r", i/perRack), Capacity: bigWorker})
	}
	return x
}

// reference is a simple model of the index. It adds up the tasks per worker for
// every query.
type reference struct {
	capacity map[domain.WorkerID]domain.Resources
	up       map[domain.WorkerID]bool
	reserved map[domain.WorkerID]map[domain.RequestID]Task
}

func (n *reference) sum(w domain.WorkerID, kind domain.Kind) domain.Resources {
	var s domain.Resources
	for _, t := range n.reserved[w] {
		if kind == "" || t.Kind == kind {
			s = s.Add(t.Reserved)
		}
	}
	return s
}

func (n *reference) fits(w domain.WorkerID, q Query, l Limits) bool {
	c := n.capacity[w]
	if !n.up[w] || !n.sum(w, "").Add(q.Demand).Fits(c) {
		return false
	}
	if q.Kind == domain.KindUrgent {
		urgent := int64(0)
		for _, t := range n.reserved[w] {
			if t.Kind == domain.KindUrgent {
				urgent++
			}
		}
		return urgent < l.UrgentPerWorker
	}
	if q.Kind == domain.KindWatch {
		return true
	}
	batch := n.sum(w, domain.KindBatch).Add(q.Demand)
	batch.Slots += n.sum(w, domain.KindWatch).Slots
	return batch.Fits(l.BatchLimit(c))
}

func drawSize(t *rapid.T) domain.Resources {
	return domain.Resources{
		CPUMilli:     rapid.Int64Range(0, 20_000).Draw(t, "cpu"),
		MemoryMiB:    rapid.Int64Range(0, 80_000).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
		Slots:        rapid.Int64Range(0, 3).Draw(t, "slots"),
		Connections:  rapid.Int64Range(0, 40).Draw(t, "connections"),
	}
}

// Guards against a Find that returns a worker on which the demand does not fit, so
// that its capacity would be exceeded (invariant I1), or that returns none although
// the demand fits on one. The random sequence of calls includes reservations of any
// size that Find did not select.
func TestFindNeverExceedsCapacity(t *testing.T) {
	kinds := []domain.Kind{domain.KindUrgent, domain.KindBatch, domain.KindWatch}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{BatchShare: 0.75, UrgentSlots: 2, UrgentPerWorker: 3}
		x := New(rapid.Uint64().Draw(t, "seed"))
		x.SetLimits(limits)
		n := &reference{map[domain.WorkerID]domain.Resources{}, map[domain.WorkerID]bool{}, map[domain.WorkerID]map[domain.RequestID]Task{}}
		reserve := func(w domain.WorkerID, task Task) {
			x.Reserve(w, task)
			if n.reserved[w] == nil {
				n.reserved[w] = map[domain.RequestID]Task{}
			}
			n.reserved[w][task.ID] = task
		}
		for seq := range rapid.IntRange(1, 150).Draw(t, "steps") {
			w := name(rapid.IntRange(0, 4).Draw(t, "worker"))
			switch rapid.IntRange(0, 9).Draw(t, "call") {
			case 0:
				capacity := bigWorker
				capacity.CPUMilli = rapid.SampledFrom([]int64{16_000, 32_000}).Draw(t, "capacity")
				x.MarkUp(Worker{ID: w, Rack: "r", Capacity: capacity})
				n.capacity[w], n.up[w] = capacity, true
			case 1:
				x.MarkDown(w)
				n.up[w] = false
			case 2:
				x.RemoveWorker(w)
				n.up[w] = false
			case 3:
				reserve(w, Task{ID: id(seq), Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Class: "c", Reserved: drawSize(t)})
			case 4, 5:
				task := id(rapid.IntRange(0, seq).Draw(t, "task"))
				x.Release(w, task)
				delete(n.reserved[w], task)
			default:
				q := Query{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Class: "c", Demand: drawSize(t)}
				found, ok := x.Find(q)
				possible := false
				for i := range 5 {
					possible = possible || n.fits(name(i), q, limits)
				}
				if ok != possible {
					t.Fatalf("found a worker: %v, the demand fits on a worker: %v", ok, possible)
				}
				if !ok {
					continue
				}
				if !n.fits(found.Worker, q, limits) {
					t.Fatalf("selected worker %s does not fit %+v", found.Worker, q.Demand)
				}
				reserve(found.Worker, Task{ID: id(seq), Kind: q.Kind, Class: "c", Reserved: q.Demand})
			}
			for i := range 5 {
				if n.up[name(i)] && !x.ReservedOn(name(i)).Fits(n.capacity[name(i)]) {
					t.Fatalf("worker %d has reservations of %+v, above its capacity", i, x.ReservedOn(name(i)))
				}
			}
		}
	})
}

// Guards against all tasks of a class in one rack, where a rack failure would
// stop all of them.
func TestSpreadsClassOverRacks(t *testing.T) {
	x := newIndex(48, 8)
	perRack := map[string]int{}
	for seq := range 24 {
		q := Query{Kind: domain.KindWatch, Class: "c", Demand: domain.Resources{CPUMilli: 1000, MemoryMiB: 1000, Slots: 1}}
		found, ok := x.Find(q)
		assert.Assert(t, ok)
		x.Reserve(found.Worker, Task{ID: id(seq), Kind: q.Kind, Class: q.Class, Reserved: q.Demand})
		perRack[x.workers[x.leafOf[found.Worker]].rack.name]++
	}
	assert.Equal(t, len(perRack), 6)
	for rack, n := range perRack {
		assert.Assert(t, n <= 6, "rack %s has %d of 24 tasks", rack, n)
	}
}

// Guards against a Find that ignores the noise filter: urgent requests would run
// on noisy workers while quiet ones have free capacity, and noisy batch tasks
// would make further workers noisy.
func TestFindAppliesNoiseFilter(t *testing.T) {
	x := newIndex(10, 5)
	for i := range 9 {
		x.SetNoisy(name(i), true)
	}
	small := domain.Resources{CPUMilli: 1000, Slots: 1}
	for range 20 {
		found, ok := x.Find(Query{Kind: domain.KindUrgent, Demand: small, NoiseFilter: Quiet})
		assert.Assert(t, ok)
		assert.Equal(t, found.Worker, name(9))
		found, ok = x.Find(Query{Kind: domain.KindBatch, Demand: small, NoiseFilter: Noisy})
		assert.Assert(t, ok)
		assert.Assert(t, found.Worker != name(9))
	}
	assert.Equal(t, x.NoisyShare(), 0.9)
}

// Measures a decision and the Reserve and Release that follow it, on half full and
// on nearly full workers. On nearly full workers the demand does not fit on most
// sampled workers, so the tree is searched.
func BenchmarkFind(b *testing.B) {
	for _, workers := range []int{50, 1500, 15_000} {
		for _, usedSlots := range []int{4, 8} {
			b.Run(fmt.Sprintf("workers=%d/slots=%dof8", workers, usedSlots), func(b *testing.B) { benchmarkFind(b, workers, usedSlots) })
		}
	}
}

func benchmarkFind(b *testing.B, workers, usedSlots int) {
	x := newIndex(workers, 8)
	q := Query{Kind: domain.KindUrgent, Class: "c", Demand: domain.Resources{CPUMilli: 2000, MemoryMiB: 4000, Slots: 1}}
	seq := 0
	for i := range workers {
		for slot := range usedSlots {
			if usedSlots == 8 && slot == 7 && i%50 == 0 {
				continue // one worker in 50 has one free slot
			}
			x.Reserve(name(i), Task{ID: id(seq), Kind: q.Kind, Class: q.Class, Reserved: q.Demand})
			seq++
		}
	}
	for b.Loop() {
		found, ok := x.Find(q)
		if !ok {
			b.Fatal("no worker found")
		}
		x.Reserve(found.Worker, Task{ID: id(seq), Kind: q.Kind, Class: q.Class, Reserved: q.Demand})
		x.Release(found.Worker, id(seq))
	}
}

// Measures the search for a demand that fits on no worker, although each single
// dimension fits on some: half of the workers have no free memory, and half have
// no free CPU.
func BenchmarkFindNothing(b *testing.B) {
	for _, workers := range []int{50, 1500, 15_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			x := newIndex(workers, 8)
			for i := range workers {
				use := domain.Resources{CPUMilli: bigWorker.CPUMilli}
				if i%2 == 0 {
					use = domain.Resources{MemoryMiB: bigWorker.MemoryMiB}
				}
				x.Reserve(name(i), Task{ID: id(i), Kind: domain.KindUrgent, Class: "c", Reserved: use})
			}
			q := Query{Kind: domain.KindUrgent, Class: "c", Demand: domain.Resources{CPUMilli: 2000, MemoryMiB: 4000, Slots: 1}}
			for b.Loop() {
				if _, ok := x.Find(q); ok {
					b.Fatal("found a worker")
				}
			}
		})
	}
}
