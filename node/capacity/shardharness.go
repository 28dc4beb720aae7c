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

// ownershipReadInterval is the time between two reads of the stream that
// confirm the ownership. It is the longest time that a read of node/engine waits
// for a record.
const ownershipReadInterval = 500 * time.Millisecond

// Worker capacities. Workers with unlimitedCapacity hold any number of tasks.
// Those with urgentOnlyCapacity reserve their few slots for urgent requests, so
// that batch tasks stay pending.
var (
	unlimitedCapacity  = domain.Resources{CPUMilli: 1 << 40, MemoryMiB: 1 << 40, Slots: 1 << 30, Connections: 1 << 30}
	urgentOnlyCapacity = domain.Resources{CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 2, Connections: 64}
)

// shardHarness drives a shard.StateMachine with simulated replies in virtual
// time.
type shardHarness struct {
	stateMachine *shard.StateMachine
	id           domain.ShardID
	capacity     domain.Resources
	now          shard.Instant
	events       []shard.Event
	logUp        bool
	// keepUrgentRunning makes the workers never complete urgent requests.
	keepUrgentRunning bool
	replies           int
	nextSeq           uint64
	nextCall          shard.CallID
}

func newShardHarness(workers int, capacity domain.Resources) *shardHarness {
	h := &shardHarness{id: domain.ShardID{Domain: "d01"}, capacity: capacity, logUp: true}
	var effects []shard.Effect
	h.stateMachine, effects = shard.New(shard.Config{
		Shard: h.id, Node: "d01-n1", Epoch: 1, Policy: policy.New(policy.Config{Seed: 1}),
	})
	h.handleEffects(effects)
	h.configure(workers)
	return h
}

// configure gives the state machine its configuration and its workers, and lets
// it attach to them.
func (h *shardHarness) configure(workers int) {
	preset := policy.DefaultPresets()[0]
	h.handleEvent(shard.Configured{Configuration: domain.Configuration{Version: 1, Preset: preset}})
	h.handleEvent(shard.LogState{Up: true})
	h.handleEvent(shard.OwnershipRead{SentAt: h.now, Epoch: 1})
	h.handleEvent(shard.WorkersListed{VMs: sampleVMs(workers)})
	h.advance(200 * time.Millisecond)
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

// handleEvent processes one event and all replies that follow from it.
func (h *shardHarness) handleEvent(ev shard.Event) {
	h.handleEffects(h.stateMachine.Step(h.now, ev))
	for len(h.events) > 0 {
		next := h.events[0]
		h.events = h.events[1:]
		h.handleEffects(h.stateMachine.Step(h.now, next))
	}
}

// advance lets virtual time pass in ticks, with the renewals and reads that are
// due.
func (h *shardHarness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += shard.TickInterval
		if h.logUp && h.now%ownershipReadInterval == 0 {
			h.handleEvent(shard.OwnershipRead{SentAt: h.now, Epoch: 1})
		}
		h.handleEvent(shard.Tick{})
	}
}

func (h *shardHarness) handleEffects(effects []shard.Effect) {
	for _, effect := range effects {
		h.handleEffect(effect)
	}
}

func (h *shardHarness) handleEffect(effect shard.Effect) {
	at := platform.WorkerTime(h.now)
	switch e := effect.(type) {
	case shard.SendAttach:
		reply := platform.AttachReply{Session: 1, Incarnation: 1, Now: at, Capacity: h.capacity, RecordsComplete: true}
		h.events = append(h.events, shard.AttachDone{Worker: e.Worker, Reply: reply, SentAt: h.now})
	case shard.SendRenew:
		h.events = append(h.events, shard.RenewDone{Worker: e.Worker, Reply: platform.RenewReply{Now: at}, SentAt: h.now})
	case shard.Append:
		h.events = append(h.events, shard.AppendDone{Token: e.Token})
	case shard.SendStart:
		h.reportStarted(e)
	case shard.Reply:
		h.replies++
	}
}

func (h *shardHarness) reportStarted(e shard.SendStart) {
	task := e.Request.Task
	status := platform.TaskStatus{Task: task, Attempt: e.Request.Attempt, State: platform.TaskRunning}
	if task.Kind == domain.KindUrgent && !h.keepUrgentRunning {
		status.State = platform.TaskSucceeded
		status.Answer = make([]byte, payloadBytes)
	}
	done := shard.StartDone{Worker: e.Worker, ID: task.ID, Attempt: e.Request.Attempt, Status: status}
	h.events = append(h.events, done)
}

// submit sends n requests of a kind.
func (h *shardHarness) submit(kind domain.Kind, n int) {
	for range n {
		h.nextSeq++
		h.nextCall++
		h.handleEvent(shard.Submitted{
			Call: h.nextCall, Budget: time.Hour,
			Task: sampleTask(domain.RequestID{Shard: h.id, Epoch: 1, Seq: h.nextSeq}, kind),
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
