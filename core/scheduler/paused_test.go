package scheduler

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/fleet"
)

// A worker that the next owner cannot reach keeps the old owner's lease. The next owner
// waits until the longest lease that an owner without the store can have given has
// expired, so an owner that was paused for longer must not start anything there.

// takeStarts advances the scheduler and returns the start commands that it issues.
func (h *harness) takeStarts() []*Command {
	var starts []*Command
	for _, command := range h.scheduler.TakeCommands() {
		if command.Kind == CommandStart {
			starts = append(starts, command)
		}
	}
	return starts
}

// paused is an owner that is paused after it has sent a heartbeat and appended the
// placement of a task.
type paused struct {
	*harness
	batch *Batch
	// since is when the batch was sent, and heartbeat the command that has no result yet.
	since     fleet.Instant
	heartbeat *Command
}

func newPaused(t *testing.T) *paused {
	t.Helper()
	p := &paused{harness: newHarness(t, 1)}
	p.runFor(10 * harnessStep)
	for p.heartbeat == nil {
		p.now += harnessStep
		p.scheduler.Advance(p.now, p.now.Milliseconds())
		for _, command := range p.scheduler.TakeCommands() {
			p.heartbeat = command
		}
	}
	p.scheduler.Accept(singleStepJob(1, 1000), p.now)
	p.now += harnessStep
	p.scheduler.Advance(p.now, p.now.Milliseconds())
	var err error
	p.batch, err = p.scheduler.TakeBatch(p.now)
	assert.NilError(t, err)
	assert.Equal(t, len(p.batch.starts), 1)
	p.since = p.now
	return p
}

// wake handles what arrived before and during the pause: the result of the heartbeat,
// which makes the worker look responsive, and the store's answer.
func (p *paused) wake(pause fleet.Instant) {
	p.now = p.since + pause
	result, _ := p.workers[0].execute(p.heartbeat)
	p.scheduler.HandleResult(result, p.now)
	p.scheduler.Stored(p.batch, p.since, p.now)
}

// The process is paused between the store's answer and the start.
func TestPausedOwnerStartsNothingAfterItsPermissionHasRunOut(t *testing.T) {
	for _, c := range []struct {
		pause  fleet.Instant
		starts int
	}{{testSettings.MaxOffline / 2, 1}, {testSettings.MaxOffline, 0}, {10 * testSettings.MaxOffline, 0}} {
		h := newPaused(t)
		h.wake(c.pause)
		assert.Equal(t, len(h.takeStarts()), c.starts, "%v", c.pause)
	}
}

// The process is paused while a start has no answer.
func TestPausedOwnerRepeatsNoStartAfterItsPermissionHasRunOut(t *testing.T) {
	for _, c := range []struct {
		pause   fleet.Instant
		repeats int
	}{{testSettings.MaxOffline / 2, 1}, {testSettings.MaxOffline, 0}} {
		h := newPaused(t)
		h.wake(0)
		starts := h.takeStarts()
		assert.Equal(t, len(starts), 1)
		h.scheduler.HandleResult(Result{Command: starts[0], Err: errors.New("no answer")}, h.since+c.pause)
		assert.Equal(t, len(h.takeStarts()), c.repeats, "%v", c.pause)
	}
}

// The placement that was not started is free for a later round.
func TestPlacementOfPausedOwnerIsReleased(t *testing.T) {
	h := newPaused(t)
	h.wake(testSettings.MaxOffline)
	assert.Equal(t, h.scheduler.Ledger().Entry(testJobID).PlacedCount(), 0)
	h.scheduler.RecordRenewal(h.now)
	h.runFor(harnessStep * 100)
	assert.Equal(t, h.startCount(firstTaskID), 1)
}
