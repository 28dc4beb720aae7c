package capacity

import (
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/policy"
	"github.com/basilferry/basilferry/core/shard"
)

// payloadBytes is the assumed size of a payload, and of an answer.
const payloadBytes = 1 << 10

// ownershipReadInterval is how often a read of the domain's stream confirms the
// ownership: the engine's reads wait up to 500 ms.
const ownershipReadInterval = 500 * time.Millisecond

// unlimitedCapacity workers hold any number of tasks; full ones keep their only slots for
// urgent requests, so that batch tasks stay pending.
var (
	unlimitedCapacity  = domain.Resources{CPUMilli: 1 << 40, MemoryMiB: 1 << 40, Slots: 1 << 30, Connections: 1 << 30}
	urgentOnlyCapacity = domain.Resources{CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 2, Connections: 64}
)

// shardHarness drives a shard.StateMachine with fabricated answers in virtual time.
type shardHarness struct {
	stateMachine *shard.StateMachine
	id           domain.ShardID
	capacity     domain.Resources
	now          shard.Instant
	events       []shard.Event
	logUp        bool
	// keepUrgentRunning leaves urgent requests running.
	keepUrgentRunning bool
	replies           int
	nextSeq           uint64
	nextCall          shard.CallID
}

func newShardHarness(workers int, capacity domain.Resources) *shardHarness {
	g := &shardHarness{id: domain.ShardID{Domain: "d01"}, capacity: capacity, logUp: true}
	var effects []shard.Effect
	g.stateMachine, effects = shard.New(shard.Config{
		Shard: g.id, Node: "d01-n1", Epoch: 1, Policy: policy.New(policy.Config{Seed: 1}),
	})
	g.handleEffects(effects)
	g.configure(workers)
	return g
}

// configure gives the machine its configuration and workers.
func (g *shardHarness) configure(workers int) {
	preset := policy.DefaultPresets()[0]
	g.handleEvent(shard.Configured{Configuration: domain.Configuration{Version: 1, Preset: preset}})
	g.handleEvent(shard.LogState{Up: true})
	g.handleEvent(shard.OwnershipRead{SentAt: g.now, Epoch: 1})
	g.handleEvent(shard.WorkersListed{VMs: sampleVMs(workers)})
	g.advance(200 * time.Millisecond)
}

func sampleVMs(n int) []platform.VM {
	vms := make([]platform.VM, n)
	for i := range vms {
		name := fmt.Sprintf("d01-w%05d", i)
		rack := fmt.Sprintf("d01-r%03d", i/8)
		vms[i] = platform.VM{ID: domain.WorkerID(name), Domain: "d01", Rack: rack, Address: name, State: platform.VMLive}
	}
	return vms
}

// handleEvent steps one event and all answers that follow from it.
func (g *shardHarness) handleEvent(ev shard.Event) {
	g.handleEffects(g.stateMachine.Step(g.now, ev))
	for len(g.events) > 0 {
		next := g.events[0]
		g.events = g.events[1:]
		g.handleEffects(g.stateMachine.Step(g.now, next))
	}
}

// advance lets time pass in ticks, with the renewals and reads that are due.
func (g *shardHarness) advance(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += shard.TickInterval
		if g.logUp && g.now%ownershipReadInterval == 0 {
			g.handleEvent(shard.OwnershipRead{SentAt: g.now, Epoch: 1})
		}
		g.handleEvent(shard.Tick{})
	}
}

func (g *shardHarness) handleEffects(effects []shard.Effect) {
	for _, effect := range effects {
		g.handleEffect(effect)
	}
}

func (g *shardHarness) handleEffect(effect shard.Effect) {
	at := platform.WorkerTime(g.now)
	switch e := effect.(type) {
	case shard.SendAttach:
		reply := platform.AttachReply{Session: 1, Incarnation: 1, Now: at, Capacity: g.capacity, RecordsComplete: true}
		g.events = append(g.events, shard.AttachDone{Worker: e.Worker, Reply: reply, SentAt: g.now})
	case shard.SendRenew:
		g.events = append(g.events, shard.RenewDone{Worker: e.Worker, Reply: platform.RenewReply{Now: at}, SentAt: g.now})
	case shard.Append:
		g.events = append(g.events, shard.AppendDone{Token: e.Token})
	case shard.SendStart:
		g.reportStarted(e)
	case shard.Reply:
		g.replies++
	}
}

func (g *shardHarness) reportStarted(e shard.SendStart) {
	task := e.Request.Task
	status := platform.TaskStatus{Task: task, Attempt: e.Request.Attempt, State: platform.TaskRunning}
	if task.Kind == domain.KindUrgent && !g.keepUrgentRunning {
		status.State = platform.TaskSucceeded
		status.Answer = make([]byte, payloadBytes)
	}
	done := shard.StartDone{Worker: e.Worker, ID: task.ID, Attempt: e.Request.Attempt, Status: status}
	g.events = append(g.events, done)
}

// submit sends n requests of a kind.
func (g *shardHarness) submit(kind domain.Kind, n int) {
	for range n {
		g.nextSeq++
		g.nextCall++
		g.handleEvent(shard.Submitted{
			Call: g.nextCall, Budget: time.Hour,
			Task: sampleTask(domain.RequestID{Shard: g.id, Epoch: 1, Seq: g.nextSeq}, kind),
		})
	}
}

func sampleTask(id domain.RequestID, kind domain.Kind) domain.Task {
	return domain.Task{
		ID: id, Kind: kind, Class: "credit-check", Team: "team-001", Deadline: time.Hour,
		Resources: domain.Resources{CPUMilli: 1000, MemoryMiB: 1000, Slots: 1},
		Payload:   make([]byte, payloadBytes),
	}
}
