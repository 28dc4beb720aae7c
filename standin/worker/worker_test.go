package worker

import (
	"context"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const testEpoch domain.Epoch = 7

// fixture is a worker with a fake clock and an open session.
type fixture struct {
	t        *testing.T
	ctx      context.Context
	clock    *clockwork.FakeClock
	w        *Worker
	attached platform.AttachReply
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	w := New(Config{ID: "w1", Capacity: domain.Resources{CPUMilli: 8000, MemoryMiB: 8000, Slots: 8}, Clock: clock, Interference: 1})
	t.Cleanup(w.Close)
	f := &fixture{t: t, ctx: context.Background(), clock: clock, w: w}
	f.attach()
	return f
}

func (f *fixture) attach() {
	f.t.Helper()
	var err error
	f.attached, err = f.w.Attach(f.ctx, platform.AttachRequest{Epoch: testEpoch, Owner: "n1"})
	assert.NilError(f.t, err)
}

func (f *fixture) request(seq uint64, kind domain.Kind, payload string) platform.StartRequest {
	task := domain.Task{
		ID:        domain.RequestID{Shard: domain.ShardID{Domain: "larissa"}, Epoch: testEpoch, Seq: seq},
		Kind:      kind,
		Class:     "c",
		Team:      "t",
		Resources: domain.Resources{CPUMilli: 2000, MemoryMiB: 1000, Slots: 1},
		Deadline:  time.Second,
		Payload:   []byte(payload),
	}
	return platform.StartRequest{Epoch: testEpoch, Session: f.attached.Session, Task: task, Attempt: 1, Reserved: task.Resources}
}

// start starts a task of any kind.
func (f *fixture) start(req platform.StartRequest) domain.RequestID {
	f.t.Helper()
	_, err := beginCall(f.ctx, f.w, func() (*taskAttempt, error) { return f.w.start(req) })
	assert.NilError(f.t, err)
	return req.Task.ID
}

func (f *fixture) state(id domain.RequestID) platform.TaskState {
	f.t.Helper()
	status, err := f.w.Lookup(f.ctx, id)
	assert.NilError(f.t, err)
	return status.State
}

func (f *fixture) renew() platform.RenewReply {
	f.t.Helper()
	reply, err := f.w.Renew(f.ctx, platform.RenewRequest{Epoch: testEpoch, Session: f.attached.Session, Echo: f.attached.Now})
	assert.NilError(f.t, err)
	f.attached.Now = reply.Now
	return reply
}

func (f *fixture) throttle(id domain.RequestID, share float64) {
	f.t.Helper()
	err := f.w.Throttle(f.ctx, platform.ThrottleRequest{Epoch: testEpoch, Session: f.attached.Session, ID: id, Share: share})
	assert.NilError(f.t, err)
}

// Guards against interference that does not depend on the CPU that batch tasks use.
// If they use half of the CPU and the factor is 1, an urgent task takes 1.5 times
// as long.
func TestInterferenceFollowsBatchCPU(t *testing.T) {
	f := newFixture(t)
	batch := f.start(f.request(1, domain.KindBatch, `{"duration_ms":60000,"used":{"cpu_milli":4000,"memory_mib":1}}`))
	slow := f.start(f.request(2, domain.KindUrgent, `{"duration_ms":100}`))
	f.clock.Advance(150*time.Millisecond - 1)
	assert.Equal(t, f.state(slow), platform.TaskRunning)
	f.clock.Advance(1)
	assert.Equal(t, f.state(slow), platform.TaskSucceeded)

	// Throttled to 0.4 of 2000, the batch task uses a tenth of the CPU.
	f.throttle(batch, 0.4)
	less := f.start(f.request(3, domain.KindUrgent, `{"duration_ms":100}`))
	f.clock.Advance(110*time.Millisecond - 1)
	assert.Equal(t, f.state(less), platform.TaskRunning)
	f.clock.Advance(1)
	assert.Equal(t, f.state(less), platform.TaskSucceeded)
}

// Guards against usage reports that arrive too early, or that contain the declared
// instead of the actual use.
func TestUsageReportsLagAndShowActualUse(t *testing.T) {
	f := newFixture(t)
	id := f.start(f.request(1, domain.KindBatch, `{"duration_ms":60000,"used":{"cpu_milli":500,"memory_mib":70}}`))
	f.clock.Advance(DefaultUsageInterval)
	assert.Equal(t, len(f.renew().Usage), 0)
	f.clock.Advance(DefaultUsageLag - 1)
	assert.Equal(t, len(f.renew().Usage), 0)
	f.clock.Advance(1)
	usage := f.renew().Usage
	assert.DeepEqual(t, usage, []platform.Usage{{
		ID:       id,
		Class:    "c",
		Used:     domain.Resources{CPUMilli: 500, MemoryMiB: 70, Slots: 1},
		Slowdown: 1,
		Age:      DefaultUsageLag,
	}})
	assert.Equal(t, len(f.renew().Usage), 0)
}

// Guards against a paused VM whose tasks continue after their lease has expired,
// and against commands that were delayed by the pause and take effect after the
// expiry.
func TestPauseBeyondLeaseStopsTasks(t *testing.T) {
	f := newFixture(t)
	id := f.start(f.request(1, domain.KindBatch, `{"duration_ms":1000,"progress_steps":10}`))
	f.clock.Advance(500 * time.Millisecond)
	f.w.Pause()
	delayed := make(chan error, 1)
	go func() {
		_, err := f.w.Start(f.ctx, f.request(2, domain.KindBatch, ""))
		delayed <- err
	}()
	f.clock.Advance(time.Minute)
	f.w.Resume()
	assert.Equal(t, domain.KindOf(<-delayed), domain.KindStaleEpoch)
	status, err := f.w.Lookup(f.ctx, id)
	assert.NilError(t, err)
	assert.Equal(t, status.Checkpoint, CheckpointReference(id, 5))
	history := f.w.History()
	assert.Equal(t, len(history), 1)
	assert.Equal(t, history[0].Completion, CompletionLeaseExpired)
	assert.Equal(t, history[0].Stop.Sub(history[0].Start), platform.LeaseDuration)
}

// Guards against a history that lacks attempts or progress. Checks of the
// invariants I1, I2 and I3 of docs/design.md depend on it.
func TestHistoryListsEveryAttempt(t *testing.T) {
	f := newFixture(t)
	req := f.request(1, domain.KindBatch, `{"duration_ms":1000,"progress_steps":10}`)
	id := f.start(req)
	f.clock.Advance(350 * time.Millisecond)
	stopped, err := f.w.Stop(f.ctx, platform.StopRequest{Epoch: testEpoch, Session: f.attached.Session, ID: id, Checkpoint: true})
	assert.NilError(t, err)
	req.Attempt, req.Checkpoint = 2, stopped.Checkpoint
	f.start(req)
	f.clock.Advance(700 * time.Millisecond)
	f.w.Restart()
	history := f.w.History()
	assert.Equal(t, len(history), 2)
	assert.Equal(t, history[0].Completion, CompletionStopped)
	assert.Equal(t, history[0].ToStep, int64(3))
	assert.Equal(t, history[1].FromStep, int64(3))
	assert.Equal(t, history[1].Completion, CompletionDone)
	assert.Equal(t, history[1].ToStep, int64(10))
	assert.DeepEqual(t, history[1].Reserved, req.Reserved)
	_, err = f.w.Lookup(f.ctx, id)
	assert.Equal(t, domain.KindOf(err), domain.KindNotFound)
}

// Guards against a start request that arrives after the owner has stopped the
// task. The task would run without the owner's knowledge, which violates the
// invariants I2 and I7 of docs/design.md.
func TestStopPreventsDelayedStart(t *testing.T) {
	f := newFixture(t)
	req := f.request(1, domain.KindBatch, `{"duration_ms":1000}`)
	req.Attempt = 2
	stop := platform.StopRequest{Epoch: testEpoch, Session: f.attached.Session, ID: req.Task.ID, Attempt: 2}
	status, err := f.w.Stop(f.ctx, stop)
	assert.NilError(t, err)
	assert.Equal(t, status.State, platform.TaskNeverStarted)
	status, err = f.w.Start(f.ctx, req)
	assert.NilError(t, err)
	assert.Equal(t, status.State, platform.TaskNeverStarted)
	assert.Equal(t, len(f.w.History()), 0)
	req.Attempt = 3
	status, err = f.w.Start(f.ctx, req)
	assert.NilError(t, err)
	assert.Equal(t, status.State, platform.TaskRunning)
}

// Guards against a restart that an owner cannot detect.
func TestRestartChangesIncarnation(t *testing.T) {
	f := newFixture(t)
	before := f.attached.Incarnation
	f.w.Restart()
	reply, err := f.w.Attach(f.ctx, platform.AttachRequest{Epoch: testEpoch, Owner: "n1"})
	assert.NilError(t, err)
	assert.Assert(t, reply.Incarnation != before)
}

// Guards against fault injection that has no effect.
func TestFaultControlsTakeEffect(t *testing.T) {
	f := newFixture(t)
	f.w.SetFailAll(true)
	failing := f.start(f.request(1, domain.KindBatch, ""))
	f.clock.Advance(time.Millisecond)
	assert.Equal(t, f.state(failing), platform.TaskFailed)

	f.w.SetLeaving(true)
	assert.Assert(t, f.renew().Leaving)
	_, err := f.w.Start(f.ctx, f.request(2, domain.KindBatch, ""))
	assert.Equal(t, domain.KindOf(err), domain.KindNoCapacity)

	f.w.SetDelay(time.Second)
	answered := make(chan error, 1)
	go func() {
		_, err := f.w.Lookup(f.ctx, failing)
		answered <- err
	}()
	// One timer belongs to the worker, the other to the delayed answer.
	assert.NilError(t, f.clock.BlockUntilContext(f.ctx, 2))
	select {
	case <-answered:
		t.Fatal("the answer was not delayed")
	default:
	}
	f.clock.Advance(time.Second)
	assert.NilError(t, <-answered)
}

// Guards against a restarted VM that still answers a call about a task of which it
// has no record, and against a restart that leaves the VM paused.
func TestRestartFailsWaitingCall(t *testing.T) {
	f := newFixture(t)
	failed := make(chan error, 1)
	go func() {
		_, err := f.w.Run(f.ctx, f.request(1, domain.KindUrgent, `{"duration_ms":1000}`))
		failed <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.w.History()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the task is not running yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
	f.w.Pause()
	f.w.Restart()
	assert.Equal(t, domain.KindOf(<-failed), domain.KindUnavailable)
	session := f.attached.Session
	f.attach()
	assert.Assert(t, f.attached.Session > session)
	assert.Equal(t, len(f.attached.Tasks), 0)
}

// Guards against a worker that accepts a malformed checkpoint or one of another
// task.
func TestForeignCheckpointIsRejected(t *testing.T) {
	f := newFixture(t)
	req := f.request(1, domain.KindBatch, "")
	other := f.request(2, domain.KindBatch, "").Task.ID
	for _, reference := range []string{"x", CheckpointReference(other, 3), CheckpointReference(req.Task.ID, 3) + "0"} {
		req.Checkpoint = reference
		_, err := f.w.Start(f.ctx, req)
		assert.Equal(t, domain.KindOf(err), domain.KindBadRequest, reference)
	}
	assert.Equal(t, len(f.w.History()), 0)
}
