package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// shortRun runs jobs of tasks that need a core for a second on a harness.
type shortRun struct {
	*harness
	startedAt  map[string]time.Duration
	acceptedAt map[job.ID]time.Duration
	finishedAt map[job.ID]time.Duration
}

func newShortRun(t *testing.T, workers int, accounts []account.Account) *shortRun {
	r := &shortRun{harness: newHarness(t, workers), startedAt: map[string]time.Duration{}, acceptedAt: map[job.ID]time.Duration{}, finishedAt: map[job.ID]time.Duration{}}
	r.scheduler.SetConfig(&platform.OperatorConfig{
		Version: 2, Routes: []platform.Route{{Queue: testQueue}}, HasAccounts: accounts != nil, Accounts: accounts,
	})
	r.runFor(500 * time.Millisecond)
	return r
}

func (r *shortRun) accept(account string, tasks int) job.ID {
	j := singleStepJob(tasks, 1000)
	j.ID, j.Account = job.ID(fmt.Sprintf("%016x", len(r.acceptedAt))), account
	r.acceptedAt[j.ID] = r.now
	r.scheduler.Accept(j, r.now)
	return j.ID
}

func (r *shortRun) advance() {
	for _, f := range r.workers {
		for _, task := range slices.Sorted(maps.Keys(f.attempts)) {
			if _, ok := r.startedAt[task]; !ok {
				r.startedAt[task] = r.now
			}
			if r.now-r.startedAt[task] >= time.Second {
				f.finish(task, platform.CompletionDone)
			}
		}
	}
	r.runFor(harnessStep)
	for id := range r.acceptedAt {
		if _, ok := r.finishedAt[id]; !ok && r.scheduler.State(id) == job.StateCompleted {
			r.finishedAt[id] = r.now
		}
	}
}

// runBurst runs jobs of uneven size for 15 s, at the given multiple of the capacity from
// 2 s to 8 s. It returns the share that finishes within the objective.
func (r *shortRun) runBurst(factor float64) float64 {
	due := 0.0
	for round := range 1000 {
		rate := 0.5
		if round >= 100 && round < 400 {
			rate = factor
		}
		for due += rate * workerCores * float64(len(r.workers)) * harnessStep.Seconds(); due >= 8 && round < 750; due -= 8 {
			r.accept("", []int{4, 14, 6, 10, 6}[len(r.acceptedAt)%5])
		}
		r.advance()
	}
	onTime := 0
	for id, accepted := range r.acceptedAt {
		finished, ok := r.finishedAt[id]
		assert.Check(r.t, ok, "job %s did not finish", id)
		if ok && finished-accepted <= singleStepJob(1, 1).LatencyObjective(testQueue) {
			onTime++
		}
	}
	return float64(onTime) / float64(len(r.acceptedAt))
}

// Short jobs with reserved capacity at 1.7 times the capacity. Guards against a burst in
// which most jobs finish late, against deferred jobs that never run, and against deferred
// jobs while there is capacity for all.
func TestShortJobsAreDeferredOnlyUnderOverload(t *testing.T) {
	r := newShortRun(t, 8, nil)
	share := r.runBurst(1.7)
	deferred := r.scheduler.TakeDeferred()[testQueue.Route]
	t.Logf("%.2f of %d jobs on time, %d deferred", share, len(r.acceptedAt), deferred)
	assert.Check(t, share >= 0.8, "%.2f", share)
	assert.Check(t, deferred > 0 && deferred < int64(len(r.acceptedAt))/2, "%d deferred", deferred)
	calm := newShortRun(t, 8, nil)
	assert.Check(t, calm.runBurst(0.7) == 1)
	assert.Equal(t, len(calm.scheduler.TakeDeferred()), 0)
}

// One account sends 20 times what its share can run, beside a small one. Guards against a
// small account that waits behind that backlog, and against use that is not what the
// attempts on the workers need.
func TestSmallAccountWaitsForAboutOneTaskOfAnother(t *testing.T) {
	const longestWait = 1300 * time.Millisecond // One task, its report and the next start.
	r := newShortRun(t, 2, []account.Account{{Name: "flood", Weight: 1}, {Name: "small", Weight: 1}})
	var small []job.ID
	for round := range 500 {
		if round%25 == 0 {
			r.accept("flood", 40)
			small = append(small, r.accept("small", 1))
		}
		r.advance()
	}
	for _, id := range small[:len(small)-4] {
		started, ok := r.startedAt[fmt.Sprintf("%s.0.0.0", id)]
		assert.Check(t, ok && started-r.acceptedAt[id] <= longestWait, "%s: %v", id, started-r.acceptedAt[id])
	}
	counted := newPoolUse()
	counted.setEnabled(true)
	counted.count(r.scheduler.fleet.All(), r.now)
	for name, use := range counted.byAccount {
		assert.DeepEqual(t, r.scheduler.poolUse.byAccount[name], use)
	}
}
