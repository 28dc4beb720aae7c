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
	// noisySlowdownThreshold is the slowdown of an urgent class by one task
	// above which the class of the task is noisy. It is well below the throttle
	// limits of the presets, because several such tasks can run on a worker.
	noisySlowdownThreshold = 1.05
	// minNoiseSamples is the number of usage reports of urgent requests
	// alongside a class after which its noise is known. Until then the class
	// counts as noisy: the first burst of an unknown class would otherwise reach
	// every worker before the first report arrives.
	minNoiseSamples = 10
	// maxUnknownDuration is how long a class in use counts as noisy without
	// enough reports. Without this limit, a class on workers that do not measure
	// the slowdown would be confined to noisy workers forever.
	maxUnknownDuration = 30 * time.Second
	// startsPerExploration is the number of urgent starts of which one is placed
	// alongside tasks of an unknown class while such tasks run. Without such
	// starts the class would stay unknown. With 16, about 200 requests are
	// needed to learn the noise of a class, because one in ten of them appears
	// in a usage report.
	startsPerExploration = 16
	// explorationBudgetShare is the part of its budget that the service time of a
	// request may take if the request is placed alongside an unknown class.
	explorationBudgetShare = 0.25
	// quietSlotsPerUrgent is the number of free slots per running urgent request
	// that must remain on quiet workers when a batch task starts on a quiet
	// worker while others are noisy. They absorb load variation: requests that
	// find no quiet slot run alongside noisy tasks, which are then throttled.
	// With 0.5, at 50 running requests on 50 workers, the p99 latency is 13 ms
	// higher and 11% less batch work gets done.
	quietSlotsPerUrgent = 1.0
	// noUnknownClassCost is the cost of a worker without tasks of an unknown
	// class when a request is placed to measure one. It outweighs the cost of a
	// full worker, which is 1.
	noUnknownClassCost = 2.0
	// noiseEstimateTTL is how long a noise estimate is used before it is
	// computed again.
	noiseEstimateTTL = time.Second
)

// noiseEstimate is an estimate of whether a class is noisy.
type noiseEstimate struct {
	at      shard.Instant // when it was computed
	since   shard.Instant // start of the period in which the class is used without a pause over maxUnknownDuration
	noisy   bool
	unknown bool // too few samples; counts as noisy
}

// estimateNoise returns the estimate of whether the class slows down an urgent
// class. It computes a new one if the last one is older than noiseEstimateTTL.
func (p *Policy) estimateNoise(now shard.Instant, class domain.Class) noiseEstimate {
	s, ok := p.noiseEstimates.Get(class)
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
	withinMaxDuration := now-s.since < maxUnknownDuration
	if p.urgentClasses.Len() > 0 && samples < minNoiseSamples && withinMaxDuration {
		s.noisy = true
		s.unknown = true
	}
	p.noiseEstimates.Put(class, s)
	return s
}

func (p *Policy) noisy(now shard.Instant, class domain.Class) bool {
	return p.estimateNoise(now, class).noisy
}

// mayStartNoisyOnQuiet reports whether a noisy task may start on a quiet worker.
// One worker may always become noisy. Further ones may if the share of noisy
// workers is below the batch share and enough free slots remain on quiet workers
// for urgent requests.
func (p *Policy) mayStartNoisyOnQuiet() bool {
	share := p.index.NoisyShare()
	if share == 0 {
		return true
	}
	capacities := p.index.Capacities()
	if share >= p.preset.BatchShare || len(capacities) == 0 {
		return false
	}
	return p.keepsQuietSlots(capacities[0].Slots)
}

// keepsQuietSlots reports whether enough free slots remain on quiet workers for
// urgent requests if the given number of them is used.
func (p *Policy) keepsQuietSlots(used int64) bool {
	left := p.index.QuietSlots() - used
	return float64(left) >= quietSlotsPerUrgent*float64(p.urgentRunning)
}

// isExplorationDue reports whether the next urgent request should be placed
// alongside an unknown class, to measure its noise.
func (p *Policy) isExplorationDue(now shard.Instant) bool {
	return p.urgentStarts%startsPerExploration == 0 && p.sawUnknown && now-p.unknownAt < 2*noiseEstimateTTL
}

// mayExplore reports whether the request should be placed alongside an unknown
// class, and has enough time left to be slowed down there.
func (p *Policy) mayExplore(now shard.Instant, d shard.Demand) bool {
	allowed := time.Duration(explorationBudgetShare * float64(d.Budget))
	return p.isExplorationDue(now) && !d.Retry && p.admissionController.ServiceTime(d.Class) < allowed
}

// explorationCost returns a cost that prefers workers with tasks of an unknown
// class.
func (p *Policy) explorationCost(now shard.Instant, occupants []placement.Occupant) float64 {
	for _, o := range occupants {
		if o.Kind != domain.KindUrgent && p.estimateNoise(now, o.Class).unknown {
			return 0
		}
	}
	return noUnknownClassCost
}

// markNoisy updates in the index whether noisy tasks run on a worker, and records
// whether a task of an unknown class runs there.
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
		// The use of a throttled task is not learned: it is less than the task
		// needs.
		if p.interferenceModel.ThrottleShare(worker, u.ID) == 1 {
			p.usageLearner.Observe(u.Class, u.Used)
		}
	}
	p.markNoisy(now, worker)
	p.reported.add(worker)
}

// Reactions implements shard.Policy. It considers only workers with new usage
// reports, so its cost is proportional to the number of reports.
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

// urgentCost returns the expected logarithm of the slowdown of an urgent class by
// the tasks on a worker.
func (p *Policy) urgentCost(class domain.Class, occupants []placement.Occupant) float64 {
	sum := 0.0
	for _, o := range occupants {
		sum += float64(o.Count) * p.interferenceModel.Effect(class, o.Class)
	}
	return sum
}

// batchCost returns the expected logarithm of the slowdown of a task by the tasks
// on a worker, plus that of the urgent requests there by the task.
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

// workerSet is a set of workers that keeps the order in which they were added.
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

// drain returns the workers and empties the set.
func (l *workerSet) drain() []domain.WorkerID {
	order := l.order
	l.order = nil
	clear(l.present)
	return order
}
