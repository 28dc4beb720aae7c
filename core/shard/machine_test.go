package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
)

// fixture is a state machine with one attached worker, driven event by event.
type fixture struct {
	t       *testing.T
	m       *StateMachine
	now     Instant
	effects []Effect
}

const fixtureWorker = domain.WorkerID("w0")

func newFixture(t *testing.T) *fixture {
	s := &fixture{t: t, now: time.Hour}
	m, effects := New(Config{
		Shard: domain.ShardID{Domain: "larissa"}, Node: "n0", Epoch: 1, Policy: newFirstFit(), Now: s.now,
	})
	s.m, s.effects = m, effects
	preset := domain.Preset{Name: "ordinary", IsolatedStarts: domain.IsolatedAll}
	s.step(Configured{Configuration: domain.Configuration{Preset: preset}})
	s.step(LogState{Up: true})
	s.step(WorkersListed{VMs: []platform.VM{{ID: fixtureWorker, Domain: "larissa"}}})
	s.step(AttachDone{Worker: fixtureWorker, SentAt: s.now, Reply: platform.AttachReply{
		Session: 1, RecordsComplete: true, Capacity: domain.Resources{CPUMilli: 4000, MemoryMiB: 4096, Slots: 4, Connections: 4},
	}})
	s.confirmOwnership()
	return s
}

// confirmOwnership confirms the ownership with a log read.
func (s *fixture) confirmOwnership() { s.step(OwnershipRead{SentAt: s.now, Epoch: 1}) }

func (s *fixture) step(ev Event) {
	s.effects = append(s.effects, s.m.Step(s.now, ev)...)
}

// runFor advances the time by d with ticks, answered renewals and confirmed
// ownership.
func (s *fixture) runFor(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += TickInterval
		s.confirmOwnership()
		s.step(RenewDone{Worker: fixtureWorker, SentAt: s.now})
		s.step(Tick{})
	}
}

func (s *fixture) task(kind domain.Kind, seq uint64) domain.Task {
	return domain.Task{
		ID:   domain.RequestID{Shard: domain.ShardID{Domain: "larissa"}, Epoch: 1, Seq: seq},
		Kind: kind, Class: "c", Team: "t", Idempotent: true,
		Resources: domain.Resources{CPUMilli: 1000, MemoryMiB: 256, Slots: 1},
	}
}

// take returns the effects of one type since the last call and drops all others.
func take[T Effect](s *fixture) []T {
	var out []T
	for _, e := range s.effects {
		if typed, ok := e.(T); ok {
			out = append(out, typed)
		}
	}
	s.effects = nil
	return out
}

func (s *fixture) submit(task domain.Task) {
	ev := Submitted{Call: 1, Task: task}
	if task.Kind == domain.KindUrgent {
		ev.Budget = time.Second
	}
	s.step(ev)
	for _, a := range take[Append](s) {
		s.step(AppendDone{Token: a.Token})
	}
}

// Guards against a batch task that waits forever because it avoids the only worker
// of its shard after a failure there.
func TestFailingBatchTaskIsAnsweredFailed(t *testing.T) {
	s := newFixture(t)
	task := s.task(domain.KindBatch, 1)
	s.submit(task)
	for range maxTaskFailures {
		starts := take[SendStart](s)
		assert.Equal(t, len(starts), 1)
		status := platform.TaskStatus{Task: task, Attempt: starts[0].Request.Attempt, State: platform.TaskFailed}
		s.step(StartDone{Worker: fixtureWorker, ID: task.ID, Attempt: status.Attempt, Status: status})
		s.runFor(avoidDuration + maxRestartDelay/8)
	}
	s.effects = nil
	s.step(Queried{Call: 2, ID: task.ID})
	replies := take[Reply](s)
	assert.Equal(t, replies[0].Outcome.State, domain.OutcomeFailed)
	assert.Equal(t, replies[0].Outcome.Err.Kind, domain.KindTaskFailed)
}

// Guards against an answer "not run", at the deadline, to a request whose start was
// not answered (invariant I6).
func TestUnansweredStartIsUnknownAtDeadline(t *testing.T) {
	s := newFixture(t)
	task := s.task(domain.KindUrgent, 1)
	s.submit(task)
	s.step(StartDone{
		Worker: fixtureWorker, ID: task.ID, Attempt: 1,
		Err: &domain.Error{Kind: domain.KindUnavailable, Message: "no answer"},
	})
	s.effects = nil
	s.runFor(1200 * time.Millisecond)
	replies := take[Reply](s)
	assert.Equal(t, len(replies), 1)
	assert.Equal(t, replies[0].Outcome.State, domain.OutcomeUnknown)
}

// Guards against a late start of a request that waited for a worker: it is answered
// "not run" at its deadline and is never started afterwards.
func TestWaitingRequestIsNotRunAtDeadline(t *testing.T) {
	s := newFixture(t)
	for seq := uint64(1); seq <= 4; seq++ {
		s.submit(s.task(domain.KindUrgent, seq))
	}
	late := s.task(domain.KindUrgent, 9)
	s.submit(late)
	s.runFor(1200 * time.Millisecond)
	outcomes := map[domain.RequestID]domain.OutcomeState{}
	for _, r := range take[Reply](s) {
		outcomes[r.Outcome.ID] = r.Outcome.State
	}
	assert.Equal(t, outcomes[late.ID], domain.OutcomeNotRun)
	s.submit(late)
	s.runFor(time.Second)
	assert.Equal(t, len(take[SendStart](s)), 0)
}

// Guards against a request with another body that is taken for a repeat because its
// key or id is reused (invariant I7). It gets an error.
func TestReusedIDWithAnotherBodyIsRefused(t *testing.T) {
	s := newFixture(t)
	task := s.task(domain.KindUrgent, 1)
	s.submit(task)
	s.effects = nil
	task.Payload = []byte("other")
	s.step(Submitted{Call: 7, Task: task, Budget: time.Second})
	replies := take[Reply](s)
	assert.Equal(t, replies[0].Outcome.Err.Kind, domain.KindKeyConflict)
}

// Guards against a planned stop that drops urgent requests or accepts new ones
// (invariant I9).
func TestDrainingFinishesUrgentRequests(t *testing.T) {
	s := newFixture(t)
	task := s.task(domain.KindUrgent, 1)
	s.submit(task)
	s.effects = nil
	s.step(Draining{})
	s.step(Submitted{Call: 5, Task: s.task(domain.KindUrgent, 2), Budget: time.Second})
	assert.Equal(t, take[Reply](s)[0].Outcome.Err.Kind, domain.KindStaleEpoch)
	s.runFor(time.Second)
	assert.Equal(t, len(take[Drained](s)), 0)
	s.step(StartDone{Worker: fixtureWorker, ID: task.ID, Attempt: 1, Status: platform.TaskStatus{
		Task: task, Attempt: 1, State: platform.TaskSucceeded, Answer: []byte("done"),
	}})
	s.runFor(time.Second)
	assert.Equal(t, len(take[Drained](s)), 1)
}

// Guards against new tasks on a leaving worker (invariant I8), and against batch
// tasks that are not stopped there.
func TestLeavingWorkerIsDrained(t *testing.T) {
	s := newFixture(t)
	task := s.task(domain.KindBatch, 1)
	s.submit(task)
	start := take[SendStart](s)[0]
	s.step(StartDone{Worker: fixtureWorker, ID: task.ID, Attempt: 1, Status: platform.TaskStatus{
		Task: task, Attempt: start.Request.Attempt, State: platform.TaskRunning,
	}})
	s.step(RenewDone{Worker: fixtureWorker, SentAt: s.now, Reply: platform.RenewReply{Leaving: true}})
	s.effects = nil
	s.submit(s.task(domain.KindUrgent, 2))
	s.step(Tick{})
	assert.Equal(t, len(take[SendStart](s)), 0)
	s.step(Tick{})
	s.runFor(TickInterval)
	assert.Equal(t, s.m.requests[task.ID].state, stateStopping)
}

// Guards against work that waits forever in a shard without workers.
func TestShardWithoutWorkersMovesItsWork(t *testing.T) {
	s := newFixture(t)
	s.step(WorkersListed{})
	target := domain.ShardID{Domain: "volos"}
	s.step(Configured{Configuration: s.m.config, Targets: []domain.ShardID{target}})
	task := s.task(domain.KindBatch, 1)
	s.submit(task)
	s.runFor(2 * TickInterval)
	for _, a := range take[Append](s) {
		assert.Equal(t, a.Entries[0].Moved.Target, target)
		s.step(AppendDone{Token: a.Token})
	}
	offers := take[Delegate](s)
	assert.Equal(t, len(offers), 1)
	assert.Equal(t, offers[0].Request.Task.ID, task.ID)
	assert.Equal(t, offers[0].Request.Moves, 1)
}

// Guards against a worker's sum of reservations that differs from the reservations
// of its tasks.
func TestReservedSumFollowsTasks(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		h := newHistory(seed, disableNone)
		h.run(40)
		h.clearFaults()
		m := h.w.latest().machine
		for _, w := range m.sortedWorkers() {
			var sum domain.Resources
			for id := range w.tasks {
				sum = sum.Add(m.requests[id].reserved)
			}
			assert.Equal(t, w.reserved, sum, "seed %d worker %s", seed, w.id)
		}
	}
}

// Guards against a second run of a task that an earlier owner accepted back, and
// finished, without a log entry for its return.
func TestReturnWithoutLogRecordIsDetected(t *testing.T) {
	id := domain.RequestID{Shard: domain.ShardID{Domain: "larissa"}, Epoch: 1, Seq: 5}
	j := journal.NewDomain().Shard(id.Shard)
	j.Moved[id] = journal.MoveState{
		Moved:         journal.Moved{ID: id, Target: domain.ShardID{Domain: "volos"}, Moves: 1},
		MoveConfirmed: true,
	}
	s := &fixture{t: t, now: time.Hour}
	s.m, s.effects = New(Config{Shard: id.Shard, Node: "n1", Epoch: 2, Journal: j, Policy: newFirstFit(), Now: s.now})
	s.step(Configured{Configuration: domain.Configuration{Version: 1}})
	s.step(WorkersListed{VMs: []platform.VM{{ID: fixtureWorker, Domain: "larissa"}}})
	task := s.task(domain.KindBatch, 5)
	s.step(AttachDone{Worker: fixtureWorker, SentAt: s.now, Reply: platform.AttachReply{
		Session: 1, Tasks: []platform.TaskStatus{{
			Task: task, Attempt: 3, Moves: 2, State: platform.TaskSucceeded, Answer: []byte("built"),
		}},
	}})
	s.effects = nil
	s.step(Queried{Call: 1, ID: id})
	replies := take[Reply](s)
	assert.Equal(t, len(replies), 1)
	assert.Equal(t, replies[0].Outcome.State, domain.OutcomeSucceeded)
	assert.Equal(t, string(replies[0].Outcome.Answer), "built")
}

// Guards against a first start of a batch task that is not reported to its
// service-level objective, or is reported twice after an eviction.
func TestFirstStartIsMeasuredOnce(t *testing.T) {
	s := newFixture(t)
	task := s.task(domain.KindBatch, 1)
	s.submit(task)
	s.runFor(300 * time.Millisecond)
	run := func(attempt int, state platform.TaskState) {
		status := platform.TaskStatus{Task: task, Attempt: attempt, State: state}
		s.step(StartDone{Worker: fixtureWorker, ID: task.ID, Attempt: attempt, Status: status})
	}
	s.effects = nil
	run(1, platform.TaskRunning)
	first := take[Measured](s)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0], Measured{Kind: domain.KindBatch, State: domain.OutcomeRunning, Took: 300 * time.Millisecond})
	run(1, platform.TaskStopped)
	s.runFor(time.Second)
	s.effects = nil
	run(2, platform.TaskRunning)
	assert.Equal(t, len(take[Measured](s)), 0)
}

// refusingPolicy refuses one request.
type refusingPolicy struct {
	*firstFit
	refused domain.RequestID
	// late is the MissesDeadline of the refusal.
	late bool
}

func (c refusingPolicy) Choose(now Instant, d Demand) (Placement, *Refusal) {
	if d.ID == c.refused {
		return Placement{}, &Refusal{Reason: "refused by the test", MissesDeadline: c.late}
	}
	return c.firstFit.Choose(now, d)
}

// Guards against one urgent request that blocks those behind it, and against a late
// answer "not run" when an early one is possible.
func TestUrgentRequestsPassOneThatWaits(t *testing.T) {
	for _, late := range []bool{false, true} {
		s := newFixture(t)
		first, second := s.task(domain.KindUrgent, 1), s.task(domain.KindUrgent, 2)
		s.m.policy = refusingPolicy{firstFit: s.m.policy.(*firstFit), refused: first.ID, late: late}
		s.effects = nil
		s.step(Submitted{Call: 1, Task: first, Budget: time.Second})
		replies := take[Reply](s)
		assert.Equal(t, len(replies) == 1, late)
		s.step(Submitted{Call: 2, Task: second, Budget: time.Second})
		starts := take[SendStart](s)
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Request.Task.ID, second.ID)
	}
}

// Guards against starts on a worker that has restarted and forgotten a newer owner
// (invariants I6 and I7): this owner starts nothing on it before the log has shown
// that there is no newer owner. A counterexample of the formal model showed the
// fault.
func TestRestartedWorkerWaitsForLogRead(t *testing.T) {
	s := newFixture(t)
	s.step(RenewDone{Worker: fixtureWorker, SentAt: s.now, Err: &domain.Error{Kind: domain.KindStaleEpoch}})
	s.now += TickInterval
	s.step(AttachDone{Worker: fixtureWorker, SentAt: s.now, Reply: platform.AttachReply{
		Session: 2, Incarnation: 1, Capacity: domain.Resources{CPUMilli: 4000, MemoryMiB: 4096, Slots: 4, Connections: 4},
	}})
	s.submit(s.task(domain.KindUrgent, 1))
	s.step(Tick{})
	assert.Equal(t, len(take[SendStart](s)), 0)
	s.now += TickInterval
	s.confirmOwnership()
	assert.Equal(t, len(take[SendStart](s)), 1)
}
