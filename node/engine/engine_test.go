package engine

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

// withOwner runs a test in a synctest bubble with one node, which owns testShard.
func withOwner(t *testing.T, test func(t *testing.T, l *memLog, fx *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := newMemLog()
		fx := newFixture(t, l, "n1")
		defer fx.close(t)
		assert.Equal(t, fx.claim(t, 0), domain.Epoch(1))
		waitForRefresh()
		test(t, l, fx)
	})
}

func submit(t *testing.T, fx *fixture, seq uint64) domain.Outcome {
	t.Helper()
	req := urgent(seq)
	out, err := fx.Submit(t.Context(), testShard, req)
	assert.NilError(t, err)
	assert.Equal(t, out.ID, req.Task.ID)
	return out
}

// Guards against a lost reply of the log after which the record is appended twice or
// the task is started twice.
func TestLostAppendReplyIsResolved(t *testing.T) {
	for name, fault := range map[string]func(*memLog){
		"error": func(l *memLog) { l.loseReplies = 1 },
		"hang":  func(l *memLog) { l.hang = 1 },
		// The retry must wait until the record was looked up in the stream.
		"slow look-up": func(l *memLog) { l.loseReplies, l.readLatency = 1, 2*appendRetryDelay },
	} {
		t.Run(name, func(t *testing.T) {
			withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
				l.set(fault)
				started := time.Now()
				assert.Equal(t, submit(t, fx, 1).State, domain.OutcomeSucceeded)
				assert.Assert(t, time.Since(started) < AppendTimeout)
				assert.Equal(t, submit(t, fx, 2).State, domain.OutcomeSucceeded)
				waitForRefresh()
				assert.Equal(t, len(l.entries(t)), 3) // one claim and two intents
				assert.Equal(t, len(fx.worker.runCalls), 2)
			})
		})
	}
}

// Guards against a wait for the log that is longer than AppendTimeout, against
// entries that are appended after their failure was reported, and against an engine
// that does not detect that the log responds again.
func TestLogOutageIsBoundedAndDetected(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		l.set(func(l *memLog) { l.down = true })
		started := time.Now()
		assert.Equal(t, submit(t, fx, 1).State, domain.OutcomeSucceeded)
		assert.Equal(t, time.Since(started), AppendTimeout)
		assert.Assert(t, !fx.logState().Up)
		l.set(func(l *memLog) { l.down = false })
		time.Sleep(2 * probeInterval)
		assert.Assert(t, fx.logState().Up)
		assert.Equal(t, len(l.entries(t)), 1)
		assert.Equal(t, submit(t, fx, 2).State, domain.OutcomeSucceeded)
		assert.Equal(t, len(l.entries(t)), 2)
	})
}

// Guards against an owner that continues after another node's claim, and against a
// claim with an outdated previous epoch that takes effect.
func TestTakeoverFencesPreviousOwner(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		fx.worker.unblock = make(chan struct{})
		defer close(fx.worker.unblock)
		outcome := make(chan domain.Outcome, 1)
		go func() { outcome <- submit(t, fx, 1) }()
		<-fx.worker.runCalls
		other := newFixture(t, l, "n2")
		defer other.close(t)
		epoch := other.claim(t, 1)
		assert.Assert(t, epoch > 1)
		assert.Equal(t, (<-outcome).State, domain.OutcomeUnknown)
		assert.Equal(t, len(fx.Owned()), 0)
		_, err := fx.Submit(t.Context(), testShard, urgent(2))
		assert.Equal(t, domain.KindOf(err), domain.KindStaleEpoch)

		fx.Claim(testShard, 1, func(*domain.Error) {})
		waitForRefresh()
		assert.Equal(t, len(fx.Owned()), 0)
		assert.Equal(t, other.Owned()[0].Epoch, epoch)
	})
}

// Guards against a node that cannot own a shard again after another node, which
// wrongly suspected it to be dead, claimed the shard.
func TestWronglySuspectedOwnerClaimsAgain(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		other := newFixture(t, l, "n2")
		defer other.close(t)
		second := other.claim(t, 1)
		waitForRefresh()
		assert.Equal(t, len(fx.Owned()), 0)
		third := fx.claim(t, second)
		assert.Assert(t, third > second)
		waitForRefresh()
		assert.Equal(t, len(other.Owned()), 0)
		assert.Equal(t, submit(t, fx, 1).State, domain.OutcomeSucceeded)
	})
}

// Guards against a task that starts although its intent has no effect, because the
// record of another node's claim comes first in the stream.
func TestIntentAfterNewerClaimStartsNothing(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		claim := journal.Entry{Shard: testShard, Claim: &journal.Claim{Shard: testShard, Node: "n2", Previous: 1}}
		rec, err := journal.Encode("foreign", []journal.Entry{claim})
		assert.NilError(t, err)
		l.set(func(l *memLog) { l.competingRecord = &rec })
		assert.Equal(t, submit(t, fx, 1).State, domain.OutcomeUnknown)
		waitForRefresh()
		assert.Equal(t, len(l.entries(t)), 3)
		assert.Equal(t, len(fx.worker.runCalls), 0)
	})
}

// Guards against a record that takes effect twice because a copy of it arrives late.
func TestRepeatedRecordIsDropped(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		job := journal.Entry{Shard: testShard, Epoch: 1, Job: &journal.Job{Task: urgent(1).Task}}
		rec, err := journal.Encode("same", []journal.Entry{job})
		assert.NilError(t, err)
		for range 2 {
			_, err = l.Append(t.Context(), "", rec)
			assert.NilError(t, err)
		}
		waitForRefresh()
		assert.Equal(t, len(fx.follower.journal(testShard).Snapshot()), 1)
	})
}

// Guards against a record that the log refuses and that then blocks all later ones,
// and against a large append of which a part is lost or too large for one record.
func TestLargeAppendsAreSplitOrRefused(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		l.set(func(l *memLog) { l.maxBytes = maxBatchBytes })
		add := func(entries ...journal.Entry) *domain.Error {
			done := make(chan *domain.Error, 1)
			fx.committer.add(entries, nil, func(err *domain.Error) { done <- err })
			return <-done
		}
		job := journal.Entry{Shard: testShard, Epoch: 1, Job: &journal.Job{Task: urgent(1).Task}}
		large := job
		large.Job = &journal.Job{Task: urgent(2).Task}
		large.Job.Task.Payload = make([]byte, domain.MaxPayloadBytes)
		assert.Equal(t, add(large).Kind, domain.KindTooLarge)

		many := make([]journal.Entry, 2*maxBatchEntries+1)
		for i := range many {
			many[i] = job
		}
		assert.Assert(t, add(many...) == nil)
		assert.Equal(t, len(fx.follower.journal(testShard).Snapshot()), len(many))
		assert.Equal(t, len(l.records), 4)
	})
}

// Guards against an empty worker list before the VM list was read, from which the
// scheduler would conclude that nothing runs, and against workers of other shards.
func TestOnlyListedWorkersOfShardArePassedOn(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		assert.Assert(t, !strings.Contains(fx.recordedEvents(), "VMs"), fx.recordedEvents())
		fx.SetWorkers([]platform.VM{{ID: "w1", Domain: testDomain}, {ID: "w2", Domain: "volos"}})
		waitForRefresh()
		assert.Assert(t, strings.Contains(fx.recordedEvents(), "w1"), fx.recordedEvents())
		assert.Assert(t, !strings.Contains(fx.recordedEvents(), "w2"), fx.recordedEvents())
	})
}

// Guards against a log that counts as down forever after one slow append: while it
// does, no scheduler appends anything that could prove otherwise.
func TestLogIsUpAgainAfterSlowAppend(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		l.set(func(l *memLog) { l.latency = 400 * time.Millisecond })
		assert.Equal(t, submit(t, fx, 1).State, domain.OutcomeSucceeded)
		time.Sleep(2 * probeInterval)
		assert.Assert(t, !fx.logState().Up)
		l.set(func(l *memLog) { l.latency = 0 })
		time.Sleep(2 * probeInterval)
		assert.Assert(t, fx.logState().Up)
	})
}

// Guards against a command that is sent after the runner was dropped, whichever
// goroutine runs first.
func TestNothingIsSentAfterDrop(t *testing.T) {
	r := newRunner(Config{}, testShard, 1)
	stepped := false
	r.scheduler = &fakeScheduler{trace: func(shard.Event) { stepped = true }}
	w := &fakeWorker{runCalls: make(chan platform.StartRequest, 1)}
	var calls sync.WaitGroup
	x := &executor{ctx: t.Context(), calls: &calls, fenced: &r.fenced, workerClients: newWorkerClients(nil), post: r.post}
	x.workerClients.byID["w"] = workerClient{worker: w}
	r.drop(nil)
	r.post(shard.AppendDone{Token: 1})
	r.processUpdates()
	assert.Assert(t, !stepped)
	x.execute(shard.SendStart{Worker: "w", Request: platform.StartRequest{Task: urgent(1).Task}})
	calls.Wait()
	assert.Equal(t, len(w.runCalls), 0)
}

// Guards against a stop that interrupts a request or does not release the shard.
func TestStopFinishesRequestsAndReleasesShard(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		fx.worker.unblock = make(chan struct{})
		outcome := make(chan domain.Outcome, 1)
		go func() { outcome <- submit(t, fx, 1) }()
		<-fx.worker.runCalls
		stopped := make(chan error, 1)
		go func() { stopped <- fx.Stop(t.Context()) }()
		waitForRefresh()
		assert.Equal(t, len(stopped), 0)
		assert.Equal(t, len(fx.Owned()), 1)
		close(fx.worker.unblock)
		assert.Equal(t, (<-outcome).State, domain.OutcomeSucceeded)
		assert.NilError(t, <-stopped)
		entries := l.entries(t)
		assert.Assert(t, entries[len(entries)-1].Release != nil)
	})
}

// Guards against a stop that never returns while the log is down.
func TestStopReturnsWhenContextEnds(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		l.set(func(l *memLog) { l.down = true })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		assert.ErrorIs(t, fx.Stop(ctx), context.DeadlineExceeded)
	})
}

// Guards against a shard without a scheduler after its owner has claimed it a second
// time.
func TestOwnerKeepsShardAfterSecondClaim(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		assert.Equal(t, fx.claim(t, 1), domain.Epoch(2))
	})
}

// Guards against a process that continues the epoch of an earlier process of the
// same node, in which it would issue the same request ids again.
func TestRestartNeedsNewClaim(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		fx.close(t)
		again := newFixture(t, l, "n1")
		defer again.close(t)
		waitForRefresh()
		assert.Equal(t, len(again.Owned()), 0)
		assert.Assert(t, again.claim(t, 1) > 1)
	})
}

// Guards against a follower that stops reading because records expired before it had
// read them.
func TestFollowerSkipsExpiredRecords(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		for seq := range uint64(5) {
			submit(t, fx, seq)
		}
		l.expire(4)
		late := newFixture(t, l, "n2")
		defer late.close(t)
		waitForRefresh()
		late.follower.mu.Lock()
		defer late.follower.mu.Unlock()
		assert.Equal(t, late.follower.next, l.first+platform.Offset(len(l.records)))
	})
}

// Guards against outdated state in a follower: the records that ended the state
// expired before the follower had read them.
func TestStateOfExpiredRecordsIsDropped(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		job := journal.Entry{Shard: testShard, Epoch: 1, Job: &journal.Job{Task: urgent(1).Task}}
		fx.committer.add([]journal.Entry{job}, nil, nil)
		waitForRefresh()
		l.set(func(l *memLog) { l.down = true })
		time.Sleep(2 * pollWait)
		// In one step, so that the follower cannot read the last record before it expires.
		l.set(func(l *memLog) {
			l.add(platform.Record{ID: "unread"})
			l.dropFirst(3)
			l.down = false
		})
		time.Sleep(2 * pollWait)
		assert.Equal(t, len(fx.follower.journal(testShard).Snapshot()), 0)
		assert.Equal(t, len(fx.Owned()), 0)
	})
}

// Guards against requests that are lost without an error when the queue of a shard
// is full.
func TestFullQueueRefusesRequests(t *testing.T) {
	r := newRunner(Config{}, testShard, 1)
	for range maxQueuedRequests {
		assert.Assert(t, r.enqueue(request{}) == nil)
	}
	_, err := r.call(t.Context(), domain.RequestID{}, func(shard.CallID) shard.Event { return nil })
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
}

// Guards against the loss of entries that are still needed when their records expire.
func TestSnapshotsKeepLiveEntries(t *testing.T) {
	withOwner(t, func(t *testing.T, l *memLog, fx *fixture) {
		job := journal.Entry{Shard: testShard, Epoch: 1, Job: &journal.Job{Task: urgent(1).Task, Attempt: 7}}
		fx.committer.add([]journal.Entry{job}, nil, nil)
		time.Sleep(firstSnapshotDelay + 2*time.Second)
		entries := l.entries(t)
		assert.Equal(t, len(entries), 3)
		assert.Equal(t, entries[2].Job.Attempt, 7)
		time.Sleep(40*time.Minute - 10*time.Second)
		assert.Equal(t, len(l.entries(t)), 3)
		time.Sleep(20 * time.Second)
		assert.Assert(t, len(l.entries(t)) > 3)
	})
}
