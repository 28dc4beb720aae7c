package capacity

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/policy"
	"github.com/basilferry/basilferry/core/shard"
)

// defaultWorkers is the number of workers in measurements whose size is another
// quantity.
const defaultWorkers = 250

// measuredSeconds is the virtual time over which the processor time of ticks and
// renewals is measured.
const measuredSeconds = 10

var (
	workerSizes = []float64{50, 250, 1000}
	taskSizes   = []float64{500, 5000, 50_000}
	// cpuSizes are close to the sizes at the expected load in two years. Beyond
	// them the state no longer fits into the processor caches, so that the cost
	// grows faster than linearly.
	cpuSizes = []float64{500, 2000, 8000}
	// recoverySizes are smaller than taskSizes, which keeps each run short.
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
func (h *shardHarness) cpuPerSecond() float64 {
	h.advance(time.Second)
	return cpuMicros(func() { h.advance(measuredSeconds * time.Second) }) / measuredSeconds
}

// taskCPUPerSecond returns a function that measures the processor time of one
// second of ticks and renewals with size tasks on a fixed number of workers. keep
// makes the workers never complete urgent requests.
func taskCPUPerSecond(capacity domain.Resources, kind domain.Kind, keep bool) func(float64, Options) (float64, error) {
	return func(size float64, _ Options) (float64, error) {
		h := newShardHarness(defaultWorkers, capacity)
		h.keepUrgentRunning = keep
		h.submit(kind, int(size))
		return h.cpuPerSecond(), nil
	}
}

// taskHeap returns a function that measures the heap that size tasks take,
// without that of the workers.
func taskHeap(capacity domain.Resources, kind domain.Kind, keep bool) func(float64, Options) (float64, error) {
	return func(size float64, _ Options) (float64, error) {
		h := newShardHarness(defaultWorkers, capacity)
		h.keepUrgentRunning = keep
		return heapGrowth(func() any { h.submit(kind, int(size)); return h }), nil
	}
}

// shardQuantities returns the costs of owning a shard: the part of the workers
// and requests of a failure domain that one entry node schedules.
func shardQuantities() []Quantity {
	return append(append(workerQuantities(), taskQuantities()...), requestQuantities()...)
}

func workerQuantities() []Quantity {
	workers := func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.Workers) }
	cpu := shardQuantity("worker-cpu", "core/shard callWorkers, onRenewDone", "workers", "us/s", CPU, workerSizes)
	cpu.Measure = func(size float64, _ Options) (float64, error) {
		return newShardHarness(int(size), unlimitedCapacity).cpuPerSecond(), nil
	}
	outage := shardQuantity("worker-cpu-outage", "core/shard isConfirmed, by worker answers", "workers", "us/s", CPU, workerSizes)
	outage.OutageOnly = true
	outage.Measure = func(size float64, _ Options) (float64, error) {
		h := newShardHarness(int(size), unlimitedCapacity)
		h.logUp = false
		h.handleEvent(shard.LogState{Up: false})
		h.advance(shard.ConfirmWindow + time.Second)
		return h.cpuPerSecond(), nil
	}
	status := shardQuantity("status-cpu", "core/shard Status, called on each tick", "workers", "us/s", CPU, workerSizes)
	status.Measure = func(size float64, _ Options) (float64, error) {
		h := newShardHarness(int(size), unlimitedCapacity)
		return statusCPUPerSecond(h), nil
	}
	memory := shardQuantity("worker-memory", "core/shard worker, core/placement index", "workers", "B", Memory, workerSizes)
	memory.Measure = func(size float64, _ Options) (float64, error) {
		return heapGrowth(func() any { return newShardHarness(int(size), unlimitedCapacity) }), nil
	}
	quantities := []Quantity{cpu, outage, status, memory}
	for i := range quantities {
		quantities[i].At = workers
	}
	return quantities
}

// statusCPUPerSecond returns the processor time that computing the status takes
// per second.
func statusCPUPerSecond(h *shardHarness) float64 {
	const calls = 100
	perCall := cpuMicros(func() {
		for range calls {
			h.stateMachine.Status()
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
		h := newShardHarness(defaultWorkers, unlimitedCapacity)
		h.submit(domain.KindBatch, int(size))
		return statusCPUPerSecond(h), nil
	}
	memory := shardQuantity("running-memory", "core/shard request, core/placement Task", "running tasks", "B", Memory, taskSizes)
	memory.Measure, memory.At = taskHeap(unlimitedCapacity, domain.KindBatch, false), running
	quantities := []Quantity{cpu, timed, status, memory}
	for i := range quantities {
		quantities[i].SlopeOnly = true
	}
	return quantities
}

// pendingTasks returns the assumed number of waiting batch tasks: one for each
// running one.
func pendingTasks(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.RunningBatch) }

// retainedRequests returns the number of requests that an owner retains at the
// peak rate: those of journal.KeyRetention (one hour).
func retainedRequests(t Topology) float64 {
	return t.busiestNodeShare(TwoYearTarget.StartsPerSecond) * journal.KeyRetention.Seconds()
}

// requestsWithAnswers returns the number of requests whose answers an owner
// retains at the peak rate: those of 10 min (platform.ResultRetention).
func requestsWithAnswers(t Topology) float64 {
	return t.busiestNodeShare(TwoYearTarget.StartsPerSecond) * (10 * time.Minute).Seconds()
}

func requestQuantities() []Quantity {
	steps := shardQuantity("pending-step-cpu", "core/policy DequeueNext, over all pending tasks", "pending batch tasks", "us/Step", CPU,
		[]float64{50, 500, 2000})
	steps.Measure, steps.At = measurePendingStep, pendingTasks
	// The steps per second are 10 ticks, one renewal for each worker, and four
	// events for each start.
	steps.Multiplier = func(t Topology) float64 {
		return 10 + t.busiestNodeShare(TwoYearTarget.Workers) + 4*t.busiestNodeShare(TwoYearTarget.StartsPerSecond)
	}
	pending := shardQuantity("pending-memory", "core/shard request, core/policy pending", "pending batch tasks", "B", Memory, []float64{50, 500, 1500})
	pending.Measure, pending.At = taskHeap(urgentOnlyCapacity, domain.KindBatch, false), pendingTasks
	cpu := shardQuantity("start-cpu", "core/shard Step: submit, log, start, finish", "urgent starts/s", "us/s", CPU, []float64{1000, 4000, 16_000})
	cpu.Measure = measureStarts
	cpu.At = func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.StartsPerSecond) }
	answers := shardQuantity("answers-memory", "core/shard, payload and answer of 1 KiB each for 10 min", "requests", "B", Memory, taskSizes)
	answers.Measure, answers.At = measureRetained(0), requestsWithAnswers
	old := shardQuantity("remembered-memory", "core/shard, without payload and answer after 10 min", "requests", "B", Memory, taskSizes)
	old.Measure = measureRetained(11 * time.Minute)
	old.At = func(t Topology) float64 { return retainedRequests(t) - requestsWithAnswers(t) }
	tick := shardQuantity("remembered-cpu", "core/shard dropExpired", "requests", "us/s", CPU, taskSizes)
	tick.Measure, tick.At = taskCPUPerSecond(unlimitedCapacity, domain.KindUrgent, false), retainedRequests
	recovery := shardQuantity("recovery", "core/shard recoverJournal, resolveRecovery", "jobs in the journal", "us", Other, recoverySizes)
	recovery.Measure = measureRecovery
	recovery.At = func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.RunningBatch) + pendingTasks(t) }
	quantities := []Quantity{steps, pending, cpu, answers, old, tick, recovery}
	for i := range quantities[:len(quantities)-1] {
		quantities[i].SlopeOnly = true
	}
	return quantities
}

// measurePendingStep returns the processor time of one Step while size batch
// tasks are pending and none of them fits on a worker.
func measurePendingStep(size float64, _ Options) (float64, error) {
	h := newShardHarness(defaultWorkers, urgentOnlyCapacity)
	h.submit(domain.KindBatch, int(size))
	const steps = 20
	return cpuMicros(func() {
		for range steps {
			h.handleEvent(shard.LogState{Up: true})
		}
	}) / steps, nil
}

// measureStarts returns the processor time of size urgent requests, from
// submission to completion.
func measureStarts(size float64, _ Options) (float64, error) {
	h := newShardHarness(defaultWorkers, unlimitedCapacity)
	cpu := cpuMicros(func() { h.submit(domain.KindUrgent, int(size)) })
	if h.replies != int(size) {
		return 0, fmt.Errorf("%d of %g requests were answered", h.replies, size)
	}
	return cpu, nil
}

// measureRetained returns a function that measures the heap of size urgent
// requests that finished the given time ago.
func measureRetained(age time.Duration) func(float64, Options) (float64, error) {
	return func(size float64, _ Options) (float64, error) {
		h := newShardHarness(defaultWorkers, unlimitedCapacity)
		return heapGrowth(func() any {
			h.submit(domain.KindUrgent, int(size))
			if age > 0 {
				h.now += age
				h.handleEvent(shard.Tick{})
			}
			return h
		}), nil
	}
}

// measureRecovery returns the processor time in microseconds that a new owner of
// a released shard takes to recover size jobs from the journal and to start them
// again.
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
	h := &shardHarness{id: id, capacity: unlimitedCapacity, logUp: true}
	return cpuMicros(func() {
		m, effects := shard.New(shard.Config{Shard: id, Node: "d01-n1", Epoch: 1, Journal: kept, Policy: policy.New(policy.Config{Seed: 1})})
		h.stateMachine = m
		h.handleEffects(effects)
		h.configure(defaultWorkers)
	}), nil
}
