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

// fixture is a worker in virtual time with an open session.
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
	r := &fixture{t: t, ctx: context.Background(), clock: clock, w: w}
	r.attach()
	return r
}

func (r *fixture) attach() {
	r.t.Helper()
	var err error
	r.attached, err = r.w.Attach(r.ctx, platform.AttachRequest{Epoch: testEpoch, Owner: "n1"})
	assert.NilError(r.t, err)
}

func (r *fixture) request(seq uint64, kind domain.Kind, payload string) platform.StartRequest {
	task := domain.Task{
		ID:        domain.RequestID{Shard: domain.ShardID{Domain: "larissa"}, Epoch: testEpoch, Seq: seq},
		Kind:      kind,
		Class:     "c",
		Team:      "t",
		Resources: domain.Resources{CPUMilli: 2000, MemoryMiB: 1000, Slots: 1},
		Deadline:  time.Second,
		Payload:   []byte(payload),
	}
	return platform.StartRequest{Epoch: testEpoch, Session: r.attached.Session, Task: task, Attempt: 1, Reserved: task.Resources}
}

// start starts a task of any kind.
func (r *fixture) start(req platform.StartRequest) domain.RequestID {
	r.t.Helper()
	_, err := beginCall(r.ctx, r.w, func() (*taskAttempt, error) { return r.w.start(req) })
	assert.NilError(r.t, err)
	return req.Task.ID
}

func (r *fixture) state(id domain.RequestID) platform.TaskState {
	r.t.Helper()
	status, err := r.w.Lookup(r.ctx, id)
	assert.NilError(r.t, err)
	return status.State
}

func (r *fixture) renew() platform.RenewReply {
	r.t.Helper()
	reply, err := r.w.Renew(r.ctx, platform.RenewRequest{Epoch: testEpoch, Session: r.attached.Session, Echo: r.attached.Now})
	assert.NilError(r.t, err)
	r.attached.Now = reply.Now
	return reply
}

func (r *fixture) throttle(id domain.RequestID, share float64) {
	r.t.Helper()
	err := r.w.Throttle(r.ctx, platform.ThrottleRequest{Epoch: testEpoch, Session: r.attached.Session, ID: id, Share: share})
	assert.NilError(r.t, err)
}

// Guards against interference that does not follow the batch CPU in use: half
// of the CPU at factor 1 makes an urgent task 1.5 times slower.
func TestInterferenceFollowsBatchCPU(t *testing.T) {
	r := newFixture(t)
	batch := r.start(r.request(1, domain.KindBatch, `{"duration_ms":60000,"used":{"cpu_milli":4000,"memory_mib":1}}`))
	slow := r.start(r.request(2, domain.KindUrgent, `{"duration_ms":100}`))
	r.clock.Advance(150*time.Millisecond - 1)
	assert.Equal(t, r.state(slow), platform.TaskRunning)
	r.clock.Advance(1)
	assert.Equal(t, r.state(slow), platform.TaskSucceeded)

	// Throttled to 0.4 of 2000, the batch task uses a tenth of the CPU.
	r.throttle(batch, 0.4)
	less := r.start(r.request(3, domain.KindUrgent, `{"duration_ms":100}`))
	r.clock.Advance(110*time.Millisecond - 1)
	assert.Equal(t, r.state(less), platform.TaskRunning)
	r.clock.Advance(1)
	assert.Equal(t, r.state(less), platform.TaskSucceeded)
}

// Guards against usage reports that are early, or that show the declared in
// place of the real use.
func TestUsageReportsLagAndShowActualUse(t *testing.T) {
	r := newFixture(t)
	id := r.start(r.request(1, domain.KindBatch, `{"duration_ms":60000,"used":{"cpu_milli":500,"memory_mib":70}}`))
	r.clock.Advance(DefaultUsageInterval)
	assert.Equal(t, len(r.renew().Usage), 0)
	r.clock.Advance(DefaultUsageLag - 1)
	assert.Equal(t, len(r.renew().Usage), 0)
	r.clock.Advance(1)
	usage := r.renew().Usage
	assert.DeepEqual(t, usage, []platform.Usage{{
		ID:       id,
		Class:    "c",
		Used:     domain.Resources{CPUMilli: 500, MemoryMiB: 70, Slots: 1},
		Slowdown: 1,
		Age:      DefaultUsageLag,
	}})
	assert.Equal(t, len(r.renew().Usage), 0)
}

// Guards against a paused VM whose tasks run on after their lease, and against
// commands that were held back and act after it.
func TestPauseBeyondLeaseStopsTasks(t *testing.T) {
	r := newFixture(t)
	id := r.start(r.request(1, domain.KindBatch, `{"duration_ms":1000,"progress_steps":10}`))
	r.clock.Advance(500 * time.Millisecond)
	r.w.Pause()
	held := make(chan error, 1)
	go func() {
		_, err := r.w.Start(r.ctx, r.request(2, domain.KindBatch, ""))
		held <- err
	}()
	r.clock.Advance(time.Minute)
	r.w.Resume()
	assert.Equal(t, domain.KindOf(<-held), domain.KindStaleEpoch)
	status, err := r.w.Lookup(r.ctx, id)
	assert.NilError(t, err)
	assert.Equal(t, status.Checkpoint, CheckpointReference(id, 5))
	history := r.w.History()
	assert.Equal(t, len(history), 1)
	assert.Equal(t, history[0].Completion, CompletionLeaseExpired)
	assert.Equal(t, history[0].Stop.Sub(history[0].Start), platform.LeaseDuration)
}

// Guards against a recorder that misses runs or progress (I1, I2, I3).
func TestHistoryListsEveryAttempt(t *testing.T) {
	r := newFixture(t)
	req := r.request(1, domain.KindBatch, `{"duration_ms":1000,"progress_steps":10}`)
	id := r.start(req)
	r.clock.Advance(350 * time.Millisecond)
	stopped, err := r.w.Stop(r.ctx, platform.StopRequest{Epoch: testEpoch, Session: r.attached.Session, ID: id, Checkpoint: true})
	assert.NilError(t, err)
	req.Attempt, req.Checkpoint = 2, stopped.Checkpoint
	r.start(req)
	r.clock.Advance(700 * time.Millisecond)
	r.w.Restart()
	history := r.w.History()
	assert.Equal(t, len(history), 2)
	assert.Equal(t, history[0].Completion, CompletionStopped)
	assert.Equal(t, history[0].ToStep, int64(3))
	assert.Equal(t, history[1].FromStep, int64(3))
	assert.Equal(t, history[1].Completion, CompletionDone)
	assert.Equal(t, history[1].ToStep, int64(10))
	assert.DeepEqual(t, history[1].Reserved, req.Reserved)
	_, err = r.w.Lookup(r.ctx, id)
	assert.Equal(t, domain.KindOf(err), domain.KindNotFound)
}

// Guards against a start that is still under way when its owner has stopped
// the task: it would run unseen (I2, I7).
func TestStopPreventsDelayedStart(t *testing.T) {
	r := newFixture(t)
	req := r.request(1, domain.KindBatch, `{"duration_ms":1000}`)
	req.Attempt = 2
	stop := platform.StopRequest{Epoch: testEpoch, Session: r.attached.Session, ID: req.Task.ID, Attempt: 2}
	status, err := r.w.Stop(r.ctx, stop)
	assert.NilError(t, err)
	assert.Equal(t, status.State, platform.TaskNeverStarted)
	status, err = r.w.Start(r.ctx, req)
	assert.NilError(t, err)
	assert.Equal(t, status.State, platform.TaskNeverStarted)
	assert.Equal(t, len(r.w.History()), 0)
	req.Attempt = 3
	status, err = r.w.Start(r.ctx, req)
	assert.NilError(t, err)
	assert.Equal(t, status.State, platform.TaskRunning)
}

// Guards against a restart that an owner cannot notice.
func TestRestartChangesIncarnation(t *testing.T) {
	r := newFixture(t)
	before := r.attached.Incarnation
	r.w.Restart()
	reply, err := r.w.Attach(r.ctx, platform.AttachRequest{Epoch: testEpoch, Owner: "n1"})
	assert.NilError(t, err)
	assert.Assert(t, reply.Incarnation != before)
}

// Guards against fault controls without effect.
func TestFaultControlsTakeEffect(t *testing.T) {
	r := newFixture(t)
	r.w.SetFailAll(true)
	failing := r.start(r.request(1, domain.KindBatch, ""))
	r.clock.Advance(time.Millisecond)
	assert.Equal(t, r.state(failing), platform.TaskFailed)

	r.w.SetLeaving(true)
	assert.Assert(t, r.renew().Leaving)
	_, err := r.w.Start(r.ctx, r.request(2, domain.KindBatch, ""))
	assert.Equal(t, domain.KindOf(err), domain.KindNoCapacity)

	r.w.SetDelay(time.Second)
	answered := make(chan error, 1)
	go func() {
		_, err := r.w.Lookup(r.ctx, failing)
		answered <- err
	}()
	// One timer is the worker's own, the other the delayed answer's.
	assert.NilError(t, r.clock.BlockUntilContext(r.ctx, 2))
	select {
	case <-answered:
		t.Fatal("the answer was not delayed")
	default:
	}
	r.clock.Advance(time.Second)
	assert.NilError(t, <-answered)
}

// Guards against a restarted VM that still answers a call about a task which
// it has no record of, and against a restart that leaves the VM paused.
func TestRestartFailsWaitingCall(t *testing.T) {
	r := newFixture(t)
	failed := make(chan error, 1)
	go func() {
		_, err := r.w.Run(r.ctx, r.request(1, domain.KindUrgent, `{"duration_ms":1000}`))
		failed <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(r.w.History()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the task does not run yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
	r.w.Pause()
	r.w.Restart()
	assert.Equal(t, domain.KindOf(<-failed), domain.KindUnavailable)
	session := r.attached.Session
	r.attach()
	assert.Assert(t, r.attached.Session > session)
	assert.Equal(t, len(r.attached.Tasks), 0)
}

// Guards against a checkpoint of one task that is taken for another's.
func TestForeignCheckpointIsRejected(t *testing.T) {
	r := newFixture(t)
	req := r.request(1, domain.KindBatch, "")
	other := r.request(2, domain.KindBatch, "").Task.ID
	for _, reference := range []string{"x", CheckpointReference(other, 3), CheckpointReference(req.Task.ID, 3) + "0"} {
		req.Checkpoint = reference
		_, err := r.w.Start(r.ctx, req)
		assert.Equal(t, domain.KindOf(err), domain.KindBadRequest, reference)
	}
	assert.Equal(t, len(r.w.History()), 0)
}
