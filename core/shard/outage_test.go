package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

// Guards against a log outage that stops urgent requests. All requests sent during
// a ten-minute outage succeed, also those whose id is derived from a client's key,
// and their intents are in the log after the outage.
func TestUrgentRequestsAreAnsweredDuringLogOutage(t *testing.T) {
	h := newHistory(1, disableNone)
	w, o := h.w, h.w.latest()
	w.runFor(2 * time.Second)
	w.logUp = false
	const every, outage = 100 * time.Millisecond, 10 * time.Minute
	sent := 0
	for range int(outage / every) {
		sent++
		id := domain.RequestID{Shard: w.shard, Seq: uint64(sent)}
		if sent%2 == 0 {
			id.Epoch = o.machine.epoch
		}
		task := domain.Task{ID: id, Kind: domain.KindUrgent, Class: "check", Team: "a"}
		task.Resources = domain.Resources{CPUMilli: 1000, MemoryMiB: 512, Slots: 1, Connections: 1}
		h.submit(o, task)
		w.runFor(every)
	}
	w.runFor(3 * time.Second)
	ran := 0
	for id := range h.tasks {
		for _, outcome := range w.outcomes[id] {
			if outcome.State == domain.OutcomeSucceeded {
				ran++
			}
		}
	}
	t.Logf("answered %d of %d requests during a log outage of %s", ran, sent, outage)
	assert.Equal(t, ran, sent)

	w.logUp = true
	w.runFor(3 * time.Second)
	assert.Equal(t, len(w.journal.Shard(w.shard).Intents), sent)
	assert.Equal(t, len(h.violations()), 0)
}

// Guards against a slow takeover after the owner has died. A request with an id of
// the new owner is answered within 1 s of the claim, and a running batch task
// continues without a restart.
func TestTakeoverServesImmediately(t *testing.T) {
	h := newHistory(2, disableNone)
	w, o := h.w, h.w.latest()
	batch := h.task(domain.RequestID{Shard: w.shard, Epoch: o.machine.epoch, Seq: 1})
	batch.Kind = domain.KindBatch
	h.submit(o, batch)
	w.runFor(time.Second)
	o.paused = true
	// Other nodes detect the failure after 1 s without an answer to a ping.
	w.runFor(time.Second)
	successor := w.claim("n1")
	began := w.now
	urgent := h.task(domain.RequestID{Shard: w.shard, Epoch: successor.machine.epoch, Seq: 2})
	urgent.Kind = domain.KindUrgent
	h.submit(successor, urgent)
	for len(w.outcomes[urgent.ID]) == 0 && w.now-began < 5*time.Second {
		w.runFor(10 * time.Millisecond)
	}
	t.Logf("answered %s after the claim", w.now-began)
	assert.Equal(t, w.outcomes[urgent.ID][0].State, domain.OutcomeSucceeded)
	assert.Assert(t, w.now-began < time.Second)
	w.runFor(15 * time.Second)
	assert.Equal(t, len(h.attempts()[batch.ID]), 1)
}
