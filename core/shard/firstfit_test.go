package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// firstFit is a Policy that takes the first worker with room, on declared
// sizes.
type firstFit struct {
	workers map[domain.WorkerID]*firstFitWorker
	queue   []Demand
	evict   []Reaction
}

type firstFitWorker struct {
	info     WorkerInfo
	up       bool
	reserved map[domain.RequestID]domain.Resources
}

func newFirstFit() *firstFit {
	return &firstFit{workers: map[domain.WorkerID]*firstFitWorker{}}
}

func (f *firstFit) Configure(Instant, domain.Preset, []domain.Quota) {}

func (f *firstFit) WorkerUp(_ Instant, info WorkerInfo) {
	w := f.worker(info.ID)
	w.info, w.up = info, true
}

func (f *firstFit) WorkerDown(_ Instant, id domain.WorkerID) { f.worker(id).up = false }

func (f *firstFit) WorkerRemoved(_ Instant, id domain.WorkerID) { delete(f.workers, id) }

func (f *firstFit) worker(id domain.WorkerID) *firstFitWorker {
	w, ok := f.workers[id]
	if !ok {
		w = &firstFitWorker{reserved: map[domain.RequestID]domain.Resources{}}
		f.workers[id] = w
	}
	return w
}

func (f *firstFit) Reserve(_ Instant, w domain.WorkerID, d Demand, r domain.Resources) {
	f.worker(w).reserved[d.ID] = r
}

func (f *firstFit) Release(_ Instant, w domain.WorkerID, id domain.RequestID, _ Result, _ time.Duration) {
	delete(f.worker(w).reserved, id)
}

func (f *firstFit) Observe(Instant, domain.WorkerID, []platform.Usage) {}

func (f *firstFit) Choose(_ Instant, d Demand) (Placement, *Refusal) {
	ids := make([]domain.WorkerID, 0, len(f.workers))
	for id := range f.workers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	for _, id := range ids {
		w := f.workers[id]
		if w.up && !slices.Contains(d.Avoid, id) && w.used().Add(d.Declared).Fits(w.info.Capacity) {
			return Placement{Worker: id, Reserved: d.Declared, Reason: "first with room"}, nil
		}
	}
	return Placement{}, &Refusal{Reason: "no worker has room"}
}

func (w *firstFitWorker) used() domain.Resources {
	var sum domain.Resources
	for _, r := range w.reserved {
		sum = sum.Add(r)
	}
	return sum
}

func (f *firstFit) CheckFits(d Demand) *Refusal {
	if len(f.workers) == 0 {
		return nil
	}
	for _, w := range f.workers {
		if d.Declared.Fits(w.info.Capacity) || w.info.Capacity == (domain.Resources{}) {
			return nil
		}
	}
	return &Refusal{Permanent: true, Reason: "larger than every worker"}
}

func (f *firstFit) Enqueue(_ Instant, d Demand) { f.queue = append(f.queue, d) }

func (f *firstFit) Dequeue(id domain.RequestID) {
	f.queue = slices.DeleteFunc(f.queue, func(d Demand) bool { return d.ID == id })
}

func (f *firstFit) DequeueNext(now Instant) (Demand, Placement, bool) {
	for i, d := range f.queue {
		c, refusal := f.Choose(now, d)
		if refusal == nil {
			f.queue = slices.Delete(f.queue, i, i+1)
			return d, c, true
		}
	}
	return Demand{}, Placement{}, false
}

func (f *firstFit) Reactions(Instant) []Reaction {
	out := f.evict
	f.evict = nil
	return out
}
