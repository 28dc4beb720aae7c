package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/account"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// accountRun runs jobs of accounts on the harness. All tasks of a job take its estimate.
type accountRun struct {
	*harness
	jobs       map[job.ID]*job.Job
	acceptedAt map[job.ID]time.Duration
	startedAt  map[string]time.Duration
	// starts counts the starts on the workers by account.
	starts map[string]int
	// longestWait is the longest time from the acceptance of a job to the start of one of
	// its tasks, by account.
	longestWait map[string]time.Duration
}

func newAccountRun(t *testing.T, workers int, accounts ...account.Account) *accountRun {
	r := &accountRun{
		harness: newHarness(t, workers), jobs: map[job.ID]*job.Job{}, acceptedAt: map[job.ID]time.Duration{},
		startedAt: map[string]time.Duration{}, starts: map[string]int{}, longestWait: map[string]time.Duration{},
	}
	for _, f := range r.workers {
		f.stalled = true // advance sets the progress.
	}
	r.runFor(200 * time.Millisecond)
	r.setAccounts(accounts...)
	return r
}

// limited returns an account with a limit in millicores.
func limited(name string, cpu int64) account.Account {
	return account.Account{Name: name, Weight: 1, Limit: domain.Resources{CPUMilli: cpu}}
}

// setAccounts applies a newer configuration with the accounts.
func (r *accountRun) setAccounts(accounts ...account.Account) {
	r.accounts = accounts
	r.configChanges++
	r.scheduler.SetConfig(r.config())
}

// accept adds a job of an account. change may modify it.
func (r *accountRun) accept(name string, count int, cpu int64, takes time.Duration, change ...func(*job.Step)) *job.Job {
	j := singleStepJob(count, cpu)
	j.ID, j.Account = job.ID(fmt.Sprintf("%016x", len(r.jobs)+1)), name
	j.Steps[0].Estimate = takes
	for _, c := range change {
		c(&j.Steps[0])
	}
	r.jobs[j.ID], r.acceptedAt[j.ID] = j, r.now
	r.scheduler.Accept(j, r.now)
	return j
}

func (r *accountRun) jobOf(task string) *job.Job { return r.jobs[job.ID(task[:len(testJobID)])] }

// advance runs for the given time and calls check after each step.
func (r *accountRun) advance(d time.Duration, check func()) {
	r.t.Helper()
	for end := r.now + d; r.now < end; {
		r.finishTasks()
		r.runFor(harnessStep)
		r.observeStarts()
		check()
	}
}

func (r *accountRun) finishTasks() {
	for _, f := range r.workers {
		for _, task := range slices.Sorted(maps.Keys(f.attempts)) {
			started, observed := r.startedAt[task]
			if !observed {
				continue
			}
			takes := r.jobOf(task).Steps[0].Estimate
			f.attempts[task].status.ProgressPercent = int(100 * (r.now - started) / takes)
			if r.now-started >= takes {
				f.finish(task, platform.CompletionDone)
			}
		}
	}
}

// observeStarts records the attempts that started in the last step.
func (r *accountRun) observeStarts() {
	for _, f := range r.workers {
		for _, key := range f.started {
			j := r.jobOf(key.Task)
			r.startedAt[key.Task] = r.now
			r.starts[j.Account]++
			r.longestWait[j.Account] = max(r.longestWait[j.Account], r.now-r.acceptedAt[j.ID])
		}
		f.started = nil
	}
}

// running returns what the account has running on the workers, in millicores.
func (r *accountRun) running(name string) int64 {
	sum := int64(0)
	for _, f := range r.workers {
		for task := range f.attempts {
			if j := r.jobOf(task); j.Account == name {
				sum += j.Steps[0].Need.CPUMilli
			}
		}
	}
	return sum
}

// unsent returns the number of placements whose start is not sent.
func (r *accountRun) unsent() int {
	n := 0
	for _, w := range r.scheduler.Fleet().All() {
		for _, attempt := range w.Attempts {
			if attempt.Phase == fleet.AttemptUnsent {
				n++
			}
		}
	}
	return n
}

// checkLimit checks what the account has running on the workers.
func (r *accountRun) checkLimit(name string, limit int64) {
	r.t.Helper()
	assert.Assert(r.t, r.running(name) <= limit, "account %s has %d millicores of %d", name, r.running(name), limit)
}

// waits counts the decisions that a job waits for its account, by job.
func (r *accountRun) waits() map[job.ID]int {
	out := map[job.ID]int{}
	for _, d := range r.decisions {
		if d.Action == "wait for account" {
			out[d.Job]++
		}
	}
	return out
}

func bestEffort(s *job.Step) { s.Fills = true }
func inGang(s *job.Step)     { s.Gang = true }

// A limit falls by half under load, with placements that are not stored yet, and rises
// again. Guards against starts above the lower limit, also of placements that were planned
// under the higher one, and against attempts that are stopped because of it.
func TestLoweredLimitHoldsForAllNewStarts(t *testing.T) {
	for name, change := range map[string]func(*job.Step){"regular": func(*job.Step) {}, "best-effort": bestEffort} {
		t.Run(name, func(t *testing.T) {
			r := newAccountRun(t, 12, limited("a", 16000))
			for range 40 {
				r.accept("a", 10, 500, 700*time.Millisecond, change)
			}
			limit, starts, reached := int64(16000), 0, int64(0)
			check := func() {
				if r.starts["a"] > starts {
					r.checkLimit("a", limit)
				}
				starts, reached = r.starts["a"], max(reached, r.running("a"))
			}
			r.advance(2*time.Second, check)
			assert.Equal(t, reached, int64(16000))
			r.storeDown = true
			for r.unsent() < 20 {
				r.advance(harnessStep, check)
				r.scheduler.RecordRenewal(r.now)
				assert.Assert(t, r.now < 2*time.Minute)
			}
			limit = 8000
			r.setAccounts(limited("a", limit))
			r.storeDown = false
			r.advance(5*harnessStep, check) // Two batches.
			assert.Assert(t, r.scheduler.Counters.AccountReleased > 0)
			r.advance(2*time.Second, check)
			assert.Equal(t, r.scheduler.Counters.Stopped, int64(0))
			reached = 0
			r.advance(2*time.Second, check)
			assert.Equal(t, reached, limit)
			limit = 12000
			r.setAccounts(limited("a", limit))
			r.advance(2*time.Second, check)
			assert.Equal(t, reached, limit)
		})
	}
}

// Guards against a gang of which only some members are released when a limit is lowered
// before its start.
func TestGangIsReleasedAsAWhole(t *testing.T) {
	r := newAccountRun(t, 4, limited("a", 8000))
	r.storeDown = true
	r.accept("a", 6, 1000, time.Second, inGang)
	r.advance(200*time.Millisecond, func() {})
	assert.Equal(t, r.scheduler.Fleet().AccountUse("a").CPUMilli, int64(6000))
	r.setAccounts(limited("a", 5000))
	r.storeDown = false
	r.advance(time.Second, func() { r.checkLimit("a", 0) })
	assert.Equal(t, r.scheduler.Counters.AccountReleased, int64(6))
	r.setAccounts(limited("a", 6000))
	r.advance(200*time.Millisecond, func() {})
	assert.Equal(t, r.running("a"), int64(6000))
}

// An owner dies while an account is at its limit, and half of the workers do not answer the
// next one. Guards against a new owner that starts above the limit because it does not know
// what runs, and against one that never uses the limit again.
func TestNewOwnerStartsNothingAboveTheLimit(t *testing.T) {
	for name, ended := range map[string]bool{"ended owner": true, "owner that may be alive": false} {
		t.Run(name, func(t *testing.T) {
			r := newAccountRun(t, 8, limited("a", 12000))
			for range 10 {
				r.accept("a", 10, 1000, 4*time.Second)
			}
			check := func() { r.checkLimit("a", 12000) }
			r.advance(2*time.Second, check)
			assert.Equal(t, r.running("a"), int64(12000))
			for i, f := range r.workers {
				f.unresponsive = i%2 == 0
			}
			r.previousOwnerEnded = ended
			r.replaceOwner(6)
			assert.Equal(t, r.scheduler.Fleet().AccountUse("a").CPUMilli, int64(12000))
			r.advance(30*time.Second, check)
			reached := int64(0)
			r.advance(5*time.Second, func() { check(); reached = max(reached, r.running("a")) })
			assert.Equal(t, reached, int64(12000))
		})
	}
}

// One account sends 20 times its usual load, which is several times its limit, beside two
// others. Guards against running above the limit at any moment, against a backlog that
// delays the tasks of others, and against decisions without a bound.
func TestAccountAtManyTimesItsLoadDelaysNoOther(t *testing.T) {
	const usual, limit, steps = 2, 16000, 600
	for _, factor := range []int{1, 20} {
		r := newAccountRun(t, 12, limited("a", limit), limited("b", 0), limited("c", 20000))
		reached := int64(0)
		for step := range steps {
			if step%50 == 0 {
				for range factor {
					r.accept("a", usual, 1000, time.Second)
				}
			}
			if step%25 == 0 {
				r.accept("b", 4, 1000, time.Second)
				r.accept("c", 4, 1000, time.Second)
			}
			r.advance(harnessStep, func() { r.checkLimit("a", limit) })
			reached = max(reached, r.running("a"))
		}
		for _, other := range []string{"b", "c"} {
			assert.Assert(t, r.longestWait[other] <= 60*time.Millisecond, "account %s: %v at %d times", other, r.longestWait[other], factor)
		}
		waits := r.waits()
		for id, n := range waits {
			assert.Assert(t, n <= steps*int(harnessStep)/int(accountWaitInterval), "job %s: %d decisions", id, n)
		}
		assert.Equal(t, len(waits) > 0, factor > 1)
		assert.Equal(t, reached == limit, factor > 1)
	}
}

// Guards against a task that waits for ever because it is larger than its account's limit,
// and against more than one such task at a time.
func TestTaskLargerThanTheLimitRunsAlone(t *testing.T) {
	r := newAccountRun(t, 4, limited("a", 1000))
	small := r.accept("a", 2, 500, time.Second)
	large := r.accept("a", 2, 3000, time.Second)
	r.advance(8*time.Second, func() { r.checkLimit("a", 3000) })
	assert.Equal(t, r.starts["a"], 4)
	for _, j := range []*job.Job{small, large} {
		assert.Equal(t, r.scheduler.State(j.ID), job.StateCompleted)
	}
}

// Guards against capacity that is idle because the first demands in the order wait for the
// limit of their account.
func TestLimitLeavesNoCapacityIdle(t *testing.T) {
	r := newAccountRun(t, 12, limited("a", 4000))
	for range 20 {
		r.accept("a", 20, 1000, time.Minute)
	}
	r.accept("b", 20, 1000, time.Minute)
	r.accept("", 40, 1000, time.Minute)
	r.advance(time.Second, func() { r.checkLimit("a", 4000) })
	assert.Equal(t, r.running("a")+r.running("b")+r.running(""), int64(12*workerCores*1000))
}

// Guards against a limit that ends with the removal of the account or of all accounts while
// the account still has jobs (L6), and against an older configuration that is applied.
func TestRemovedAccountKeepsItsLimit(t *testing.T) {
	r := newAccountRun(t, 4, limited("a", 2000), limited("a", 9000))
	r.accept("a", 20, 1000, time.Second)
	check := func() { r.checkLimit("a", 2000) }
	r.setAccounts(limited("b", 1000))
	r.advance(time.Second, check)
	r.setAccounts()
	r.advance(time.Second, check)
	older := r.config()
	older.Version, older.Accounts = 1, []account.Account{limited("a", 8000)}
	r.scheduler.SetConfig(older)
	r.advance(time.Second, check)
	assert.Equal(t, r.running("a"), int64(2000))
}

// A worker runs an attempt that its owner does not know. Guards against an attempt that
// does not count for its account until it has been stopped.
func TestUnknownAttemptOfAKnownJobCounts(t *testing.T) {
	r := newAccountRun(t, 1, limited("a", 2000))
	r.delays = func(c *Command) bool { return c.Kind == CommandStop }
	j := r.accept("a", 8, 1000, time.Minute, bestEffort)
	r.advance(time.Second, func() {})
	task := string(j.ID) + ".0.0.7"
	r.workers[0].attempts[task] = &fakeAttempt{status: platform.Running{AttemptKey: platform.AttemptKey{Task: task, Attempt: 9}}}
	r.advance(2*time.Second, func() {})
	assert.Equal(t, r.scheduler.Fleet().AccountUse("a").CPUMilli, int64(3000))
}

// Guards against a report whose size grows with the number of accounts, and against
// accounts that it leaves out.
func TestAccountReportsSumUpTheOthers(t *testing.T) {
	var accounts []account.Account
	for i := range maxReportedAccounts + 2 {
		accounts = append(accounts, limited(fmt.Sprintf("account-%02d", i), 1000))
	}
	r := newAccountRun(t, 4, accounts...)
	for _, a := range accounts {
		r.accept(a.Name, 1, 100, time.Minute)
	}
	blocked := r.accept("account-00", 1, 950, time.Minute)
	r.advance(time.Second, func() {})
	reports := r.scheduler.AccountReports()
	assert.Equal(t, len(reports), maxReportedAccounts+1)
	assert.Equal(t, reports[0].WaitingJobs, 1)
	assert.Equal(t, r.waits()[blocked.ID], 1)
	assert.Equal(t, reports[1].Use.CPUMilli, int64(100))
	assert.Equal(t, reports[1].Limit.CPUMilli, int64(1000))
	assert.Equal(t, reports[1].FairShare, 1.0/float64(len(accounts)))
	assert.Equal(t, reports[1].Share, 100.0/16000)
	other := reports[maxReportedAccounts]
	assert.Equal(t, other.Name, OtherAccounts)
	assert.Equal(t, other.Use.CPUMilli, int64(200))
	assert.Equal(t, other.Limit.CPUMilli, int64(2000))
	assert.Equal(t, len(newHarness(t, 1).scheduler.AccountReports()), 0)
}
