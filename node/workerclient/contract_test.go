package workerclient

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/standin/worker"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fixture is one worker with a fake clock, and the implementation of
// platform.Worker through which a test calls it.
type fixture struct {
	t        *testing.T
	ctx      context.Context
	clock    *clockwork.FakeClock
	worker   *worker.Worker
	server   *worker.Server
	client   platform.Worker
	attached platform.AttachReply
}

const epoch domain.Epoch = 5

var capacity = domain.Resources{CPUMilli: 8000, MemoryMiB: 4096, Accelerators: 1, Slots: 4, Connections: 8}

// eachTransport runs a test against the worker in memory and over HTTP.
func eachTransport(t *testing.T, test func(f *fixture)) {
	t.Helper()
	t.Run("memory", func(t *testing.T) { test(newFixture(t, false)) })
	t.Run("http", func(t *testing.T) { test(newFixture(t, true)) })
}

func newFixture(t *testing.T, overHTTP bool) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	clock := clockwork.NewFakeClock()
	w := worker.New(worker.Config{ID: "w1", Domain: "larissa", Rack: "r1", Capacity: capacity, Clock: clock})
	f := &fixture{t: t, ctx: ctx, clock: clock, worker: w, client: w}
	t.Cleanup(w.Close)
	if overHTTP {
		f.serve(cancel)
	} else {
		t.Cleanup(cancel)
	}
	return f
}

func (f *fixture) serve(cancel context.CancelFunc) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.server = worker.NewServer(f.worker, ln)
	done := make(chan error, 1)
	go func() { done <- f.server.Serve(f.ctx) }()
	client := New(ln.Addr().String())
	f.client = client
	f.t.Cleanup(func() {
		client.Close()
		cancel()
		assert.NilError(f.t, <-done)
	})
}

func (f *fixture) attach(e domain.Epoch) {
	f.t.Helper()
	reply, err := f.client.Attach(f.ctx, platform.AttachRequest{Epoch: e, Owner: "n1"})
	assert.NilError(f.t, err)
	f.attached = reply
}

func (f *fixture) renew(echo platform.WorkerTime, after uint64) (platform.RenewReply, error) {
	return f.client.Renew(f.ctx, platform.RenewRequest{Epoch: epoch, Session: f.attached.Session, Echo: echo, EventsAfter: after})
}

func (f *fixture) request(seq uint64, kind domain.Kind, payload string) platform.StartRequest {
	task := domain.Task{
		ID:        domain.RequestID{Shard: domain.ShardID{Domain: "larissa"}, Epoch: epoch, Seq: seq},
		Kind:      kind,
		Class:     "c",
		Team:      "t",
		Resources: domain.Resources{CPUMilli: 2000, MemoryMiB: 512, Slots: 1, Connections: 1},
		Payload:   []byte(payload),
	}
	if kind == domain.KindUrgent {
		task.Deadline = time.Second
	}
	return platform.StartRequest{Epoch: epoch, Session: f.attached.Session, Task: task, Attempt: 1, Reserved: task.Resources}
}

func (f *fixture) start(req platform.StartRequest) platform.TaskStatus {
	f.t.Helper()
	status, err := f.client.Start(f.ctx, req)
	assert.NilError(f.t, err)
	return status
}

func (f *fixture) lookup(id domain.RequestID) platform.TaskStatus {
	f.t.Helper()
	status, err := f.client.Lookup(f.ctx, id)
	assert.NilError(f.t, err)
	return status
}

type runResult struct {
	status platform.TaskStatus
	err    error
}

// startRun makes a Run call in the background and returns once the task runs on
// the worker.
func (f *fixture) startRun(req platform.StartRequest) <-chan runResult {
	f.t.Helper()
	result := make(chan runResult, 1)
	before := len(f.worker.History())
	go func() {
		status, err := f.client.Run(f.ctx, req)
		result <- runResult{status, err}
	}()
	f.waitUntil(func() bool { return len(f.worker.History()) > before })
	return result
}

func (f *fixture) waitUntil(done func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("condition not met")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}

// Guards against answers that depend on anything but the request.
func TestAnswerDependsOnlyOnRequest(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.attach(epoch)
		req := f.request(1, domain.KindUrgent, `{"duration_ms":20}`)
		result := f.startRun(req)
		f.clock.Advance(20 * time.Millisecond)
		r := <-result
		assert.NilError(f.t, r.err)
		assert.Equal(f.t, r.status.State, platform.TaskSucceeded)
		assert.DeepEqual(f.t, r.status.Answer, worker.ExpectedAnswer(req.Task))

		again, err := f.client.Run(f.ctx, req)
		assert.NilError(f.t, err)
		assert.DeepEqual(f.t, again, r.status)
		assert.Equal(f.t, len(f.worker.History()), 1)
	})
}

// Guards against size limits that reject the largest payload that tasks may have,
// and against a larger one that is accepted.
func TestLargestPayloadIsAccepted(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.attach(epoch)
		req := f.request(1, domain.KindBatch, strings.Repeat("x", domain.MaxPayloadBytes))
		assert.Assert(f.t, bytes.Equal(f.start(req).Task.Payload, req.Task.Payload))
		req.Task.ID.Seq = 2
		req.Task.Payload = append(req.Task.Payload, 'x')
		_, err := f.client.Start(f.ctx, req)
		assert.Equal(f.t, domain.KindOf(err), domain.KindTooLarge)
	})
}

// Guards against a replaced owner that can still command the worker.
func TestStaleEpochAndSessionAreRejected(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.attach(epoch)
		old := f.attached
		id := f.start(f.request(1, domain.KindBatch, "")).Task.ID
		f.attach(epoch + 1)
		assert.Equal(f.t, len(f.attached.Tasks), 1)
		assert.Assert(f.t, f.attached.Session != old.Session)

		calls := map[string]func() error{
			"attach": func() error {
				_, err := f.client.Attach(f.ctx, platform.AttachRequest{Epoch: epoch, Owner: "n1"})
				return err
			},
			"renew": func() error {
				_, err := f.client.Renew(f.ctx, platform.RenewRequest{Epoch: epoch, Session: old.Session, Echo: old.Now})
				return err
			},
			"old session": func() error {
				_, err := f.client.Renew(f.ctx, platform.RenewRequest{Epoch: epoch + 1, Session: old.Session, Echo: old.Now})
				return err
			},
			"start": func() error { _, err := f.client.Start(f.ctx, f.request(2, domain.KindBatch, "")); return err },
			"stop": func() error {
				_, err := f.client.Stop(f.ctx, platform.StopRequest{Epoch: epoch, Session: old.Session, ID: id})
				return err
			},
			"throttle": func() error {
				return f.client.Throttle(f.ctx, platform.ThrottleRequest{Epoch: epoch, Session: old.Session, ID: id, Share: 0.5})
			},
		}
		for name, call := range calls {
			assert.Equal(f.t, domain.KindOf(call()), domain.KindStaleEpoch, name)
		}
		status := f.lookup(id)
		assert.Equal(f.t, status.State, platform.TaskRunning)
		assert.Equal(f.t, status.Throttle, 1.0)
	})
}

// Guards against tasks that run longer than the lease of their session, and
// against a batch task that loses its progress when the lease expires.
func TestTasksStopWhenLeaseExpires(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.attach(epoch)
		batch := f.start(f.request(1, domain.KindBatch, `{"duration_ms":8000,"progress_steps":8}`)).Task.ID
		watch := f.start(f.request(2, domain.KindWatch, "")).Task.ID
		f.clock.Advance(platform.LeaseDuration - 1)
		assert.Equal(f.t, f.lookup(watch).State, platform.TaskRunning)
		f.clock.Advance(1)
		assert.Equal(f.t, f.lookup(watch).State, platform.TaskStopped)
		stopped := f.lookup(batch)
		assert.Equal(f.t, stopped.State, platform.TaskStopped)
		steps, err := worker.CheckpointSteps(batch, stopped.Checkpoint)
		assert.NilError(f.t, err)
		assert.Equal(f.t, steps, int64(4))
		_, err = f.client.Start(f.ctx, f.request(3, domain.KindBatch, ""))
		assert.Equal(f.t, domain.KindOf(err), domain.KindStaleEpoch)

		f.attach(epoch)
		resumed := f.request(1, domain.KindBatch, `{"duration_ms":8000,"progress_steps":8}`)
		resumed.Attempt, resumed.Checkpoint = 2, stopped.Checkpoint
		f.start(resumed)
		f.clock.Advance(platform.LeaseDuration)
		done := f.lookup(batch)
		assert.Equal(f.t, done.State, platform.TaskSucceeded)
		assert.DeepEqual(f.t, done.Answer, worker.ExpectedAnswer(resumed.Task))
	})
}

// Guards against a delayed renewal, or a repeated attach, that extends the lease
// beyond the end that its sender expects.
func TestDelayedRenewalDoesNotExtendLease(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.attach(epoch)
		id := f.start(f.request(1, domain.KindWatch, "")).Task.ID
		f.clock.Advance(time.Second)
		reply, err := f.renew(f.attached.Now, 0)
		assert.NilError(f.t, err)
		f.clock.Advance(2 * time.Second)
		_, err = f.renew(f.attached.Now, 0) // delayed: echoes the time of the attach
		assert.NilError(f.t, err)
		f.attach(epoch) // must not extend the lease either
		f.clock.Advance(time.Second - 1)
		assert.Equal(f.t, f.lookup(id).State, platform.TaskRunning)
		f.clock.Advance(1)
		assert.Equal(f.t, f.lookup(id).State, platform.TaskStopped)
		_, err = f.renew(reply.Now, 0)
		assert.Equal(f.t, domain.KindOf(err), domain.KindStaleEpoch)
	})
}

// Guards against reservations above the capacity of the VM in any resource
// (invariant I1 of docs/design.md).
func TestStartOverCapacityIsRejected(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.attach(epoch)
		f.start(f.request(1, domain.KindBatch, ""))
		free := capacity.Sub(f.request(1, domain.KindBatch, "").Reserved)
		excess := map[string]domain.Resources{
			"cpu":          {CPUMilli: 1},
			"memory":       {MemoryMiB: 1},
			"accelerators": {Accelerators: 1},
			"slots":        {Slots: 1},
			"connections":  {Connections: 1},
		}
		for name, extra := range excess {
			req := f.request(2, domain.KindBatch, "")
			req.Reserved = free.Add(extra)
			_, err := f.client.Start(f.ctx, req)
			assert.Equal(f.t, domain.KindOf(err), domain.KindNoCapacity, name)
		}
		fits := f.request(2, domain.KindBatch, "")
		fits.Reserved = free
		f.start(fits)
	})
}

// Guards against a repeated start that runs the task twice (invariants I2 and
// I7).
func TestRepeatedStartRunsOnce(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.attach(epoch)
		req := f.request(1, domain.KindBatch, "")
		req.Attempt = 2
		f.start(req)
		req.Attempt = 1
		assert.Equal(f.t, f.start(req).Attempt, 2)
		req.Attempt = 3
		_, err := f.client.Start(f.ctx, req)
		assert.Equal(f.t, domain.KindOf(err), domain.KindBadRequest)
		assert.Equal(f.t, len(f.worker.History()), 1)
		_, err = f.client.Lookup(f.ctx, f.request(9, domain.KindBatch, "").Task.ID)
		assert.Equal(f.t, domain.KindOf(err), domain.KindNotFound)
	})
}

// Guards against results that are dropped too early, and against a restarted
// worker whose missing records are taken as evidence that nothing ran (invariant
// I6).
func TestRestartedWorkerReportsIncompleteRecords(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.attach(epoch)
		assert.Assert(f.t, f.attached.RecordsComplete)
		id := f.start(f.request(1, domain.KindBatch, `{"duration_ms":1000}`)).Task.ID
		f.clock.Advance(time.Second + platform.ResultRetention)
		assert.Equal(f.t, f.lookup(id).State, platform.TaskSucceeded)
		f.clock.Advance(1)
		_, err := f.client.Lookup(f.ctx, id)
		assert.Equal(f.t, domain.KindOf(err), domain.KindNotFound)

		session := f.attached.Session
		f.worker.Restart()
		f.attach(epoch)
		assert.Assert(f.t, f.attached.Session > session)
		assert.Assert(f.t, !f.attached.RecordsComplete)
		f.clock.Advance(platform.ResultRetention)
		f.attach(epoch)
		assert.Assert(f.t, f.attached.RecordsComplete)
	})
}

// Guards against task events that are lost or get other numbers.
func TestEventsKeepTheirNumbers(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.attach(epoch)
		f.start(f.request(1, domain.KindBatch, `{"duration_ms":100}`))
		f.start(f.request(2, domain.KindBatch, `{"duration_ms":200,"fail":true}`))
		f.clock.Advance(time.Second)
		reply, err := f.renew(f.attached.Now, 0)
		assert.NilError(f.t, err)
		assert.Equal(f.t, len(reply.Events), 2)
		assert.Equal(f.t, reply.Events[0].Number, uint64(1))
		assert.Equal(f.t, reply.Events[1].Status.State, platform.TaskFailed)
		reply, err = f.renew(reply.Now, 1)
		assert.NilError(f.t, err)
		assert.Equal(f.t, len(reply.Events), 1)
		assert.Equal(f.t, reply.Events[0].Number, uint64(2))
	})
}

// Guards against swapped answers that reach the wrong calls (invariant I5).
func TestCrossedAnswerIsDetected(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.attach(epoch)
		f.worker.SwapNext(1)
		first := f.request(1, domain.KindUrgent, "a")
		second := f.request(2, domain.KindUrgent, "b")
		results := []<-chan runResult{f.startRun(first), f.startRun(second)}
		f.clock.Advance(worker.DefaultUrgentDuration)
		for i, result := range results {
			r := <-result
			if f.server == nil {
				assert.Assert(f.t, r.status.Task.ID != []domain.RequestID{first.Task.ID, second.Task.ID}[i])
				continue
			}
			var mismatch *MismatchError
			assert.Assert(f.t, isMismatch(r.err, &mismatch), "%v", r.err)
			assert.Assert(f.t, !IsNotSent(r.err))
		}
		assert.Equal(f.t, f.lookup(first.Task.ID).State, platform.TaskSucceeded)
	})
}
