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

// fixture is one worker in virtual time and the contract through which a test
// speaks to it.
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
func eachTransport(t *testing.T, test func(b *fixture)) {
	t.Helper()
	t.Run("memory", func(t *testing.T) { test(newFixture(t, false)) })
	t.Run("http", func(t *testing.T) { test(newFixture(t, true)) })
}

func newFixture(t *testing.T, overHTTP bool) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	clock := clockwork.NewFakeClock()
	w := worker.New(worker.Config{ID: "w1", Domain: "larissa", Rack: "r1", Capacity: capacity, Clock: clock})
	b := &fixture{t: t, ctx: ctx, clock: clock, worker: w, client: w}
	t.Cleanup(w.Close)
	if overHTTP {
		b.serve(cancel)
	} else {
		t.Cleanup(cancel)
	}
	return b
}

func (b *fixture) serve(cancel context.CancelFunc) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	b.server = worker.NewServer(b.worker, ln)
	done := make(chan error, 1)
	go func() { done <- b.server.Serve(b.ctx) }()
	client := New(ln.Addr().String())
	b.client = client
	b.t.Cleanup(func() {
		client.Close()
		cancel()
		assert.NilError(b.t, <-done)
	})
}

func (b *fixture) attach(e domain.Epoch) {
	b.t.Helper()
	reply, err := b.client.Attach(b.ctx, platform.AttachRequest{Epoch: e, Owner: "n1"})
	assert.NilError(b.t, err)
	b.attached = reply
}

func (b *fixture) renew(echo platform.WorkerTime, after uint64) (platform.RenewReply, error) {
	return b.client.Renew(b.ctx, platform.RenewRequest{Epoch: epoch, Session: b.attached.Session, Echo: echo, EventsAfter: after})
}

func (b *fixture) request(seq uint64, kind domain.Kind, payload string) platform.StartRequest {
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
	return platform.StartRequest{Epoch: epoch, Session: b.attached.Session, Task: task, Attempt: 1, Reserved: task.Resources}
}

func (b *fixture) start(req platform.StartRequest) platform.TaskStatus {
	b.t.Helper()
	status, err := b.client.Start(b.ctx, req)
	assert.NilError(b.t, err)
	return status
}

func (b *fixture) lookup(id domain.RequestID) platform.TaskStatus {
	b.t.Helper()
	status, err := b.client.Lookup(b.ctx, id)
	assert.NilError(b.t, err)
	return status
}

type runResult struct {
	status platform.TaskStatus
	err    error
}

// run makes a Run call and returns once the task runs on the worker.
func (b *fixture) run(req platform.StartRequest) <-chan runResult {
	b.t.Helper()
	result := make(chan runResult, 1)
	before := len(b.worker.History())
	go func() {
		status, err := b.client.Run(b.ctx, req)
		result <- runResult{status, err}
	}()
	b.waitUntil(func() bool { return len(b.worker.History()) > before })
	return result
}

func (b *fixture) waitUntil(done func() bool) {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("condition not met")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}

// Guards against answers that are not a function of the request alone.
func TestAnswerDependsOnlyOnRequest(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.attach(epoch)
		req := b.request(1, domain.KindUrgent, `{"duration_ms":20}`)
		result := b.run(req)
		b.clock.Advance(20 * time.Millisecond)
		r := <-result
		assert.NilError(b.t, r.err)
		assert.Equal(b.t, r.status.State, platform.TaskSucceeded)
		assert.DeepEqual(b.t, r.status.Answer, worker.ExpectedAnswer(req.Task))

		again, err := b.client.Run(b.ctx, req)
		assert.NilError(b.t, err)
		assert.DeepEqual(b.t, again, r.status)
		assert.Equal(b.t, len(b.worker.History()), 1)
	})
}

// Guards against size limits that refuse the largest payload of the contract.
func TestLargestPayloadIsAccepted(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.attach(epoch)
		req := b.request(1, domain.KindBatch, strings.Repeat("x", domain.MaxPayloadBytes))
		assert.Assert(b.t, bytes.Equal(b.start(req).Task.Payload, req.Task.Payload))
		req.Task.ID.Seq = 2
		req.Task.Payload = append(req.Task.Payload, 'x')
		_, err := b.client.Start(b.ctx, req)
		assert.Equal(b.t, domain.KindOf(err), domain.KindTooLarge)
	})
}

// Guards against a replaced owner that can still command the worker.
func TestStaleEpochAndSessionAreRejected(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.attach(epoch)
		old := b.attached
		id := b.start(b.request(1, domain.KindBatch, "")).Task.ID
		b.attach(epoch + 1)
		assert.Equal(b.t, len(b.attached.Tasks), 1)
		assert.Assert(b.t, b.attached.Session != old.Session)

		calls := map[string]func() error{
			"attach": func() error {
				_, err := b.client.Attach(b.ctx, platform.AttachRequest{Epoch: epoch, Owner: "n1"})
				return err
			},
			"renew": func() error {
				_, err := b.client.Renew(b.ctx, platform.RenewRequest{Epoch: epoch, Session: old.Session, Echo: old.Now})
				return err
			},
			"old session": func() error {
				_, err := b.client.Renew(b.ctx, platform.RenewRequest{Epoch: epoch + 1, Session: old.Session, Echo: old.Now})
				return err
			},
			"start": func() error { _, err := b.client.Start(b.ctx, b.request(2, domain.KindBatch, "")); return err },
			"stop": func() error {
				_, err := b.client.Stop(b.ctx, platform.StopRequest{Epoch: epoch, Session: old.Session, ID: id})
				return err
			},
			"throttle": func() error {
				return b.client.Throttle(b.ctx, platform.ThrottleRequest{Epoch: epoch, Session: old.Session, ID: id, Share: 0.5})
			},
		}
		for name, call := range calls {
			assert.Equal(b.t, domain.KindOf(call()), domain.KindStaleEpoch, name)
		}
		status := b.lookup(id)
		assert.Equal(b.t, status.State, platform.TaskRunning)
		assert.Equal(b.t, status.Throttle, 1.0)
	})
}

// Guards against tasks that outlive their session, and against a batch task
// that loses its progress with it.
func TestTasksStopWhenLeaseExpires(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.attach(epoch)
		batch := b.start(b.request(1, domain.KindBatch, `{"duration_ms":8000,"progress_steps":8}`)).Task.ID
		watch := b.start(b.request(2, domain.KindWatch, "")).Task.ID
		b.clock.Advance(platform.LeaseDuration - 1)
		assert.Equal(b.t, b.lookup(watch).State, platform.TaskRunning)
		b.clock.Advance(1)
		assert.Equal(b.t, b.lookup(watch).State, platform.TaskStopped)
		stopped := b.lookup(batch)
		assert.Equal(b.t, stopped.State, platform.TaskStopped)
		steps, err := worker.CheckpointSteps(batch, stopped.Checkpoint)
		assert.NilError(b.t, err)
		assert.Equal(b.t, steps, int64(4))
		_, err = b.client.Start(b.ctx, b.request(3, domain.KindBatch, ""))
		assert.Equal(b.t, domain.KindOf(err), domain.KindStaleEpoch)

		b.attach(epoch)
		resumed := b.request(1, domain.KindBatch, `{"duration_ms":8000,"progress_steps":8}`)
		resumed.Attempt, resumed.Checkpoint = 2, stopped.Checkpoint
		b.start(resumed)
		b.clock.Advance(platform.LeaseDuration)
		done := b.lookup(batch)
		assert.Equal(b.t, done.State, platform.TaskSucceeded)
		assert.DeepEqual(b.t, done.Answer, worker.ExpectedAnswer(resumed.Task))
	})
}

// Guards against a renewal that was delayed on its way and extends the lease
// beyond what its sender knew, and against an attach that does so.
func TestDelayedRenewalDoesNotExtendLease(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.attach(epoch)
		id := b.start(b.request(1, domain.KindWatch, "")).Task.ID
		b.clock.Advance(time.Second)
		reply, err := b.renew(b.attached.Now, 0)
		assert.NilError(b.t, err)
		b.clock.Advance(2 * time.Second)
		_, err = b.renew(b.attached.Now, 0) // delayed: echoes the attach
		assert.NilError(b.t, err)
		b.attach(epoch) // must not extend either
		b.clock.Advance(time.Second - 1)
		assert.Equal(b.t, b.lookup(id).State, platform.TaskRunning)
		b.clock.Advance(1)
		assert.Equal(b.t, b.lookup(id).State, platform.TaskStopped)
		_, err = b.renew(reply.Now, 0)
		assert.Equal(b.t, domain.KindOf(err), domain.KindStaleEpoch)
	})
}

// Guards against reservations over the VM in any dimension (I1).
func TestStartOverCapacityIsRejected(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.attach(epoch)
		b.start(b.request(1, domain.KindBatch, ""))
		free := capacity.Sub(b.request(1, domain.KindBatch, "").Reserved)
		over := map[string]domain.Resources{
			"cpu":          {CPUMilli: 1},
			"memory":       {MemoryMiB: 1},
			"accelerators": {Accelerators: 1},
			"slots":        {Slots: 1},
			"connections":  {Connections: 1},
		}
		for name, extra := range over {
			req := b.request(2, domain.KindBatch, "")
			req.Reserved = free.Add(extra)
			_, err := b.client.Start(b.ctx, req)
			assert.Equal(b.t, domain.KindOf(err), domain.KindNoCapacity, name)
		}
		fits := b.request(2, domain.KindBatch, "")
		fits.Reserved = free
		b.start(fits)
	})
}

// Guards against a repeated start that runs the task twice (I2, I7).
func TestRepeatedStartRunsOnce(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.attach(epoch)
		req := b.request(1, domain.KindBatch, "")
		req.Attempt = 2
		b.start(req)
		req.Attempt = 1
		assert.Equal(b.t, b.start(req).Attempt, 2)
		req.Attempt = 3
		_, err := b.client.Start(b.ctx, req)
		assert.Equal(b.t, domain.KindOf(err), domain.KindBadRequest)
		assert.Equal(b.t, len(b.worker.History()), 1)
		_, err = b.client.Lookup(b.ctx, b.request(9, domain.KindBatch, "").Task.ID)
		assert.Equal(b.t, domain.KindOf(err), domain.KindNotFound)
	})
}

// Guards against results that are lost early, and against a restarted worker
// whose missing records count as evidence that nothing ran (I6).
func TestRestartedWorkerReportsIncompleteRecords(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.attach(epoch)
		assert.Assert(b.t, b.attached.RecordsComplete)
		id := b.start(b.request(1, domain.KindBatch, `{"duration_ms":1000}`)).Task.ID
		b.clock.Advance(time.Second + platform.ResultRetention)
		assert.Equal(b.t, b.lookup(id).State, platform.TaskSucceeded)
		b.clock.Advance(1)
		_, err := b.client.Lookup(b.ctx, id)
		assert.Equal(b.t, domain.KindOf(err), domain.KindNotFound)

		session := b.attached.Session
		b.worker.Restart()
		b.attach(epoch)
		assert.Assert(b.t, b.attached.Session > session)
		assert.Assert(b.t, !b.attached.RecordsComplete)
		b.clock.Advance(platform.ResultRetention)
		b.attach(epoch)
		assert.Assert(b.t, b.attached.RecordsComplete)
	})
}

// Guards against lost or renumbered task events.
func TestEventsKeepTheirNumbers(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.attach(epoch)
		b.start(b.request(1, domain.KindBatch, `{"duration_ms":100}`))
		b.start(b.request(2, domain.KindBatch, `{"duration_ms":200,"fail":true}`))
		b.clock.Advance(time.Second)
		reply, err := b.renew(b.attached.Now, 0)
		assert.NilError(b.t, err)
		assert.Equal(b.t, len(reply.Events), 2)
		assert.Equal(b.t, reply.Events[0].Number, uint64(1))
		assert.Equal(b.t, reply.Events[1].Status.State, platform.TaskFailed)
		reply, err = b.renew(reply.Now, 1)
		assert.NilError(b.t, err)
		assert.Equal(b.t, len(reply.Events), 1)
		assert.Equal(b.t, reply.Events[0].Number, uint64(2))
	})
}

// Guards against a crossed answer that reaches the wrong caller (I5).
func TestCrossedAnswerIsDetected(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.attach(epoch)
		b.worker.SwapNext(1)
		first := b.request(1, domain.KindUrgent, "a")
		second := b.request(2, domain.KindUrgent, "b")
		results := []<-chan runResult{b.run(first), b.run(second)}
		b.clock.Advance(worker.DefaultUrgentDuration)
		for i, result := range results {
			r := <-result
			if b.server == nil {
				assert.Assert(b.t, r.status.Task.ID != []domain.RequestID{first.Task.ID, second.Task.ID}[i])
				continue
			}
			var mismatch *MismatchError
			assert.Assert(b.t, isMismatch(r.err, &mismatch), "%v", r.err)
			assert.Assert(b.t, !NotSent(r.err))
		}
		assert.Equal(b.t, b.lookup(first.Task.ID).State, platform.TaskSucceeded)
	})
}
