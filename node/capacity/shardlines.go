package capacity

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/policy"
	"github.com/basilferry/basilferry/core/shard"
)

// rigWorkers is the number of workers where the size of a line is another
// quantity.
const rigWorkers = 250

// stepSeconds is the virtual time over which the processor time of ticks and
// renewals is measured.
const stepSeconds = 10

var (
	workerSizes = []float64{50, 250, 1000}
	taskSizes   = []float64{500, 5000, 50_000}
	// cpuSizes are near the sizes at the target; beyond them the processor's
	// caches no longer hold the state and the cost bends upwards.
	cpuSizes = []float64{500, 2000, 8000}
	// recoverySizes stay below what the quadratic cost of a queue allows.
	recoverySizes = []float64{500, 1500, 3000}
	quickSizes    = []float64{20, 60, 200}
)

func shardLine(name, mechanism, size, unit string, r Resource, sizes []float64) Line {
	return Line{
		Name: "shard/" + name, Role: "shard owner", Mechanism: mechanism, Size: size, Unit: unit,
		Resource: r, Sizes: sizes, QuickSizes: quickSizes,
	}
}

// perSecond returns the processor time of one second of ticks and renewals.
func (g *shardRig) perSecond() float64 {
	g.run(time.Second)
	return cpuMicros(func() { g.run(stepSeconds * time.Second) }) / stepSeconds
}

// perSecondBeside measures the growth of perSecond over that of the workers
// alone.
func perSecondBeside(capacity domain.Resources, kind domain.Kind, keep bool) func(float64, Options) (float64, error) {
	return func(size float64, _ Options) (float64, error) {
		g := newShardRig(rigWorkers, capacity)
		g.keepUrgent = keep
		g.submit(kind, int(size))
		return g.perSecond(), nil
	}
}

// heapBeside measures the heap that the tasks take beside the workers.
func heapBeside(capacity domain.Resources, kind domain.Kind, keep bool) func(float64, Options) (float64, error) {
	return func(size float64, _ Options) (float64, error) {
		g := newShardRig(rigWorkers, capacity)
		g.keepUrgent = keep
		return heapBytes(func() any { g.submit(kind, int(size)); return g }), nil
	}
}

// shardLines are the costs of the owner of a shard.
func shardLines() []Line {
	return append(append(workerLines(), taskLines()...), requestLines()...)
}

func workerLines() []Line {
	workers := func(t Topology) float64 { return t.owned(TwoYears.Workers) }
	cpu := shardLine("worker-cpu", "core/shard callWorkers, onRenewDone", "workers", "us/s", CPU, workerSizes)
	cpu.Measure = func(size float64, _ Options) (float64, error) {
		return newShardRig(int(size), roomy).perSecond(), nil
	}
	outage := shardLine("worker-cpu-outage", "core/shard confirmed, by worker answers", "workers", "us/s", CPU, workerSizes)
	outage.Outage = true
	outage.Measure = func(size float64, _ Options) (float64, error) {
		g := newShardRig(int(size), roomy)
		g.logUp = false
		g.step(shard.LogState{Up: false})
		g.run(shard.ConfirmWindow + time.Second)
		return g.perSecond(), nil
	}
	status := shardLine("status-cpu", "core/shard Status, called on each tick", "workers", "us/s", CPU, workerSizes)
	status.Measure = func(size float64, _ Options) (float64, error) {
		g := newShardRig(int(size), roomy)
		return ticksOf(g), nil
	}
	memory := shardLine("worker-memory", "core/shard worker, core/placement index", "workers", "B", Memory, workerSizes)
	memory.Measure = func(size float64, _ Options) (float64, error) {
		return heapBytes(func() any { return newShardRig(int(size), roomy) }), nil
	}
	lines := []Line{cpu, outage, status, memory}
	for i := range lines {
		lines[i].At = workers
	}
	return lines
}

// ticksOf returns the processor time of the status of one second.
func ticksOf(g *shardRig) float64 {
	const calls = 100
	perCall := cpuMicros(func() {
		for range calls {
			g.machine.Status()
		}
	}) / calls
	return perCall * float64(time.Second/shard.TickInterval)
}

func taskLines() []Line {
	batch := func(t Topology) float64 { return t.owned(TwoYears.RunningBatch) }
	urgent := func(t Topology) float64 { return t.owned(TwoYears.RunningUrgent) }
	running := func(t Topology) float64 { return batch(t) + urgent(t) }
	cpu := shardLine("running-cpu", "core/shard onTick", "running batch tasks", "us/s", CPU, cpuSizes)
	cpu.Measure, cpu.At = perSecondBeside(roomy, domain.KindBatch, false), batch
	timed := shardLine("urgent-cpu", "core/shard expireWaits, over all timed requests", "running urgent requests", "us/s", CPU, cpuSizes)
	timed.Measure, timed.At = perSecondBeside(roomy, domain.KindUrgent, true), urgent
	status := shardLine("status-running-cpu", "core/shard Status, over all running tasks", "running tasks", "us/s", CPU, cpuSizes)
	status.At = running
	status.Measure = func(size float64, _ Options) (float64, error) {
		g := newShardRig(rigWorkers, roomy)
		g.submit(domain.KindBatch, int(size))
		return ticksOf(g), nil
	}
	memory := shardLine("running-memory", "core/shard request, core/placement task", "running tasks", "B", Memory, taskSizes)
	memory.Measure, memory.At = heapBeside(roomy, domain.KindBatch, false), running
	lines := []Line{cpu, timed, status, memory}
	for i := range lines {
		lines[i].SlopeOnly = true
	}
	return lines
}

// pendingTasks is the assumed number of batch tasks that wait: one for each
// that runs.
func pendingTasks(t Topology) float64 { return t.owned(TwoYears.RunningBatch) }

// rememberedRequests is the number of requests of one hour at the peak rate.
func rememberedRequests(t Topology) float64 {
	return t.owned(TwoYears.StartsPerSecond) * journal.KeyRetention.Seconds()
}

// answeredRequests is the number of requests whose answers are still kept.
func answeredRequests(t Topology) float64 {
	return t.owned(TwoYears.StartsPerSecond) * (10 * time.Minute).Seconds()
}

func requestLines() []Line {
	steps := shardLine("pending-step-cpu", "core/policy Next, over all pending tasks", "pending batch tasks", "us/Step", CPU,
		[]float64{50, 500, 2000})
	steps.Measure, steps.At = measurePendingStep, pendingTasks
	// Ticks, renewals and four events of each start.
	steps.Times = func(t Topology) float64 {
		return 10 + t.owned(TwoYears.Workers) + 4*t.owned(TwoYears.StartsPerSecond)
	}
	pending := shardLine("pending-memory", "core/shard request, core/policy pending", "pending batch tasks", "B", Memory, []float64{50, 500, 1500})
	pending.Measure, pending.At = heapBeside(full, domain.KindBatch, false), pendingTasks
	cpu := shardLine("start-cpu", "core/shard Step: submit, log, start, end", "urgent starts/s", "us/s", CPU, []float64{1000, 4000, 16_000})
	cpu.Measure = measureStarts
	cpu.At = func(t Topology) float64 { return t.owned(TwoYears.StartsPerSecond) }
	answers := shardLine("answers-memory", "core/shard, payload and answer of 1 KiB each for 10 min", "requests", "B", Memory, taskSizes)
	answers.Measure, answers.At = measureRemembered(0), answeredRequests
	old := shardLine("remembered-memory", "core/shard, without payload and answer after 10 min", "requests", "B", Memory, taskSizes)
	old.Measure = measureRemembered(11 * time.Minute)
	old.At = func(t Topology) float64 { return rememberedRequests(t) - answeredRequests(t) }
	tick := shardLine("remembered-cpu", "core/shard forget", "requests", "us/s", CPU, taskSizes)
	tick.Measure, tick.At = perSecondBeside(roomy, domain.KindUrgent, false), rememberedRequests
	recovery := shardLine("recovery", "core/shard recoverJournal, settleRecovery", "jobs in the journal", "us", Other, recoverySizes)
	recovery.Measure = measureRecovery
	recovery.At = func(t Topology) float64 { return t.owned(TwoYears.RunningBatch) + pendingTasks(t) }
	lines := []Line{steps, pending, cpu, answers, old, tick, recovery}
	for i := range lines[:len(lines)-1] {
		lines[i].SlopeOnly = true
	}
	return lines
}

// measurePendingStep measures one Step while no pending task fits.
func measurePendingStep(size float64, _ Options) (float64, error) {
	g := newShardRig(rigWorkers, full)
	g.submit(domain.KindBatch, int(size))
	const steps = 20
	return cpuMicros(func() {
		for range steps {
			g.step(shard.LogState{Up: true})
		}
	}) / steps, nil
}

func measureStarts(size float64, _ Options) (float64, error) {
	g := newShardRig(rigWorkers, roomy)
	cpu := cpuMicros(func() { g.submit(domain.KindUrgent, int(size)) })
	if g.replies != int(size) {
		return 0, fmt.Errorf("%d of %g requests were answered", g.replies, size)
	}
	return cpu, nil
}

// measureRemembered measures the heap of ended urgent requests of an age.
func measureRemembered(age time.Duration) func(float64, Options) (float64, error) {
	return func(size float64, _ Options) (float64, error) {
		g := newShardRig(rigWorkers, roomy)
		return heapBytes(func() any {
			g.submit(domain.KindUrgent, int(size))
			if age > 0 {
				g.now += age
				g.step(shard.Tick{})
			}
			return g
		}), nil
	}
}

// measureRecovery measures a new owner of a released shard from its journal
// until it has decided about all jobs and started them again.
func measureRecovery(size float64, _ Options) (float64, error) {
	id := domain.ShardID{Domain: "d01"}
	d := journal.NewDomain()
	d.Apply(1, time.Unix(0, 0), []journal.Entry{{Shard: id, Claim: &journal.Claim{Shard: id, Node: "d01-n2"}}})
	for i := range int(size) {
		task := rigTask(domain.RequestID{Shard: id, Epoch: 1, Seq: uint64(i)}, domain.KindBatch)
		d.Apply(2, time.Unix(0, 0), []journal.Entry{{Shard: id, Epoch: 1, Job: &journal.Job{Task: task}}})
	}
	kept := d.Shard(id).Clone()
	kept.Handover = true
	g := &shardRig{id: id, capacity: roomy, logUp: true}
	return cpuMicros(func() {
		m, effects := shard.New(shard.Config{Shard: id, Node: "d01-n1", Epoch: 1, Journal: kept, Policy: policy.New(policy.Config{Seed: 1})})
		g.machine = m
		g.take(effects)
		g.connect(rigWorkers)
	}), nil
}
