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
	// noisySlowdownThreshold is the slowdown of an urgent class by one task above which
	// a class is noisy. Several such tasks run on a worker, so it is well
	// below the throttle limits of the presets.
	noisySlowdownThreshold = 1.05
	// minNoiseSamples is the number of reports of urgent requests beside a class
	// after which its noise is known. Until then the class counts as noisy:
	// the first burst of an unknown class would otherwise reach every worker
	// before the first report arrives.
	minNoiseSamples = 10
	// maxUnknownDuration is how long a class that runs counts as noisy without
	// evidence. Workers that measure no slowdown would confine it for ever.
	maxUnknownDuration = 30 * time.Second
	// startsPerExploration is the number of urgent starts of which one goes beside
	// tasks of an unknown class while there is one. Without them the class
	// would stay unknown. One in 16 needs some 200 requests to learn a class,
	// as a report catches one in ten of them.
	startsPerExploration = 16
	// explorationBudgetShare is the part of the budget that the service time may take
	// for a request that is sent beside an unknown class.
	explorationBudgetShare = 0.25
	// quietSlotsPerUrgent is the number of free slots on quiet workers that must be
	// left per running urgent request when a batch task starts on a quiet
	// worker while others are noisy. It covers the variation of the load;
	// requests that find no quiet slot run beside noisy tasks, which are then
	// throttled. At 50 running requests on 50 workers, 0.5 gave 13 ms more p99
	// and 11% less batch work.
	quietSlotsPerUrgent = 1.0
	// noUnknownClassCost outweighs the load of a worker.
	noUnknownClassCost = 2.0
	// noiseEstimateTTL is how long a judgement of a class is used.
	noiseEstimateTTL = time.Second
)

// noiseEstimate is the judgement of a class at a time.
type noiseEstimate struct {
	at      shard.Instant
	since   shard.Instant // when the class began to run without a long pause
	noisy   bool
	unknown bool
}

// estimateNoise returns whether the class slows down an urgent class.
func (p *Policy) estimateNoise(now shard.Instant, class domain.Class) noiseEstimate {
	s, ok := p.noisyClasses.Get(class)
	if ok && now-s.at < noiseEstimateTTL {
		return s
	}
	if !ok || now-s.at > maxUnknownDuration {
		s.since = now
	}
	s = noiseEstimate{at: now, since: s.since}
	samples := 0.0
	p.urgentClasses.Each(func(victim domain.Class, _ struct{}) {
		s.noisy = s.noisy || p.interferenceModel.Slowdown(victim, class) > noisySlowdownThreshold
		samples += p.interferenceModel.Samples(victim, class)
	})
	patient := now-s.since < maxUnknownDuration
	if p.urgentClasses.Len() > 0 && samples < minNoiseSamples && patient {
		s.noisy = true
		s.unknown = true
	}
	p.noisyClasses.Put(class, s)
	return s
}

func (p *Policy) noisy(now shard.Instant, class domain.Class) bool {
	return p.estimateNoise(now, class).noisy
}

// mayStartNoisyOnQuiet reports whether a noisy task may start on a quiet worker: at
// most the batch share of the workers becomes noisy, and the others keep free
// slots for urgent requests. One worker may always become noisy.
func (p *Policy) mayStartNoisyOnQuiet() bool {
	share := p.index.NoisyShare()
	if share == 0 {
		return true
	}
	shapes := p.index.Capacities()
	if share >= p.preset.BatchShare || len(shapes) == 0 {
		return false
	}
	return p.keepsQuietSlots(shapes[0].Slots)
}

// keepsQuietSlots reports whether quiet workers keep enough free slots for
// urgent requests when they lose some.
func (p *Policy) keepsQuietSlots(lost int64) bool {
	left := p.index.QuietSlots() - lost
	return float64(left) >= quietSlotsPerUrgent*float64(p.urgentRunning)
}

// isExplorationDue reports whether the next urgent start goes beside an unknown
// class.
func (p *Policy) isExplorationDue(now shard.Instant) bool {
	return p.urgentStarts%startsPerExploration == 0 && p.sawUnknown && now-p.unknownAt < 2*noiseEstimateTTL
}

// mayExplore reports whether a request has the time to be slowed down.
func (p *Policy) mayExplore(now shard.Instant, d shard.Demand) bool {
	allowed := time.Duration(explorationBudgetShare * float64(d.Budget))
	return p.isExplorationDue(now) && !d.Retry && p.admissionController.ServiceTime(d.Class) < allowed
}

// explorationCost prefers workers with tasks of an unknown class.
func (p *Policy) explorationCost(now shard.Instant, occupants []placement.Occupant) float64 {
	for _, o := range occupants {
		if o.Kind != domain.KindUrgent && p.estimateNoise(now, o.Class).unknown {
			return 0
		}
	}
	return noUnknownClassCost
}

// markNoisy tells the index whether noisy tasks run on a worker.
func (p *Policy) markNoisy(now shard.Instant, worker domain.WorkerID) {
	noisy := false
	for _, o := range p.index.Occupants(worker) {
		if o.Kind == domain.KindUrgent {
			continue
		}
		s := p.estimateNoise(now, o.Class)
		noisy = noisy || s.noisy
		if s.unknown {
			p.sawUnknown = true
			p.unknownAt = now
		}
	}
	p.index.SetNoisy(worker, noisy)
}

// Observe implements shard.Policy.
func (p *Policy) Observe(now shard.Instant, worker domain.WorkerID, usage []platform.Usage) {
	for _, u := range usage {
		p.interferenceModel.Observe(now, worker, u)
		// A throttled task uses less than it needs.
		if p.interferenceModel.ThrottleShare(worker, u.ID) == 1 {
			p.usageLearner.Observe(u.Class, u.Used)
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
	for _, worker := range p.reported.drain() {
		r := p.interferenceModel.React(now, worker, limits)
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
		kind = shard.ReactLiftThrottle
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
		sum += float64(o.Count) * p.interferenceModel.Effect(class, o.Class)
	}
	return sum
}

// batchCost adds to the slowdown of the task itself what it does to the urgent
// requests on a worker.
func (p *Policy) batchCost(class domain.Class, occupants []placement.Occupant) float64 {
	sum := 0.0
	for _, o := range occupants {
		sum += float64(o.Count) * p.interferenceModel.Effect(class, o.Class)
		if o.Kind == domain.KindUrgent {
			sum += float64(o.Count) * p.interferenceModel.Effect(o.Class, class)
		}
	}
	return sum
}

// workerSet is a set of workers in the order in which they were added.
type workerSet struct {
	order   []domain.WorkerID
	present map[domain.WorkerID]bool
}

func newWorkerSet() workerSet {
	return workerSet{present: map[domain.WorkerID]bool{}}
}

func (l *workerSet) add(id domain.WorkerID) {
	if !l.present[id] {
		l.present[id] = true
		l.order = append(l.order, id)
	}
}

func (l *workerSet) drain() []domain.WorkerID {
	order := l.order
	l.order = nil
	clear(l.present)
	return order
}
