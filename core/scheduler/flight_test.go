package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// A job of 12,000 tasks on a service with room for all of them. Guards against starts and
// stops that are all sent at once: on a small share of a core they wait for more than a
// second, after which they are not sent, and other nodes take the busy owner for dead.
func TestCommandsOfALargeJobAreSentInParts(t *testing.T) {
	const tasks = 12_000
	h := newHarness(t, 4)
	for _, f := range h.workers {
		h.scheduler.RegisterWorker(platform.RegistryEntry{
			ID: f.id, Address: f.address, Service: "desk", Domain: "north", Capacity: domain.Resources{CPUMilli: tasks, MemoryMiB: tasks}, StartedUnixMS: f.incarnation,
		}, h.now)
	}
	largest := map[CommandKind]int{}
	count := map[CommandKind]int{}
	h.delays = func(c *Command) bool {
		count[c.Kind]++
		return false
	}
	step := func() {
		clear(count)
		h.step()
		h.scheduler.RecordRenewal(h.now)
		for kind, n := range count {
			largest[kind] = max(largest[kind], n)
		}
	}
	j := singleStepJob(tasks, 1)
	j.Steps[0].Need.MemoryMiB = 1
	h.scheduler.Accept(j, h.now)
	for range 2 * tasks / maxCommandsInFlight {
		step()
	}
	assert.Equal(t, h.scheduler.Ledger().Entry(testJobID).PlacedCount(), tasks)
	h.scheduler.Cancel(testJobID, h.now)
	for range 4 * tasks / maxCommandsInFlight {
		step()
	}
	assert.Equal(t, h.scheduler.State(testJobID), job.StateCancelled)
	for _, f := range h.workers {
		assert.Equal(t, len(f.attempts), 0)
	}
	assert.Assert(t, largest[CommandStart] <= maxCommandsInFlight && largest[CommandStop] <= maxCommandsInFlight, "%v", largest)
	h.runFor(time.Second)
}

// Guards against stops of other attempts that are counted as answered but not as issued, so
// that ever more stops are in flight at a time.
func TestStopOfAnotherAttemptCountsAsInFlight(t *testing.T) {
	h := newHarness(t, 1)
	h.runFor(time.Second)
	h.scheduler.TakeCommands()
	id := job.TaskID{StepID: job.StepID{Job: testJobID}}
	h.scheduler.stopOtherAttempt(h.scheduler.Fleet().Worker(h.workers[0].id), id, 1, h.now)
	commands := h.scheduler.TakeCommands()
	assert.Equal(t, len(commands), 1)
	assert.Equal(t, h.scheduler.inFlight.stops, 1)
	h.scheduler.HandleResult(Result{Command: commands[0]}, h.now)
	assert.Equal(t, h.scheduler.inFlight.stops, 0)
}
