package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/fleet"
)

const (
	// handOverLimit is how long a hand-over is prepared at most.
	handOverLimit = 1800 * time.Millisecond
	// sealLimit is how long it waits after that until the leases are sealed.
	sealLimit = 300 * time.Millisecond
	// takeoverTime is the time from the release until the next owner schedules.
	takeoverTime = 300 * time.Millisecond
)

// restartLegs are the parts of the time from the loss of a worker to the restart of its
// tasks by a new owner.
type restartLegs struct {
	// lease is the longest time that a lease granted just before the loss lasts, and
	// offline the time for which the previous owner may have renewed it without the store.
	lease, offline time.Duration
	// takeover is the time from the loss to the start of the new owner, as far as the
	// lease counts from there.
	takeover time.Duration
	// round is the time until the new owner has stored and sent the start.
	round time.Duration
}

func (l restartLegs) sum() time.Duration { return l.lease + l.offline + l.takeover + l.round }

// prepareHandOver advances the owner until its hand-over is prepared and returns how
// long that took.
func (h *harness) prepareHandOver() time.Duration {
	began := h.now
	h.scheduler.PrepareHandOver(h.now)
	for h.now-began < handOverLimit {
		h.runFor(harnessStep)
		if ready, _ := h.scheduler.IsReadyToHandOver(h.now); ready {
			break
		}
	}
	return h.now - began
}

// Guards against a task of a lost worker that waits for the longest lease of a previous
// owner which was about to find out that the worker does not respond.
func TestTaskOfALostWorkerRestartsSoonAfterAChangeOfOwner(t *testing.T) {
	const round = 200 * time.Millisecond
	grantedLease := fleet.LongestLease(testSettings.Lease)
	planned := restartLegs{lease: grantedLease, takeover: takeoverTime, round: round}
	const settled = settleTime + settledOffsetInterval
	owner := New(testSettings, 1, 0, 0)
	longestLease, longestLaterLease := owner.maxLeaseDuration(), owner.maxLaterLease()
	for _, c := range []struct {
		name string
		// lostFor is how long the worker has been lost when the change begins.
		lostFor   time.Duration
		isPlanned bool
		// ranFor is how long the task has run when the worker is lost, and a second more.
		ranFor time.Duration
		legs   restartLegs
	}{
		{"just lost", 0, true, 0, planned},
		{"lost for 100 ms", 100 * time.Millisecond, true, 0, planned},
		{"as in review/3", 500 * time.Millisecond, true, 0, planned},
		{"heartbeat about to fail", 1600 * time.Millisecond, true, 0, planned},
		{"heartbeat failed", 1800 * time.Millisecond, true, 0, planned},
		{"stored", 2500 * time.Millisecond, true, 0, planned},
		{"owner ends without a release", 500 * time.Millisecond, false, settled, restartLegs{
			lease: longestLease, offline: testSettings.MaxOffline, takeover: 500 * time.Millisecond, round: round,
		}},
		{"owner ends without a release, start not settled", 500 * time.Millisecond, false, 0, restartLegs{
			lease: longestLaterLease, offline: testSettings.MaxOffline, takeover: 500 * time.Millisecond, round: round,
		}},
		{"owner ends without a release, stored", 2500 * time.Millisecond, false, 0, planned},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.heartbeatsWait = true
			f := h.startOnUnresponsiveWorker()
			f.unresponsive = false
			h.runFor(c.ranFor)
			f.unresponsive = true
			lostAt := h.now
			h.runFor(c.lostFor)
			if c.isPlanned {
				took := h.prepareHandOver()
				assert.Assert(t, took < handOverLimit, "not prepared in %v", took)
			}
			h.runSilently(takeoverTime)
			h.replaceOwner(6)
			h.runUntilStartedElsewhere(20 * time.Second)
			assert.Assert(t, h.now-lostAt <= c.legs.sum(), "%v, legs %+v", h.now-lostAt, c.legs)
		})
	}
}

// A worker is lost when the owner is about to release its claim, or has released it, in each
// case after it has responded to that owner and before it responds to the next one. Guards
// against a task that waits as if the former owner had granted leases after its release, and
// against one that starts again while the lost worker still runs it.
func TestTaskOfAWorkerLostAroundTheReleaseRestartsSoon(t *testing.T) {
	const round = 200 * time.Millisecond
	for _, c := range []struct {
		name string
		// lostBefore is how long before the leases are sealed the worker is lost, and
		// lostAfter how long after the release.
		lostBefore, lostAfter time.Duration
	}{
		{"before the leases are sealed", harnessStep, 0},
		{"as they are sealed", 0, 0},
		{"after the release", 0, takeoverTime / 2},
	} {
		for _, runsOn := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, runs on %v", c.name, runsOn), func(t *testing.T) {
				h := newHarness(t, 2)
				h.heartbeatsWait = true
				f := h.startOnUnresponsiveWorker()
				f.unresponsive = false
				h.runFor(3 * time.Second)
				h.prepareHandOver()
				lose := func() {
					f.unresponsive = true
					if !runsOn {
						clear(f.attempts)
					}
				}
				if c.lostAfter == 0 {
					lose()
				}
				h.runFor(c.lostBefore)
				h.scheduler.SealLeases()
				for began := h.now; !h.scheduler.AreLeasesSealed(); h.runFor(harnessStep) {
					assert.Assert(t, h.now-began < sealLimit)
				}
				h.runSilently(c.lostAfter)
				lose()
				lostAt := h.now
				h.runSilently(takeoverTime - c.lostAfter)
				h.replaceOwner(6)
				for h.startCount(firstTaskID) < 2 {
					h.runFor(harnessStep)
					assert.Assert(t, len(h.workersRunning(firstTaskID)) < 2, "two runs after %v", h.now-lostAt)
					assert.Assert(t, h.now-lostAt <= fleet.LongestLease(testSettings.Lease)+takeoverTime+round, "%v", h.now-lostAt)
				}
			})
		}
	}
}

// Guards against an owner that grants a lease, or starts a task, after it has stored for the
// next one when all leases end.
func TestSealedOwnerGrantsNoLease(t *testing.T) {
	h := newHarness(t, 2)
	j := singleStepJob(2, 3000)
	j.Steps[0].LongRunning = true
	h.scheduler.Accept(j, h.now)
	h.runFor(time.Second)
	h.prepareHandOver()
	h.scheduler.SealLeases()
	h.runFor(100 * time.Millisecond)
	assert.Assert(t, h.scheduler.AreLeasesSealed())
	leases := []time.Duration{h.workers[0].leaseUntil, h.workers[1].leaseUntil}
	later := singleStepJob(1, 100)
	later.ID = otherJobID
	h.scheduler.Accept(later, h.now)
	h.runFor(time.Second)
	assert.DeepEqual(t, []time.Duration{h.workers[0].leaseUntil, h.workers[1].leaseUntil}, leases)
	assert.Equal(t, h.startCount(string(otherJobID)+".0.0.0"), 0)
	h.replaceOwner(6)
	h.runFor(time.Second)
	for i, f := range h.workers {
		assert.Assert(t, f.leaseUntil > leases[i] && len(f.attempts) > 0)
	}
	assert.Equal(t, h.startCount(firstTaskID), 1)
	assert.Equal(t, h.startCount(string(otherJobID)+".0.0.0"), 1)
}

// runSilently advances the workers while there is no owner.
func (h *harness) runSilently(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += harnessStep
		for _, f := range h.workers {
			f.advance(harnessStep)
		}
	}
}

// Guards against a hand-over that waits for workers without attempts, or for those that
// respond, and against one that is ready before the bounds of a worker are stored.
func TestHandOverIsReadyOnceEachWorkerRespondsOrHasAStoredBound(t *testing.T) {
	for _, c := range []struct {
		name string
		// lost is the number of workers that are lost, the one with the task first.
		lost      int
		storeDown bool
		ready     bool
	}{
		{"all respond", 0, false, true},
		{"all respond, no store", 0, true, true},
		{"one is lost", 1, false, true},
		{"all are lost", 2, false, true},
		{"one is lost, no store", 1, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.scheduler.Accept(singleStepJob(1, 1000), h.now)
			h.runFor(time.Second)
			first := h.workersRunning(firstTaskID)[0]
			for _, f := range h.workers {
				f.unresponsive = c.lost == 2 || c.lost == 1 && f == first
			}
			h.runFor(500 * time.Millisecond)
			h.storeDown = c.storeDown
			took := h.prepareHandOver()
			ready, _ := h.scheduler.IsReadyToHandOver(h.now)
			assert.Equal(t, ready, c.ready, "after %v", took)
			if c.ready && c.lost > 0 {
				assert.Assert(t, h.scheduler.LeaseWait(h.now).Bounded == 1)
			}
		})
	}
}

// Guards against an owner that gives a worker a lease after it has stored a bound for a
// hand-over, because the worker responds again: the next owner relies on the bound.
func TestWorkerThatReturnsDuringAHandOverKeepsItsBound(t *testing.T) {
	h := newHarness(t, 2)
	f := h.startOnUnresponsiveWorker()
	h.prepareHandOver()
	assert.Equal(t, h.scheduler.LeaseWait(h.now).Bounded, 1)
	h.storeDown, f.unresponsive = true, false
	before := f.leaseUntil
	h.runFor(time.Second)
	assert.Equal(t, f.leaseUntil, before)
	h.replaceOwner(6)
	h.storeDown = false
	h.runFor(3 * time.Second)
	assert.Equal(t, h.startCount(firstTaskID), 1)
	assert.Assert(t, f.leaseUntil > before)
}

// A worker is lost after it has responded to the preparing owner, which waits for another
// one. Guards against a hand-over that counts it as responding.
func TestHandOverNoticesALossDuringThePreparation(t *testing.T) {
	h := newHarness(t, 3)
	h.heartbeatsWait = true
	h.scheduler.Accept(singleStepJob(2, 3000), h.now)
	h.runFor(2 * time.Second)
	running := slices.DeleteFunc(slices.Clone(h.workers), func(f *fakeWorker) bool { return len(f.attempts) == 0 })
	assert.Equal(t, len(running), 2)
	h.now += harnessStep
	h.scheduler.PrepareHandOver(h.now)
	ready, unknown := h.scheduler.IsReadyToHandOver(h.now)
	assert.Assert(t, !ready && unknown == 2, "no worker has responded since")
	running[0].unresponsive = true
	h.runFor(500 * time.Millisecond)
	running[1].unresponsive = true
	for began := h.now; !ready; ready, _ = h.scheduler.IsReadyToHandOver(h.now) {
		assert.Assert(t, h.now-began < 2*time.Second)
		h.runFor(harnessStep)
	}
	assert.Equal(t, h.scheduler.LeaseWait(h.now).Bounded, 2)
}

// Guards against workers that wait for a completion for so long that a loss during the
// preparation goes unnoticed, and against heartbeats that overload the owner of a large
// fleet.
func TestHeartbeatsWaitLessDuringAHandOver(t *testing.T) {
	for _, c := range []struct {
		workers int
		longest time.Duration
	}{{1, 260 * time.Millisecond}, {100, 500 * time.Millisecond}, {1000, testSettings.HeartbeatWait}} {
		h := newHarness(t, c.workers)
		h.scheduler.Accept(singleStepJob(c.workers, 3000), h.now)
		h.runFor(time.Second)
		h.scheduler.PrepareHandOver(h.now)
		h.delays = func(c *Command) bool { return c.Kind == CommandHeartbeat }
		h.runFor(100 * time.Millisecond)
		assert.Equal(t, len(h.delayed), c.workers)
		for _, command := range h.delayed {
			assert.Assert(t, command.Heartbeat.Wait <= c.longest && command.Heartbeat.Wait > c.longest*9/10, "%v", command.Heartbeat.Wait)
		}
	}
}

// Guards against the tasks of a lost worker that wait for a later incarnation which only
// another start, in progress at the change of owner, may have reached.
func TestStartInProgressDelaysNoOtherTaskOfALostWorker(t *testing.T) {
	h := newHarnessWith(t, 2, longLimitSettings())
	h.heartbeatsWait = true
	f := h.startOnUnresponsiveWorker()
	f.unresponsive = false
	h.runFor(settleTime + settledOffsetInterval)
	other := singleStepJob(8, 100)
	other.ID = "00000000000000bb"
	other.Steps[0].RequiredLabel = h.onlyKind(f)
	h.delays = func(c *Command) bool { return c.Kind == CommandStart && c.Task.Job == other.ID }
	h.scheduler.Accept(other, h.now)
	h.runUntil(func() bool { return len(h.delayed) > 0 })
	f.unresponsive = true
	lostAt := h.now
	h.runFor(500 * time.Millisecond)
	h.prepareHandOver()
	h.runSilently(takeoverTime)
	h.replaceOwner(6)
	h.runUntilStartedElsewhere(20 * time.Second)
	limit := fleet.LongestLease(testSettings.Lease) + handOverLimit + takeoverTime + time.Second
	assert.Assert(t, h.now-lostAt <= limit, "%v", h.now-lostAt)
}
