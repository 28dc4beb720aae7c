package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// silence is a worker that does not answer for a while.
type silence struct {
	duration fleet.Instant
	// oneWay: the worker carries out the commands, but its answers are lost.
	oneWay bool
	// crash: the worker restarts at the start of the silence.
	crash bool
}

func silences() []silence {
	var out []silence
	for _, seconds := range []int{2, 4, 6, 8} {
		for _, oneWay := range []bool{false, true} {
			for _, crash := range []bool{false, true} {
				out = append(out, silence{time.Duration(seconds) * time.Second, oneWay, crash})
			}
		}
	}
	return out
}

// runSilence lets a worker be silent. It checks at each step that no task runs twice, and
// calls during in the middle of the silence.
func (h *harness) runSilence(f *fakeWorker, s silence, during func()) {
	h.t.Helper()
	f.unresponsive, f.dropResults = !s.oneWay, s.oneWay
	if s.crash {
		f.restart(time.Second)
	}
	end := h.now + s.duration
	for h.now < end {
		if during != nil && h.now >= end-s.duration/2 {
			during()
			during = nil
		}
		h.runFor(harnessStep)
		assert.Assert(h.t, len(h.workersRunning(firstTaskID)) <= 1, "%v into the silence", s.duration-(end-h.now))
	}
	f.unresponsive, f.dropResults = false, false
	h.register(f)
	for range 250 {
		h.runFor(harnessStep)
		assert.Assert(h.t, len(h.workersRunning(firstTaskID)) <= 1)
	}
}

// Guards against work of a worker that was only silent for a while being started again
// elsewhere or given up, and against work of a worker that crashed meanwhile being lost.
func TestSilentWorkerKeepsItsWorkUntilItsLeaseIsOver(t *testing.T) {
	for _, s := range silences() {
		t.Run(fmt.Sprintf("%v one way %v crash %v", s.duration, s.oneWay, s.crash), func(t *testing.T) {
			h := newHarness(t, 2)
			j := singleStepJob(1, 1000)
			j.Steps[0].LongRunning = true
			h.scheduler.Accept(j, h.now)
			h.runFor(time.Second)
			h.runSilence(h.workersRunning(firstTaskID)[0], s, nil)
			assert.Equal(t, len(h.workersRunning(firstTaskID)), 1)
			if s.duration <= 4*time.Second && !s.crash {
				assert.Equal(t, h.startCount(firstTaskID), 1)
			}
		})
	}
}

// A task ends while its worker is silent. Guards against running it again, and against
// counting its end twice.
func TestEndDuringASilenceCountsOnce(t *testing.T) {
	for _, s := range silences() {
		if s.crash || s.duration > 4*time.Second {
			continue // The end is lost, or the lease is over, so the task runs again.
		}
		t.Run(fmt.Sprintf("%v one way %v", s.duration, s.oneWay), func(t *testing.T) {
			h := newHarness(t, 2)
			h.scheduler.Accept(singleStepJob(1, 1000), h.now)
			h.runFor(600 * time.Millisecond)
			f := h.workersRunning(firstTaskID)[0]
			h.runSilence(f, s, func() { f.finish(firstTaskID, platform.CompletionDone) })
			assert.Equal(t, h.startCount(firstTaskID), 1)
			assert.Equal(t, h.scheduler.State(testJobID), job.StateCompleted)
			assert.Equal(t, h.scheduler.Counters.Done, int64(1))
		})
	}
}
