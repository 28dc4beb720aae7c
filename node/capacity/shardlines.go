package capacity

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/policy"
	"github.com/basilferry/basilferry/core/shard"
)

// defaultWorkers is the number of workers where the size of a line is another
// quantity.
const defaultWorkers = 250

// measuredSeconds is the virtual time over which the processor time of ticks and
// renewals is measured.
const measuredSeconds = 10

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

func shardQuantity(name, mechanism, size, unit string, r Resource, sizes []float64) Quantity {
	return Quantity{
		Name: "shard/" + name, Role: "shard owner", Mechanism: mechanism, Size: size, Unit: unit,
		Resource: r, Sizes: sizes, QuickSizes: quickSizes,
	}
}

// cpuPerSecond returns the processor time of one second of ticks and renewals.
func (g *shardHarness) cpuPerSecond() float64 {
	g.advance(time.Second)
	return cpuMicros(func() { g.advance(measuredSeconds * time.Second) }) / measuredSeconds
}

// taskCPUPerSecond measures the growth of perSecond over that of the workers
// alone.
func taskCPUPerSecond(capacity domain.Resources, kind domain.Kind, keep bool) func(float64, Options) (float64, error) {
	return func(size float64, _ Options) (float64, error) {
		g := newShardHarness(defaultWorkers, capacity)
		g.keepUrgentRunning = keep
		g.submit(kind, int(size))
		return g.cpuPerSecond(), nil
	}
}

// taskHeap measures the heap that the tasks take beside the workers.
func taskHeap(capacity domain.Resources, kind domain.Kind, keep bool) func(float64, Options) (float64, error) {
	return func(size float64, _ Options) (float64, error) {
		g := newShardHarness(defaultWorkers, capacity)
		g.keepUrgentRunning = keep
		return heapGrowth(func() any { g.submit(kind, int(size)); return g }), nil
	}
}

// shardQuantities are the costs of the owner of a shard.
func shardQuantities() []Quantity {
	return append(append(workerQuantities(), taskQuantities()...), requestQuantities()...)
}

func workerQuantities() []Quantity {
	workers := func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.Workers) }
	cpu := shardQuantity("worker-cpu", "core/shard callWorkers, onRenewDone", "workers", "us/s", CPU, workerSizes)
	cpu.Measure = func(size float64, _ Options) (float64, error) {
		return newShardHarness(int(size), unlimitedCapacity).cpuPerSecond(), nil
	}
	outage := shardQuantity("worker-cpu-outage", "core/shard confirmed, by worker answers", "workers", "us/s", CPU, workerSizes)
	outage.OutageOnly = true
	outage.Measure = func(size float64, _ Options) (float64, error) {
		g := newShardHarness(int(size), unlimitedCapacity)
		g.logUp = false
		g.handleEvent(shard.LogState{Up: false})
		g.advance(shard.ConfirmWindow + time.Second)
		return g.cpuPerSecond(), nil
	}
	status := shardQuantity("status-cpu", "core/shard Status, called on each tick", "workers", "us/s", CPU, workerSizes)
	status.Measure = func(size float64, _ Options) (float64, error) {
		g := newShardHarness(int(size), unlimitedCapacity)
		return statusCPUPerSecond(g), nil
	}
	memory := shardQuantity("worker-memory", "core/shard worker, core/placement index", "workers", "B", Memory, workerSizes)
	memory.Measure = func(size float64, _ Options) (float64, error) {
		return heapGrowth(func() any { return newShardHarness(int(size), unlimitedCapacity) }), nil
	}
	lines := []Quantity{cpu, outage, status, memory}
	for i := range lines {
		lines[i].At = workers
	}
	return lines
}

// statusCPUPerSecond returns the processor time of the status of one second.
func statusCPUPerSecond(g *shardHarness) float64 {
	const calls = 100
	perCall := cpuMicros(func() {
		for range calls {
			g.stateMachine.Status()
		}
	}) / calls
	return perCall * float64(time.Second/shard.TickInterval)
}

func taskQuantities() []Quantity {
	batch := func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.RunningBatch) }
	urgent := func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.RunningUrgent) }
	running := func(t Topology) float64 { return batch(t) + urgent(t) }
	cpu := shardQuantity("running-cpu", "core/shard onTick", "running batch tasks", "us/s", CPU, cpuSizes)
	cpu.Measure, cpu.At = taskCPUPerSecond(unlimitedCapacity, domain.KindBatch, false), batch
	timed := shardQuantity("urgent-cpu", "core/shard expireWaits, over all timed requests", "running urgent requests", "us/s", CPU, cpuSizes)
	timed.Measure, timed.At = taskCPUPerSecond(unlimitedCapacity, domain.KindUrgent, true), urgent
	status := shardQuantity("status-running-cpu", "core/shard Status, over all running tasks", "running tasks", "us/s", CPU, cpuSizes)
	status.At = running
	status.Measure = func(size float64, _ Options) (float64, error) {
		g := newShardHarness(defaultWorkers, unlimitedCapacity)
		g.submit(domain.KindBatch, int(size))
		return statusCPUPerSecond(g), nil
	}
	memory := shardQuantity("running-memory", "core/shard request, core/placement task", "running tasks", "B", Memory, taskSizes)
	memory.Measure, memory.At = taskHeap(unlimitedCapacity, domain.KindBatch, false), running
	lines := []Quantity{cpu, timed, status, memory}
	for i := range lines {
		lines[i].SlopeOnly = true
	}
	return lines
}

// pendingTasks is the assumed number of batch tasks that wait: one for each
// that runs.
func pendingTasks(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.RunningBatch) }

// retainedRequests is the number of requests of one hour at the peak rate.
func retainedRequests(t Topology) float64 {
	return t.busiestNodeShare(TwoYearTarget.StartsPerSecond) * journal.KeyRetention.Seconds()
}

// requestsWithAnswers is the number of requests whose answers are still kept.
func requestsWithAnswers(t Topology) float64 {
	return t.busiestNodeShare(TwoYearTarget.StartsPerSecond) * (10 * time.Minute).Seconds()
}

func requestQuantities() []Quantity {
	steps := shardQuantity("pending-step-cpu", "core/policy Next, over all pending tasks", "pending batch tasks", "us/Step", CPU,
		[]float64{50, 500, 2000})
	steps.Measure, steps.At = measurePendingStep, pendingTasks
	// Ticks, renewals and four events of each start.
	steps.Multiplier = func(t Topology) float64 {
		return 10 + t.busiestNodeShare(TwoYearTarget.Workers) + 4*t.busiestNodeShare(TwoYearTarget.StartsPerSecond)
	}
	pending := shardQuantity("pending-memory", "core/shard request, core/policy pending", "pending batch tasks", "B", Memory, []float64{50, 500, 1500})
	pending.Measure, pending.At = taskHeap(urgentOnlyCapacity, domain.KindBatch, false), pendingTasks
	cpu := shardQuantity("start-cpu", "core/shard Step: submit, log, start, end", "urgent starts/s", "us/s", CPU, []float64{1000, 4000, 16_000})
	cpu.Measure = measureStarts
	cpu.At = func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.StartsPerSecond) }
	answers := shardQuantity("answers-memory", "core/shard, payload and answer of 1 KiB each for 10 min", "requests", "B", Memory, taskSizes)
	answers.Measure, answers.At = measureRetained(0), requestsWithAnswers
	old := shardQuantity("remembered-memory", "core/shard, without payload and answer after 10 min", "requests", "B", Memory, taskSizes)
	old.Measure = measureRetained(11 * time.Minute)
	old.At = func(t Topology) float64 { return retainedRequests(t) - requestsWithAnswers(t) }
	tick := shardQuantity("remembered-cpu", "core/shard forget", "requests", "us/s", CPU, taskSizes)
	tick.Measure, tick.At = taskCPUPerSecond(unlimitedCapacity, domain.KindUrgent, false), retainedRequests
	recovery := shardQuantity("recovery", "core/shard recoverJournal, settleRecovery", "jobs in the journal", "us", Other, recoverySizes)
	recovery.Measure = measureRecovery
	recovery.At = func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.RunningBatch) + pendingTasks(t) }
	lines := []Quantity{steps, pending, cpu, answers, old, tick, recovery}
	for i := range lines[:len(lines)-1] {
		lines[i].SlopeOnly = true
	}
	return lines
}

// measurePendingStep measures one Step while no pending task fits.
func measurePendingStep(size float64, _ Options) (float64, error) {
	g := newShardHarness(defaultWorkers, urgentOnlyCapacity)
	g.submit(domain.KindBatch, int(size))
	const steps = 20
	return cpuMicros(func() {
		for range steps {
			g.handleEvent(shard.LogState{Up: true})
		}
	}) / steps, nil
}

func measureStarts(size float64, _ Options) (float64, error) {
	g := newShardHarness(defaultWorkers, unlimitedCapacity)
	cpu := cpuMicros(func() { g.submit(domain.KindUrgent, int(size)) })
	if g.replies != int(size) {
		return 0, fmt.Errorf("%d of %g requests were answered", g.replies, size)
	}
	return cpu, nil
}

// measureRetained measures the heap of ended urgent requests of an age.
func measureRetained(age time.Duration) func(float64, Options) (float64, error) {
	return func(size float64, _ Options) (float64, error) {
		g := newShardHarness(defaultWorkers, unlimitedCapacity)
		return heapGrowth(func() any {
			g.submit(domain.KindUrgent, int(size))
			if age > 0 {
				g.now += age
				g.handleEvent(shard.Tick{})
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
		task := sampleTask(domain.RequestID{Shard: id, Epoch: 1, Seq: uint64(i)}, domain.KindBatch)
		d.Apply(2, time.Unix(0, 0), []journal.Entry{{Shard: id, Epoch: 1, Job: &journal.Job{Task: task}}})
	}
	kept := d.Shard(id).Clone()
	kept.Handover = true
	g := &shardHarness{id: id, capacity: unlimitedCapacity, logUp: true}
	return cpuMicros(func() {
		m, effects := shard.New(shard.Config{Shard: id, Node: "d01-n1", Epoch: 1, Journal: kept, Policy: policy.New(policy.Config{Seed: 1})})
		g.stateMachine = m
		g.handleEffects(effects)
		g.configure(defaultWorkers)
	}), nil
}
