package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longLimitSettings are for workers that grant a much longer lease than an owner asks for.
// A command to a former incarnation makes the next one grant the longest lease, because
// its end is a time on another clock.
func longLimitSettings() Settings {
	s := testSettings
	s.LeaseLimit = 10 * time.Second
	return s
}

// formerClock is the clock of the workers before they restart.
const formerClock = time.Hour

// restartWithFormerLease restarts a worker, whose next incarnation carries out a heartbeat
// that was meant for the former, without an answer.
func (h *harness) restartWithFormerLease(f *fakeWorker, clock time.Duration) {
	h.t.Helper()
	h.delays = func(c *Command) bool {
		return c.Worker == f.id && c.Kind == CommandHeartbeat && c.Heartbeat.Until > 0 && len(h.delayed) == 0
	}
	h.runUntil(func() bool { return len(h.delayed) > 0 })
	f.restart(clock)
	_, _ = f.execute(h.delayed[0])
	h.runFor(100 * time.Millisecond)
	h.register(f)
	h.runFor(500 * time.Millisecond)
}

// runUntil runs until the condition is met.
func (h *harness) runUntil(condition func() bool) {
	h.t.Helper()
	for end := h.now + time.Minute; !condition(); {
		h.runFor(harnessStep)
		assert.Assert(h.t, h.now < end)
	}
}

// checkRunsOnceAfterLoss checks that the first task starts again within the time, and not
// while its former attempt runs.
func (h *harness) checkRunsOnceAfterLoss(within time.Duration) {
	h.t.Helper()
	for end := h.now + within; h.startCount(firstTaskID) < 2; {
		h.runFor(harnessStep)
		assert.Assert(h.t, len(h.workersRunning(firstTaskID)) <= 1, "two runs, %v before the limit", end-h.now)
		assert.Assert(h.t, h.now < end, "not started again within %v", within)
	}
}

// ownerChange is how the owner is replaced.
type ownerChange struct {
	name string
	// replaced is false if the owner stays. ended is true if its process is known to have
	// ended, and handsOver is true if it prepares the change.
	replaced, ended, handsOver bool
}

var ownerChanges = []ownerChange{
	{name: "same owner"},
	{name: "ended owner", replaced: true, ended: true},
	{name: "owner that may be alive", replaced: true},
	{name: "hand-over", replaced: true, handsOver: true},
}

func (h *harness) changeOwner(c ownerChange) {
	if c.handsOver {
		h.scheduler.PrepareHandOver(h.now)
		h.runFor(harnessStep)
	}
	if c.replaced {
		h.previousOwnerEnded = c.ended
		h.replaceOwner(6)
	}
}

// Guards against a second run of a task whose worker had restarted before it was placed
// there, and holds the longest lease because of a command to its former incarnation.
func TestTaskOnARestartedWorkerOutlastsAFormerLease(t *testing.T) {
	clocks := map[string]time.Duration{"lower clock": time.Second, "higher clock": 2 * formerClock}
	for name, clock := range clocks {
		for _, c := range ownerChanges {
			t.Run(name+", "+c.name, func(t *testing.T) {
				h := newHarnessWith(t, 2, longLimitSettings())
				h.runFor(2 * time.Second)
				h.restartWithFormerLease(h.workers[0], clock)
				j := singleStepJob(1, 1000)
				j.Steps[0].RequiredLabel = h.onlyKind(h.workers[0])
				h.scheduler.Accept(j, h.now)
				h.runFor(200 * time.Millisecond)
				assert.Equal(t, h.startCount(firstTaskID), 1)
				h.cutOffAndAllowElsewhere(h.workers[0])
				h.changeOwner(c)
				h.checkRunsOnceAfterLoss(2*testSettings.MaxOffline + 2*longLimitSettings().LeaseLimit)
			})
		}
	}
}

// Guards against a second run of a task whose start was carried out by an incarnation
// that nobody has noticed, when the owner ends before the start has a result.
func TestStartOnAnUnnoticedIncarnationOutlastsTheOwner(t *testing.T) {
	for _, c := range ownerChanges {
		t.Run(c.name, func(t *testing.T) {
			h := newHarnessWith(t, 2, longLimitSettings())
			h.runFor(2 * time.Second)
			f := h.workers[0]
			j := singleStepJob(1, 1000)
			j.Steps[0].RequiredLabel = h.onlyKind(f)
			h.delays = func(c *Command) bool { return c.Kind == CommandStart && c.Worker == f.id }
			h.scheduler.Accept(j, h.now)
			h.runUntil(func() bool { return len(h.delayed) > 0 })
			f.restart(time.Second)
			_, _ = f.execute(h.delayed[0])
			assert.Equal(t, h.startCount(firstTaskID), 1)
			h.unanswered[h.delayed[0]] = h.now + commandTimeout
			h.cutOffAndAllowElsewhere(f)
			h.changeOwner(c)
			h.checkRunsOnceAfterLoss(2*testSettings.MaxOffline + 2*longLimitSettings().LeaseLimit)
		})
	}
}

// Guards against a second run of a task that a new owner has placed on a worker whose
// restart the previous owner had not noticed.
func TestTaskOfANewOwnerOutlastsALeaseOfThePreviousOwner(t *testing.T) {
	for _, c := range ownerChanges {
		t.Run(c.name, func(t *testing.T) {
			h := newHarnessWith(t, 2, longLimitSettings())
			h.runFor(2 * time.Second)
			f := h.workers[0]
			h.delays = func(c *Command) bool {
				return c.Worker == f.id && c.Kind == CommandHeartbeat && c.Heartbeat.Until > 0 && len(h.delayed) == 0
			}
			h.runUntil(func() bool { return len(h.delayed) > 0 })
			f.restart(time.Second)
			_, _ = f.execute(h.delayed[0])
			h.previousOwnerEnded = true
			h.replaceOwner(6)
			j := singleStepJob(1, 1000)
			j.Steps[0].RequiredLabel = h.onlyKind(f)
			h.scheduler.Accept(j, h.now)
			h.runUntil(func() bool { return h.startCount(firstTaskID) > 0 })
			h.cutOffAndAllowElsewhere(f)
			if c.replaced {
				h.previousOwnerEnded = c.ended
				h.replaceOwner(7)
			}
			h.checkRunsOnceAfterLoss(2*testSettings.MaxOffline + 2*longLimitSettings().LeaseLimit)
		})
	}
}

// Guards against releasing a task that the next incarnation of its worker has started
// and confirmed, and whose clock shows about as much as that of the former would.
func TestStartConfirmedByALaterIncarnationIsNotReleased(t *testing.T) {
	for _, ahead := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
		t.Run(ahead.String(), func(t *testing.T) {
			h := newIdleHarness(t, 2)
			for _, f := range h.workers {
				f.restart(f.clock + ahead)
			}
			h.scheduler.Accept(singleStepJob(1, 1000), h.now)
			h.runOnce(2 * time.Second)
		})
	}
}

// onlyKind gives a worker a kind that no other has, and returns it.
func (h *harness) onlyKind(f *fakeWorker) string {
	f.kind = "only"
	h.register(f)
	return f.kind
}

// cutOffAndAllowElsewhere cuts a worker off and gives the others its kind.
func (h *harness) cutOffAndAllowElsewhere(f *fakeWorker) {
	f.unresponsive = true
	for _, other := range h.workers {
		if other != f {
			other.kind = f.kind
			h.register(other)
		}
	}
	h.delays = nil
}
