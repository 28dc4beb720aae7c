package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/placement"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

// baseline schedules on declared sizes with fixed limits, pending tasks in
// order of arrival with those passed over that do not fit.
type baseline struct {
	limits  placement.Limits
	workers []*baselineWorker
	byID    map[domain.WorkerID]*baselineWorker
	pending []shard.Demand
	pick    func(b *baseline, fits func(*baselineWorker) bool) *baselineWorker
	random  *rand.Rand
}

type baselineWorker struct {
	shard.WorkerInfo
	total, batch domain.Resources
	tasks        map[domain.RequestID]reservedTask
}

type reservedTask struct {
	kind     domain.Kind
	reserved domain.Resources
}

// baselineLookahead bounds the pending tasks that one Next tries.
const baselineLookahead = 64

func newBaseline(seed uint64, pick func(*baseline, func(*baselineWorker) bool) *baselineWorker) *baseline {
	return &baseline{limits: limitsOf(DefaultPresets()[0]), byID: map[domain.WorkerID]*baselineWorker{}, pick: pick, random: rand.New(rand.NewPCG(seed, 3))}
}

func firstFit(b *baseline, fits func(*baselineWorker) bool) *baselineWorker {
	for _, w := range b.workers {
		if fits(w) {
			return w
		}
	}
	return nil
}

func twoChoices(b *baseline, fits func(*baselineWorker) bool) *baselineWorker {
	const rounds = 4
	for range rounds {
		x := b.workers[b.random.IntN(len(b.workers))]
		y := b.workers[b.random.IntN(len(b.workers))]
		if !fits(x) || fits(y) && y.load() < x.load() {
			x = y
		}
		if fits(x) {
			return x
		}
	}
	return nil
}

func leastLoaded(b *baseline, fits func(*baselineWorker) bool) *baselineWorker {
	var best *baselineWorker
	for _, w := range b.workers {
		if fits(w) && (best == nil || w.load() < best.load()) {
			best = w
		}
	}
	return best
}

func (w *baselineWorker) load() float64 {
	return max(float64(w.total.CPUMilli)/float64(w.Capacity.CPUMilli), float64(w.total.Slots)/float64(w.Capacity.Slots))
}

func (b *baseline) place(d shard.Demand) (shard.Placement, bool) {
	w := b.pick(b, func(w *baselineWorker) bool {
		if slices.Contains(d.Avoid, w.ID) || !w.total.Add(d.Declared).Fits(w.Capacity) {
			return false
		}
		return d.Kind == domain.KindUrgent || w.batch.Add(d.Declared).Fits(b.limits.BatchLimit(w.Capacity))
	})
	if w == nil {
		return shard.Placement{}, false
	}
	return shard.Placement{Worker: w.ID, Reserved: d.Declared}, true
}

func (b *baseline) Configure(shard.Instant, domain.Preset, []domain.Quota) {}
func (b *baseline) WorkerUp(_ shard.Instant, w shard.WorkerInfo) {
	b.byID[w.ID] = &baselineWorker{WorkerInfo: w, tasks: map[domain.RequestID]reservedTask{}}
	b.workers = append(b.workers, b.byID[w.ID])
}
func (b *baseline) WorkerDown(shard.Instant, domain.WorkerID)                {}
func (b *baseline) WorkerRemoved(shard.Instant, domain.WorkerID)             {}
func (b *baseline) Observe(shard.Instant, domain.WorkerID, []platform.Usage) {}
func (b *baseline) Reactions(shard.Instant) []shard.Reaction                 { return nil }
func (b *baseline) CheckFits(shard.Demand) *shard.Refusal                    { return nil }
func (b *baseline) Enqueue(_ shard.Instant, d shard.Demand)                  { b.pending = append(b.pending, d) }

func (b *baseline) Reserve(_ shard.Instant, id domain.WorkerID, d shard.Demand, reserved domain.Resources) {
	w := b.byID[id]
	w.tasks[d.ID] = reservedTask{d.Kind, reserved}
	w.total = w.total.Add(reserved)
	if d.Kind == domain.KindBatch {
		w.batch = w.batch.Add(reserved)
	}
}

func (b *baseline) Release(_ shard.Instant, id domain.WorkerID, task domain.RequestID, _ shard.Result, _ time.Duration) {
	w := b.byID[id]
	h := w.tasks[task]
	delete(w.tasks, task)
	w.total = w.total.Sub(h.reserved)
	if h.kind == domain.KindBatch {
		w.batch = w.batch.Sub(h.reserved)
	}
}

func (b *baseline) Choose(_ shard.Instant, d shard.Demand) (shard.Placement, *shard.Refusal) {
	c, ok := b.place(d)
	if !ok {
		return c, &shard.Refusal{Reason: "no room"}
	}
	return c, nil
}

func (b *baseline) Dequeue(id domain.RequestID) {
	b.pending = slices.DeleteFunc(b.pending, func(d shard.Demand) bool { return d.ID == id })
}

func (b *baseline) DequeueNext(shard.Instant) (shard.Demand, shard.Placement, bool) {
	for i := range min(len(b.pending), baselineLookahead) {
		d := b.pending[i]
		if c, ok := b.place(d); ok {
			b.pending = slices.Delete(b.pending, i, i+1)
			return d, c, true
		}
	}
	return shard.Demand{}, shard.Placement{}, false
}
