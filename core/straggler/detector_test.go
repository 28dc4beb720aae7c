package straggler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
)

var testStep = job.StepID{Job: "0123456789abcdef"}

// runOf returns an attempt on a worker that has worked for a part of the task's duration and
// has just made progress.
func runOf(worker string, took, elapsed, predicted time.Duration) Run {
	return Run{
		Task: job.TaskID{StepID: testStep}, Worker: domain.WorkerID(worker), Elapsed: elapsed, Duration: took,
		Remaining: took - elapsed, Redo: 1, Predicted: predicted,
	}
}

func hung(r Run, standstill time.Duration) Run {
	r.Standstill = standstill
	return r
}

// Guards against attempts that are given up on an estimate again and again, and against slow and
// hung ones that are not found.
func TestJudge(t *testing.T) {
	const second = time.Second
	slow := runOf("w1", 40*second, 3*second, second)
	observe := func(took time.Duration, workers ...domain.WorkerID) func(*Detector) {
		return func(d *Detector) {
			for _, w := range workers {
				d.Observe(testStep, w, took)
			}
		}
	}
	givenUp := func(task int, workers ...string) func(*Detector) {
		return func(d *Detector) {
			for _, w := range workers {
				r := runOf(w, 40*second, 3*second, second)
				r.Task.Index = task
				d.GiveUp(r, Verdict{GiveUp: true})
			}
		}
	}
	bestEffort, saved := slow, slow
	bestEffort.VariableSpeed, saved.Redo = true, 0.01
	inherited := slow
	inherited.Inherited = true
	nearlyDone := runOf("w1", 40*second, 38*second, second)
	for _, c := range []struct {
		name   string
		known  func(*Detector)
		run    Run
		giveUp bool
	}{
		{"slow by its estimate", nil, slow, true},
		{"nothing known", nil, runOf("w1", 40*second, 3*second, 0), false},
		{"estimate far too long", nil, runOf("w1", 40*second, 3*second, 800*second), false},
		{"too early", nil, runOf("w1", 40*second, 800*time.Millisecond, second), false},
		{"nearly done", nil, nearlyDone, false},
		{"best-effort", nil, bestEffort, false},
		{"slow attempt of a former owner", nil, inherited, false},
		{"attempt of a former owner without progress", nil, hung(inherited, 5*second), false},
		{"hung attempt of a former owner", nil, hung(inherited, 20*second), true},
		{"a restart saves time", nil, saved, true},
		{"as long on another worker", observe(40*second, "w2"), slow, false},
		{"only this worker has shown it", observe(40*second, "w1"), slow, true},
		{"others are fast", observe(second, "w2", "w3", "w4"), runOf("w1", 40*second, 3*second, 800*second), true},
		{"few others are fast", observe(second, "w2"), runOf("w1", 40*second, 3*second, 800*second), false},
		{"given up on this worker", givenUp(0, "w1"), slow, false},
		{"given up once elsewhere", givenUp(0, "w2"), slow, true},
		{"given up twice", givenUp(0, "w2", "w3"), slow, false},
		{"other tasks given up", givenUp(1, "w2", "w3"), slow, false},
		{"hung", nil, hung(runOf("w1", 0, 2*second, second), 1600*time.Millisecond), true},
		{"hung, nothing known", nil, hung(runOf("w1", 0, 2*second, 0), 1600*time.Millisecond), true},
		{"percents take long elsewhere", observe(400*second, "w2"), hung(runOf("w1", 0, 5*second, second), 5*second), false},
		{"own percents take long", nil, hung(runOf("w1", 400*second, 20*second, 0), 5*second), false},
		{"hung again elsewhere", givenUp(0, "w2"), hung(runOf("w1", 0, 2*second, second), 1600*time.Millisecond), true},
		{"hung again here", givenUp(0, "w1"), hung(runOf("w1", 0, 2*second, second), 1600*time.Millisecond), false},
		{"hung here for long", givenUp(0, "w1"), hung(runOf("w1", 0, 20*second, second), 20*second), true},
		{"hung a third time", givenUp(0, "w2", "w3"), hung(runOf("w1", 0, 2*second, second), 1600*time.Millisecond), false},
		{"other tasks hung", givenUp(1, "w2", "w3"), hung(runOf("w1", 0, 2*second, second), 1600*time.Millisecond), false},
		{"other tasks hung, but one progresses", func(d *Detector) {
			givenUp(1, "w2", "w3")(d)
			observe(second, "w4")(d)
		}, hung(runOf("w1", 0, 2*second, second), 1600*time.Millisecond), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New()
			if c.known != nil {
				c.known(d)
			}
			v := d.Judge(c.run)
			assert.Equal(t, v.GiveUp, c.giveUp, v.Reason)
			assert.Assert(t, !v.GiveUp || c.run.MayBeGivenUp())
		})
	}
}

// Guards against a worker that is blamed again for the same step.
func TestWorkerIsBlamedOnceForAStep(t *testing.T) {
	d, r := New(), runOf("w1", 40*time.Second, 3*time.Second, time.Second)
	assert.Assert(t, d.GiveUp(r, Verdict{GiveUp: true}))
	r.Task.Index = 1
	assert.Assert(t, !d.GiveUp(r, Verdict{GiveUp: true}))
	r.Worker = "w2"
	assert.Assert(t, d.GiveUp(r, Verdict{GiveUp: true}))
	d.Forget(testStep)
	assert.Assert(t, d.GiveUp(r, Verdict{GiveUp: true}))
}

// Guards against a task that never ends: whatever its client states, however long it takes and
// whichever workers it gets, it is given up twice at most.
func TestTaskIsGivenUpAFewTimes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 300 {
		took := time.Duration(1+random.IntN(1000)) * time.Second
		predicted := time.Duration(float64(took) * []float64{0, 0.001, 0.05, 1, 20, 1000}[random.IntN(6)])
		d, workers := New(), 1+random.IntN(4)
		stops, done := 0, false
		for attempt := 0; !done && attempt < 10; attempt++ {
			worker := domain.WorkerID(fmt.Sprintf("w%d", random.IntN(workers)))
			done = runsToItsEnd(d, worker, took, predicted)
			if !done {
				stops++
			}
		}
		assert.Assert(t, done && stops <= 2, "%d: %d stops of a task of %s, predicted %s, %d workers", i, stops, took, predicted, workers)
	}
}

// runsToItsEnd judges an attempt each tenth of a second. It returns whether it ends.
func runsToItsEnd(d *Detector, worker domain.WorkerID, took, predicted time.Duration) bool {
	const tick = 100 * time.Millisecond
	percent := took / percents
	for elapsed := tick; elapsed < took; elapsed += tick {
		r := runOf(string(worker), 0, elapsed, predicted)
		r.Standstill = elapsed % percent
		if elapsed >= percent {
			r.Duration, r.Remaining = took, took-elapsed
		}
		if v := d.Judge(r); v.GiveUp {
			d.GiveUp(r, v)
			return false
		}
	}
	return true
}
