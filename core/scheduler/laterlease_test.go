package scheduler

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/fleet"
)

// startUnnoticed places the first task on the first worker, which restarts before the start
// and a heartbeat with a lease reach it. It returns both commands.
func (h *harness) startUnnoticed() (start, heartbeat *Command) {
	h.t.Helper()
	h.runFor(2 * time.Second)
	f := h.workers[0]
	j := singleStepJob(1, 1000)
	j.Steps[0].RequiredLabel = h.onlyKind(f)
	h.delays = func(c *Command) bool {
		return c.Worker == f.id && (c.Kind == CommandStart || c.Kind == CommandHeartbeat && c.Heartbeat.Until > 0)
	}
	h.scheduler.Accept(j, h.now)
	h.runUntil(func() bool {
		for _, c := range h.delayed {
			if c.Kind == CommandStart {
				start = c
			} else {
				heartbeat = c
			}
		}
		return start != nil && heartbeat != nil
	})
	h.unanswered[heartbeat] = h.now + commandTimeout
	f.restart(time.Second)
	return start, heartbeat
}

// A worker restarts unnoticed and carries out a start that is answered, and within the
// time of a call a heartbeat that was meant for its former incarnation. Guards against
// counting the longest lease from the answer to the start.
func TestHeartbeatToAFormerIncarnationAfterAConfirmedStart(t *testing.T) {
	h := newHarnessWith(t, 2, longLimitSettings())
	start, heartbeat := h.startUnnoticed()
	f := h.workers[0]
	result, ok := f.execute(start)
	assert.Assert(t, ok && result.Err == nil)
	h.scheduler.HandleResult(result, h.now)
	h.cutOffAndAllowElsewhere(f)
	h.runFor(commandTimeout - 2*harnessStep)
	f.unresponsive = false
	_, _ = f.execute(heartbeat)
	f.unresponsive = true
	h.checkRunsOnceAfterLoss(3 * longLimitSettings().LeaseLimit)
}

// Two tasks are started on a worker that has restarted unnoticed. The first start is
// confirmed; the second gets no answer, and takes effect later. Guards against counting the
// longest lease of the first task from its own answer.
func TestUnansweredStartExtendsTheLeaseOfAConfirmedOne(t *testing.T) {
	h := newHarnessWith(t, 2, longLimitSettings())
	h.runFor(2 * time.Second)
	f := h.workers[0]
	j := singleStepJob(2, 1000)
	j.Steps[0].RequiredLabel = h.onlyKind(f)
	h.delays = func(c *Command) bool { return c.Worker == f.id }
	var starts []*Command
	h.scheduler.Accept(j, h.now)
	h.runUntil(func() bool {
		starts = slices.DeleteFunc(slices.Clone(h.delayed), func(c *Command) bool { return c.Kind != CommandStart })
		return len(starts) == 2
	})
	if starts[0].Start.Task != firstTaskID {
		slices.Reverse(starts)
	}
	f.restart(time.Second)
	result, _ := f.execute(starts[0])
	h.scheduler.HandleResult(result, h.now)
	h.unanswered[starts[1]] = h.now + commandTimeout
	h.cutOffAndAllowElsewhere(f)
	h.runFor(commandTimeout - 2*harnessStep)
	f.unresponsive = false
	_, _ = f.execute(starts[1])
	f.unresponsive = true
	h.checkRunsOnceAfterLoss(3 * longLimitSettings().LeaseLimit)
}

// Guards against a next owner that releases tasks on one of many workers with long leases,
// which share one bound, before that lease has expired.
func TestManyLongLeasesAreHandedOver(t *testing.T) {
	for _, n := range []int{maxLongLeases - 1, maxLongLeases, maxLongLeases + 1, 3 * maxLongLeases} {
		h := newHarnessWith(t, n, longLimitSettings())
		h.scheduler.Accept(singleStepJob(n, 3000), h.now)
		h.runUntil(func() bool { return h.startedCount() == n })
		ends := map[string]time.Duration{}
		for _, w := range h.scheduler.Fleet().All() {
			ends[string(w.ID)] = w.Lease.LatestEnd()
		}
		h.previousOwnerEnded = true
		h.replaceOwner(6)
		for _, w := range h.scheduler.Fleet().All() {
			assert.Assert(t, w.Lease.LatestEnd() >= ends[string(w.ID)], "%d workers, %s: %v, before %v", n, w.ID, w.Lease.LatestEnd(), ends[string(w.ID)])
		}
	}
}

// startedCount returns how many attempts the workers have started.
func (h *harness) startedCount() int {
	n := 0
	for _, f := range h.workers {
		n += len(f.started)
	}
	return n
}

// Guards against a long lease that a restarted owner counts again from its own start,
// although it expired long ago.
func TestExpiredLongLeaseDelaysNoTask(t *testing.T) {
	h := newHarnessWith(t, 2, longLimitSettings())
	f := h.workers[0]
	h.runFor(100 * time.Millisecond)
	j := singleStepJob(1, 1000)
	j.Steps[0].RequiredLabel, j.Steps[0].LongRunning = h.onlyKind(f), true
	h.scheduler.Accept(j, h.now)
	h.runFor(time.Minute)
	assert.Equal(t, h.startCount(firstTaskID), 1)
	h.cutOffAndAllowElsewhere(f)
	lostAt := h.now
	h.previousOwnerEnded = true
	h.leaseBoundsAt = h.now // The next process reads the record when it starts.
	s := h.replaceOwner(6)
	h.runUntil(func() bool { return h.startCount(firstTaskID) > 1 })
	assert.Assert(t, h.now-lostAt <= s.maxLeaseDuration()+200*time.Millisecond, "%v", h.now-lostAt)
}

// Guards against taking the registry entry of a former incarnation, whose start time is
// later because the time of day was set back, for that of a newer one.
func TestLateEntryOfAFormerIncarnationWithALaterStartTime(t *testing.T) {
	h := newIdleHarness(t, 2)
	f := h.workers[0]
	f.incarnation = 100
	f.restart(time.Second)
	h.register(f)
	h.runFor(2 * time.Second)
	former := f.incarnation
	j := singleStepJob(1, 1000)
	j.Steps[0].RequiredLabel = h.onlyKind(f)
	h.delays = func(c *Command) bool { return c.Worker == f.id && c.Kind == CommandStart }
	h.scheduler.Accept(j, h.now)
	h.runUntil(func() bool { return len(h.delayed) > 0 })
	h.delays = nil
	f.restart(time.Second)
	f.incarnation = former - 10
	result, _ := f.execute(h.delayed[0])
	h.scheduler.HandleResult(result, h.now)
	h.runFor(500 * time.Millisecond)
	assert.Equal(t, len(h.workersRunning(firstTaskID)), 1)
	other := h.workers[1]
	other.kind = f.kind
	h.register(other)
	now := f.incarnation
	f.incarnation = former
	h.register(f)
	f.incarnation = now
	for range 100 {
		h.runFor(harnessStep)
		assert.Assert(t, len(h.workersRunning(firstTaskID)) <= 1)
	}
}

// The bound of the worker is stored before the heartbeat to its former incarnation, which
// may wait, takes effect. Guards against a next owner that relies on that bound.
func TestStoredBoundCoversAHeartbeatInProgress(t *testing.T) {
	for _, c := range ownerChanges {
		t.Run(c.name, func(t *testing.T) {
			h := newHarnessWith(t, 2, longLimitSettings())
			start, heartbeat := h.startUnnoticed()
			f := h.workers[0]
			failsAt := heartbeat.IssuedAt + heartbeat.Heartbeat.Wait + commandTimeout
			h.unanswered[heartbeat] = failsAt
			result, ok := f.execute(start)
			assert.Assert(t, ok && result.Err == nil)
			h.scheduler.HandleResult(result, h.now)
			h.cutOffAndAllowElsewhere(f)
			h.runFor(failsAt - h.now - 2*harnessStep)
			f.unresponsive = false
			_, _ = f.execute(heartbeat)
			f.unresponsive = true
			h.runFor(4 * harnessStep)
			h.changeOwner(c)
			h.checkRunsOnceAfterLoss(2*testSettings.MaxOffline + 2*longLimitSettings().LeaseLimit)
		})
	}
}

// A worker with a start in progress misses a heartbeat while a hand-over is prepared, so
// its bound is stored at once. Its next incarnation carries the start out within the time
// of a call. Guards against a stored bound that the start outlasts.
func TestStoredBoundCoversAStartInProgress(t *testing.T) {
	h := newHarnessWith(t, 2, longLimitSettings())
	start, heartbeat := h.startUnnoticed()
	f := h.workers[0]
	f.slow = true
	h.unanswered[start] = start.IssuedAt + commandTimeout
	h.unanswered[heartbeat] = h.now + harnessStep
	h.cutOffAndAllowElsewhere(f)
	h.scheduler.PrepareHandOver(h.now)
	h.runFor(start.IssuedAt + commandTimeout - harnessStep - h.now)
	f.unresponsive = false
	_, _ = f.execute(start)
	f.unresponsive = true
	h.replaceOwner(6)
	h.checkRunsOnceAfterLoss(2*testSettings.MaxOffline + 2*longLimitSettings().LeaseLimit)
}

// A start is carried out seconds after its call was given up, by an incarnation of its
// worker that is registered and does not respond. Guards against counting the longest lease
// from the notice of the restart.
func TestLateStartOnARegisteredIncarnation(t *testing.T) {
	for _, c := range ownerChanges {
		t.Run(c.name, func(t *testing.T) {
			h := newHarnessWith(t, 2, longLimitSettings())
			start, _ := h.startUnnoticed()
			f := h.workers[0]
			h.unanswered[start] = start.IssuedAt + commandTimeout
			h.cutOffAndAllowElsewhere(f)
			h.runFor(commandTimeout)
			h.register(f)
			h.runFor(start.IssuedAt + maxOrderDelay - h.now)
			f.unresponsive = false
			_, _ = f.execute(start)
			f.unresponsive = true
			assert.Equal(t, h.startCount(firstTaskID), 1)
			h.changeOwner(c)
			h.checkRunsOnceAfterLoss(3*longLimitSettings().LeaseLimit + maxOrderDelay)
		})
	}
}

// A start is carried out seconds after its call was given up, by the next incarnation of
// its worker that is not registered. Guards against counting the longest lease from the end
// of the call.
func TestLateStartOnTheNextIncarnation(t *testing.T) {
	for _, late := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			h := newHarnessWith(t, 2, longLimitSettings())
			start, _ := h.startUnnoticed()
			f := h.workers[0]
			h.unanswered[start] = start.IssuedAt + commandTimeout
			h.cutOffAndAllowElsewhere(f)
			h.runFor(commandTimeout + late)
			f.unresponsive = false
			_, _ = f.execute(start)
			f.unresponsive = true
			assert.Equal(t, h.startCount(firstTaskID), 1)
			h.checkRunsOnceAfterLoss(3 * longLimitSettings().LeaseLimit)
		})
	}
}

// Guards against a wait for late orders that goes on after the worker has answered, which
// ends their effect.
func TestAnswerOfARegisteredIncarnationEndsTheWaitForLateOrders(t *testing.T) {
	h := newHarnessWith(t, 2, longLimitSettings())
	start, _ := h.startUnnoticed()
	f := h.workers[0]
	h.unanswered[start] = start.IssuedAt + commandTimeout
	f.unresponsive = true
	h.runFor(commandTimeout)
	h.register(f)
	w := h.scheduler.Fleet().Worker(f.id)
	longest := fleet.LongestLease(longLimitSettings().LeaseLimit)
	assert.Assert(t, w.Lease.Remaining(h.now) > longest)
	f.unresponsive = false
	h.runUntil(func() bool { return w.HeartbeatAnswered })
	assert.Assert(t, w.Lease.Remaining(h.now) <= longest)
}
