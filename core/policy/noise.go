package policy

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/interference"
	"github.com/basilferry/basilferry/core/placement"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

const (
	// noisySlowdown is the slowdown of an urgent class by one task above which
	// a class is noisy. Several such tasks run on a worker, so it is well
	// below the throttle limits of the presets.
	noisySlowdown = 1.05
	// noisyValidity is how long a judgement of a class is used.
	noisyValidity = time.Second
)

// noisyState is the judgement of a class at a time.
type noisyState struct {
	at    shard.Instant
	noisy bool
}

// noisy reports whether the class slows down an urgent class.
func (p *Policy) noisy(now shard.Instant, class domain.Class) bool {
	s, ok := p.noisyClasses.Get(class)
	if ok && now-s.at < noisyValidity {
		return s.noisy
	}
	s = noisyState{at: now}
	p.urgentClasses.Each(func(victim domain.Class, _ struct{}) {
		s.noisy = s.noisy || p.noise.Slowdown(victim, class) > noisySlowdown
	})
	p.noisyClasses.Put(class, s)
	return s.noisy
}

// markNoisy tells the index whether noisy tasks run on a worker.
func (p *Policy) markNoisy(now shard.Instant, worker domain.WorkerID) {
	noisy := false
	for _, o := range p.index.Occupants(worker) {
		if o.Kind != domain.KindUrgent && p.noisy(now, o.Class) {
			noisy = true
			break
		}
	}
	p.index.SetNoisy(worker, noisy)
}

// Observe implements shard.Policy.
func (p *Policy) Observe(now shard.Instant, worker domain.WorkerID, usage []platform.Usage) {
	for _, u := range usage {
		p.noise.Observe(now, worker, u)
		// A throttled task uses less than it needs.
		if p.noise.Share(worker, u.ID) == 1 {
			p.uses.Observe(u.Class, u.Used)
		}
	}
	p.markNoisy(now, worker)
	p.reported.add(worker)
}

// Reactions implements shard.Policy. It looks at the workers with new usage
// reports only, so its cost follows the reports.
func (p *Policy) Reactions(now shard.Instant) []shard.Reaction {
	limits := interference.Limits{Throttle: p.preset.ThrottleSlowdown, Evict: p.preset.EvictSlowdown}
	var result []shard.Reaction
	for _, worker := range p.reported.take() {
		r := p.noise.React(now, worker, limits)
		if r.Action != interference.None {
			result = append(result, reactionOf(worker, r))
		}
	}
	return result
}

func reactionOf(worker domain.WorkerID, r interference.Reaction) shard.Reaction {
	kind := shard.ReactThrottle
	switch r.Action {
	case interference.Release:
		kind = shard.ReactRelease
	case interference.Evict:
		kind = shard.ReactEvict
	}
	return shard.Reaction{Kind: kind, Worker: worker, ID: r.ID, Share: r.Share, Reason: r.Reason}
}

// urgentCost is the expected logarithm of the slowdown of an urgent class by
// the tasks on a worker.
func (p *Policy) urgentCost(class domain.Class, occupants []placement.Occupant) float64 {
	sum := 0.0
	for _, o := range occupants {
		sum += float64(o.Count) * p.noise.Effect(class, o.Class)
	}
	return sum
}

// batchCost adds to the slowdown of the task itself what it does to the urgent
// requests on a worker.
func (p *Policy) batchCost(class domain.Class, occupants []placement.Occupant) float64 {
	sum := 0.0
	for _, o := range occupants {
		sum += float64(o.Count) * p.noise.Effect(class, o.Class)
		if o.Kind == domain.KindUrgent {
			sum += float64(o.Count) * p.noise.Effect(o.Class, class)
		}
	}
	return sum
}

// workerList is a set of workers in the order in which they were added.
type workerList struct {
	order   []domain.WorkerID
	present map[domain.WorkerID]bool
}

func newWorkerList() workerList {
	return workerList{present: map[domain.WorkerID]bool{}}
}

func (l *workerList) add(id domain.WorkerID) {
	if !l.present[id] {
		l.present[id] = true
		l.order = append(l.order, id)
	}
}

func (l *workerList) take() []domain.WorkerID {
	order := l.order
	l.order = nil
	clear(l.present)
	return order
}
