package policy

import (
	"time"

	"github.com/basilferry/basilferry/core/admission"
	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fairshare"
	"github.com/basilferry/basilferry/core/interference"
	"github.com/basilferry/basilferry/core/placement"
	"github.com/basilferry/basilferry/core/policy/bounded"
	"github.com/basilferry/basilferry/core/quarantine"
	"github.com/basilferry/basilferry/core/reservation"
	"github.com/basilferry/basilferry/core/shard"
)

// maxClasses is the maximum number of urgent classes, and of classes with a noise
// estimate, that are kept.
const maxClasses = 1024

// Config configures a Policy. The zero value is valid.
type Config struct {
	// Seed initializes the random generator that samples candidate workers.
	Seed uint64
	// QuotaShare is the part of a team's quota that this shard may use, in
	// (0, 1]; zero means 1. A quota applies to a failure domain, of which a
	// shard schedules only a part.
	QuotaShare float64
}

// Policy implements shard.Policy.
type Policy struct {
	cfg                 Config
	preset              domain.Preset
	loosest             placement.Limits // loosest batch limits of the known presets
	index               *placement.Index
	usageLearner        *reservation.Learner
	interferenceModel   *interference.Model
	admissionController *admission.Controller
	quarantineTracker   *quarantine.Tracker
	watches             *fairshare.Queue
	batch               *fairshare.Queue
	demands             map[domain.RequestID]shard.Demand // of pending tasks

	urgentClasses  *bounded.Map[domain.Class, struct{}]
	noiseEstimates *bounded.Map[domain.Class, noiseEstimate]
	urgentStarts   uint64
	urgentRunning  int           // urgent requests on workers
	sawUnknown     bool          // a task of an unknown class has run; see noiseEstimate
	unknownAt      shard.Instant // when one was last seen running
	reported       workerSet     // workers with usage reports since the last call of Reactions
	lastRetryAllAt shard.Instant // see retryAllInterval
}

var _ shard.Policy = (*Policy)(nil)

// New returns a policy without workers that applies the preset ordinary.
func New(cfg Config) *Policy {
	if cfg.QuotaShare <= 0 {
		cfg.QuotaShare = 1
	}
	p := &Policy{
		cfg:                 cfg,
		index:               placement.New(cfg.Seed),
		usageLearner:        reservation.New(),
		interferenceModel:   interference.New(),
		admissionController: admission.New(),
		quarantineTracker:   quarantine.New(),
		watches:             fairshare.New(),
		batch:               fairshare.New(),
		demands:             map[domain.RequestID]shard.Demand{},
		urgentClasses:       bounded.New[domain.Class, struct{}](maxClasses),
		noiseEstimates:      bounded.New[domain.Class, noiseEstimate](maxClasses),
		reported:            newWorkerSet(),
	}
	p.Configure(0, configlog.Initial().Preset, nil)
	return p
}

// Configure implements shard.Policy.
func (p *Policy) Configure(_ shard.Instant, preset domain.Preset, quotas []domain.Quota) {
	p.preset = preset
	p.loosest = loosestLimits(preset)
	p.index.SetLimits(limitsOf(preset))
	p.admissionController.SetRetryShare(preset.RetryBudget)
	p.batch.SetQuotas(p.scaleQuotas(quotas))
	p.retryAllPending()
}

// limitsOf returns the limits that a preset sets for every worker.
func limitsOf(preset domain.Preset) placement.Limits {
	return placement.Limits{
		BatchShare:      preset.BatchShare,
		UrgentSlots:     preset.UrgentSlots,
		UrgentPerWorker: preset.UrgentPerWorker,
	}
}

// loosestLimits returns the loosest batch limits of the preset and the default
// presets. A batch task that fits only under another preset stays pending and is
// not refused permanently.
func loosestLimits(preset domain.Preset) placement.Limits {
	loosest := limitsOf(preset)
	for _, other := range DefaultPresets() {
		loosest.BatchShare = max(loosest.BatchShare, other.BatchShare)
		loosest.UrgentSlots = min(loosest.UrgentSlots, other.UrgentSlots)
	}
	return loosest
}

func (p *Policy) scaleQuotas(quotas []domain.Quota) []domain.Quota {
	result := make([]domain.Quota, len(quotas))
	for i, quota := range quotas {
		quota.Limit = scale(quota.Limit, p.cfg.QuotaShare)
		result[i] = quota
	}
	return result
}

func scale(limit domain.Resources, share float64) domain.Resources {
	return domain.Resources{
		CPUMilli:     scaleBound(limit.CPUMilli, share),
		MemoryMiB:    scaleBound(limit.MemoryMiB, share),
		Accelerators: scaleBound(limit.Accelerators, share),
		Slots:        scaleBound(limit.Slots, share),
		Connections:  scaleBound(limit.Connections, share),
	}
}

// scaleBound returns at least 1 for a positive bound, because 0 means no bound.
// Without a bound it returns 0.
func scaleBound(bound int64, share float64) int64 {
	if bound <= 0 {
		return 0
	}
	return max(1, int64(float64(bound)*share))
}

// WorkerUp implements shard.Policy.
func (p *Policy) WorkerUp(_ shard.Instant, w shard.WorkerInfo) {
	p.index.MarkUp(placement.Worker{ID: w.ID, Rack: w.Rack, Capacity: w.Capacity})
	p.quarantineTracker.AddWorker(w.ID)
	p.index.SetBlocked(w.ID, p.quarantineTracker.IsQuarantined(w.ID))
	p.batch.SetTotalCapacity(p.index.Total())
	p.retryPendingOn(w.ID)
}

// WorkerDown implements shard.Policy.
func (p *Policy) WorkerDown(_ shard.Instant, id domain.WorkerID) {
	p.index.MarkDown(id)
	p.batch.SetTotalCapacity(p.index.Total())
}

// WorkerRemoved implements shard.Policy.
func (p *Policy) WorkerRemoved(_ shard.Instant, id domain.WorkerID) {
	p.index.RemoveWorker(id)
	p.interferenceModel.ForgetWorker(id)
	p.quarantineTracker.RemoveWorker(id)
	p.batch.SetTotalCapacity(p.index.Total())
}

// Reserve implements shard.Policy.
func (p *Policy) Reserve(now shard.Instant, worker domain.WorkerID, d shard.Demand, reserved domain.Resources) {
	if old, ok := p.index.Task(worker, d.ID); ok {
		p.deductTask(old)
	}
	t := placement.Task{ID: d.ID, Kind: d.Kind, Class: d.Class, Team: d.Team, Reserved: reserved}
	p.index.Reserve(worker, t)
	p.batch.AddUsage(t.Team, t.Reserved, t.Kind == domain.KindBatch)
	p.quarantineTracker.RecordStart(worker, d.ID)
	if d.Kind == domain.KindUrgent {
		p.recordUrgentStart(now, worker, d)
		return
	}
	p.interferenceModel.RecordStart(now, worker, interference.Task{ID: d.ID, Class: d.Class, Kind: d.Kind})
	p.markNoisy(now, worker)
}

// recordUrgentStart records the start of an urgent request. A request that
// mayExplore selects, to measure a class with unknown noise, does not count as one
// to protect: batch tasks are not throttled for it.
func (p *Policy) recordUrgentStart(now shard.Instant, worker domain.WorkerID, d shard.Demand) {
	if !p.mayExplore(now, d) {
		p.interferenceModel.RecordStart(now, worker, interference.Task{ID: d.ID, Class: d.Class, Kind: d.Kind})
	}
	p.urgentStarts++
	p.urgentRunning++
	p.admissionController.RecordStart(now, d.Class, d.Retry)
	p.urgentClasses.Put(d.Class, struct{}{})
}

// Release implements shard.Policy.
func (p *Policy) Release(now shard.Instant, worker domain.WorkerID, id domain.RequestID, r shard.Result, took time.Duration) {
	t, ok := p.index.Release(worker, id)
	if !ok {
		return
	}
	p.deductTask(t)
	p.interferenceModel.RecordFinish(now, worker, id)
	p.recordResult(now, worker, t, r)
	switch {
	case t.Kind != domain.KindUrgent:
		p.markNoisy(now, worker)
	case r == shard.ResultSucceeded:
		p.admissionController.RecordServiceTime(now, t.Class, took)
	}
	p.retryPendingOn(worker)
}

// deductTask removes a task from the usage of its team and, for an urgent request,
// from the number of running ones.
func (p *Policy) deductTask(t placement.Task) {
	p.batch.RemoveUsage(t.Team, t.Reserved, t.Kind == domain.KindBatch)
	if t.Kind == domain.KindUrgent {
		p.urgentRunning--
	}
}

// recordResult passes the result of a task to the quarantine tracker and blocks
// or unblocks the worker accordingly.
func (p *Policy) recordResult(now shard.Instant, worker domain.WorkerID, t placement.Task, r shard.Result) {
	changed, _ := p.quarantineTracker.RecordResult(now, quarantine.Result{
		Worker:  worker,
		Task:    t.ID,
		Class:   t.Class,
		Failed:  r == shard.ResultFailed,
		Stopped: r == shard.ResultStopped,
	})
	if changed {
		p.index.SetBlocked(worker, p.quarantineTracker.IsQuarantined(worker))
	}
}

// retryPendingOn makes pending tasks that could fit on the worker eligible for
// placement again.
func (p *Policy) retryPendingOn(worker domain.WorkerID) {
	p.watches.Room(p.index.Room(worker, domain.KindWatch))
	p.batch.Room(p.index.Room(worker, domain.KindBatch))
}
