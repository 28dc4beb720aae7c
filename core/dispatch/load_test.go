package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

// simulation runs jobs of one step, with tasks of one core, on workers of ten cores.
type simulation struct {
	t       *testing.T
	workers []*fleet.Worker
	now     time.Duration
	jobs    []*simulatedJob
	weights map[string]float64
	// ignoresLoad makes the order depend on the latest start alone.
	ignoresLoad bool
	// slowdown is the ratio of the duration of the tasks to their estimate.
	slowdown float64
	ends     map[*fleet.Attempt]time.Duration
	owners   map[*fleet.Attempt]*simulatedJob
	// used is the work done for each account, in core-seconds.
	used map[string]float64
}

type simulatedJob struct {
	d                               Demand
	placed, done                    int
	arrived, firstStart, finishedAt time.Duration
}

const (
	simulatedCores = 10
	simulatedRound = 20 * time.Millisecond
	taskDuration   = time.Second
)

func newSimulation(t *testing.T, count int, weights map[string]float64) *simulation {
	return &simulation{
		t: t, workers: workers(count, simulatedCores), now: now, weights: weights, slowdown: 1,
		ends: map[*fleet.Attempt]time.Duration{}, owners: map[*fleet.Attempt]*simulatedJob{}, used: map[string]float64{},
	}
}

func (s *simulation) add(account string, tasks int) {
	j := &simulatedJob{arrived: s.now, d: demand(fmt.Sprint("job-", len(s.jobs)), job.Step{Count: tasks, Need: cpu(1), Estimate: taskDuration}, tasks)}
	objective := 3*taskDuration/2 + 250*time.Millisecond
	j.d.Account, j.d.Deadline, j.d.NoValueAfter = account, s.now+objective, s.now+3*objective
	j.d.TotalWork, j.d.MeanWork = float64(tasks), 10
	s.jobs = append(s.jobs, j)
}

// round ends the tasks that are due, and plans the others.
func (s *simulation) round() {
	s.now += simulatedRound
	for _, w := range s.workers {
		for _, r := range w.Attempts {
			if end, ok := s.ends[r]; ok && end <= s.now {
				w.Remove(r)
				j := s.owners[r]
				j.done, j.finishedAt = j.done+1, s.now
			} else {
				s.used[r.Account] += simulatedRound.Seconds()
			}
		}
	}
	demands, byID := s.demands()
	demands = Prepare(demands, s.load(demands), s.now)
	waiting := 0
	for _, d := range demands {
		waiting += len(d.Waiting)
	}
	var planner Planner
	for _, p := range planner.Plan(demands, s.workers, permissiveRules()) {
		j := byID[p.Task.Job]
		r := &fleet.Attempt{ID: p.Task, Step: p.Step, Need: p.Step.Need, Account: j.d.Account}
		p.Worker.Add(r)
		s.ends[r], s.owners[r] = s.now+time.Duration(s.slowdown*float64(taskDuration)), j
		if j.placed++; j.placed == 1 {
			j.firstStart = s.now
		}
		waiting--
	}
	for _, w := range s.workers {
		assert.Assert(s.t, waiting == 0 || w.FreeCapacity().CPUMilli < 1000, "capacity is idle while %d tasks wait", waiting)
	}
}

func (s *simulation) demands() (demands []Demand, byID map[job.ID]*simulatedJob) {
	byID = map[job.ID]*simulatedJob{}
	for _, j := range s.jobs {
		if left := j.d.Step.Count - j.done; j.placed < j.d.Step.Count {
			d := j.d
			d.Waiting, d.Remaining = j.d.Waiting[j.placed:], taskDuration
			d.CoreSeconds, d.Executing = float64(left), float64(j.placed-j.done)
			demands, byID[d.ID.Job] = append(demands, d), j
		}
	}
	return demands, byID
}

func (s *simulation) load(demands []Demand) Load {
	pool, p := Pool{Service: "desk"}, PoolLoad{Slowdown: s.slowdown}
	accounts := map[string]AccountLoad{}
	for name, weight := range s.weights {
		accounts[name] = AccountLoad{Weight: weight, Use: map[Pool]AccountUse{}}
	}
	for _, w := range s.workers {
		p.Rate += float64(w.Capacity.CPUMilli-w.LongRunningUse.CPUMilli) / 1000 / s.slowdown
		p.Capacity = p.Capacity.Add(w.Capacity)
		for _, r := range w.Attempts {
			if !r.Step.LongRunning {
				p.Executing += taskDuration.Seconds()
			}
			if a, ok := accounts[r.Account]; ok {
				use := a.Use[pool]
				use.Total = use.Total.Add(r.Need)
				if r.Step.LongRunning {
					use.LongRunning = use.LongRunning.Add(r.Need)
				}
				a.Use[pool] = use
			}
		}
	}
	if s.ignoresLoad {
		p.Rate = 0
	}
	return Load{Pools: map[Pool]PoolLoad{pool: p}, Accounts: accounts}
}

// Short jobs at 1.7 times the capacity for 6 s. Guards against an order in which almost all
// jobs finish a little late, as by the latest start alone, also if the estimates are wrong.
func TestBurstOfShortJobsFinishesMoreJobsOnTime(t *testing.T) {
	share := func(slowdown float64, ignoresLoad bool) float64 {
		s := newSimulation(t, 10, nil)
		s.ignoresLoad, s.slowdown = ignoresLoad, slowdown
		due, onTime := 0.0, 0
		for round := range 1200 {
			rate := 0.7
			if round >= 100 && round < 400 {
				rate = 1.7
			}
			for due += rate / slowdown * 10 * simulatedCores * simulatedRound.Seconds(); due >= 10 && round < 600; due -= 10 {
				s.add("", []int{4, 16, 8, 12, 10}[len(s.jobs)%5])
			}
			s.round()
		}
		for _, j := range s.jobs {
			assert.Equal(t, j.done, j.d.Step.Count)
			if j.finishedAt <= j.d.Deadline {
				onTime++
			}
		}
		return float64(onTime) / float64(len(s.jobs))
	}
	for _, slowdown := range []float64{0.5, 1, 1.4} {
		before, after := share(slowdown, true), share(slowdown, false)
		t.Logf("slowdown %.1f: finished on time: %.2f by latest start, %.2f with deferral", slowdown, before, after)
		assert.Check(t, after > before+0.1, "%.2f, %.2f", before, after)
	}
}

// One account sends 20 times its usual load beside long-running tasks that hold most of the
// capacity. Guards against a small account that waits behind that backlog.
func TestSmallestAccountWaitsForAboutOneTask(t *testing.T) {
	s := newSimulation(t, 10, map[string]float64{"watches": 1, "flood": 1, "middle": 1, "smallest": 1})
	for i, w := range s.workers {
		step := &job.Step{Count: 1, Need: cpu(8), LongRunning: true}
		w.Add(&fleet.Attempt{ID: job.TaskID{StepID: job.StepID{Job: "watch"}, Index: i}, Step: step, Need: cpu(8), Account: "watches"})
	}
	for round := range 600 {
		if round%25 == 0 {
			s.add("flood", 80)
			s.add("middle", 4)
			s.add("smallest", 1)
		}
		s.round()
	}
	for _, j := range s.jobs {
		if j.d.Account == "smallest" && j.arrived < s.now-2*taskDuration {
			assert.Assert(t, j.firstStart > 0 && j.firstStart-j.arrived <= taskDuration+2*simulatedRound, "%v", j.firstStart-j.arrived)
		}
	}
}

// 20 accounts of uneven size and weight that could all use more than their share. Guards
// against shares that follow the size of the jobs or the order of the submissions.
func TestUseOfFullAccountsFollowsTheirWeights(t *testing.T) {
	weights, total := map[string]float64{}, 0.0
	for i := range 20 {
		weights[fmt.Sprint("account-", i)] = float64(1 + i%3)
		total += float64(1 + i%3)
	}
	s := newSimulation(t, 20, weights)
	for round := range 1000 {
		for i := range 20 {
			if round%50 == i {
				s.add(fmt.Sprint("account-", i), 30+10*(i%7))
			}
		}
		if round == 200 {
			clear(s.used)
		}
		s.round()
	}
	sum := 0.0
	for _, used := range s.used {
		sum += used
	}
	for name, weight := range weights {
		ratio := s.used[name] / sum / (weight / total)
		assert.Check(t, ratio > 0.85 && ratio < 1.15, "%s: %.2f of its share", name, ratio)
	}
}

// Without accounts, at a rate at which all jobs finish on time. Guards against a change of
// the order for those who have not asked for shares.
func TestOrderWithoutAccountsAndOverloadIsByTierPriorityAndLatestStart(t *testing.T) {
	former := func(demands []Demand) {
		slices.SortStableFunc(demands, func(a, b Demand) int {
			return cmp.Or(
				cmp.Compare(a.tier(now), b.tier(now)), cmp.Compare(overdueRank(a), overdueRank(b)), cmp.Compare(a.Priority, b.Priority),
				cmp.Compare(durationRank(a), durationRank(b)), cmp.Compare(a.Deadline-a.Remaining, b.Deadline-b.Remaining),
			)
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		var demands []Demand
		for i := range rapid.IntRange(0, 30).Draw(t, "demands") {
			step := job.Step{Count: 1, Need: cpu(1), LongRunning: rapid.Bool().Draw(t, "long-running"), Fills: rapid.Bool().Draw(t, "best-effort")}
			d := demand(fmt.Sprint(i), step, 1)
			d.Account, d.Overdue = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"), step.LongRunning && rapid.Bool().Draw(t, "overdue")
			d.Priority, d.CoreSeconds = rapid.IntRange(0, 2).Draw(t, "priority"), 1
			d.Deadline = now + time.Duration(rapid.IntRange(-5, 5).Draw(t, "deadline"))*time.Second
			d.NoValueAfter, d.Remaining = d.Deadline+2*time.Second, time.Duration(rapid.IntRange(1, 3).Draw(t, "remaining"))*time.Second
			demands = append(demands, d)
		}
		expected := slices.Clone(demands)
		former(expected)
		pools := map[Pool]PoolLoad{{Service: "desk"}: {Rate: 1e9, Slowdown: 1}, {Service: "desk", BestEffort: true}: {Rate: 1e9, Slowdown: 1}}
		for i, d := range Prepare(demands, Load{Pools: pools}, now) {
			assert.Equal(t, d.ID, expected[i].ID)
		}
	})
}

// Guards against shares that hold back long-running tasks and tasks without an account,
// and against lost or doubled tasks of a step in which the share ends.
func TestOnlyTasksOfAccountsThatEndAreBeyondTheShare(t *testing.T) {
	ends, lasting, none := demand("ends", job.Step{Count: 5, Need: cpu(1)}, 5), demand("lasting", job.Step{Count: 9, Need: cpu(1), LongRunning: true}, 9), demand("none", job.Step{Count: 9, Need: cpu(1)}, 9)
	ends.Account, lasting.Account = "a", "a"
	other := ends
	other.ID.Job, other.Account = "other", "b"
	load := Load{
		Pools:    map[Pool]PoolLoad{{Service: "desk"}: {Capacity: cpu(6)}},
		Accounts: map[string]AccountLoad{"a": {Weight: 2}, "b": {Weight: 1}},
	}
	within, beyond := map[job.ID]int{}, map[job.ID]int{}
	for _, d := range Prepare([]Demand{ends, lasting, none, other}, load, now) {
		if d.IsBeyondShare() {
			beyond[d.ID.Job] += len(d.Waiting)
		} else {
			within[d.ID.Job] += len(d.Waiting)
		}
	}
	assert.DeepEqual(t, within, map[job.ID]int{"ends": 4, "lasting": 9, "none": 9, "other": 2})
	assert.DeepEqual(t, beyond, map[job.ID]int{"ends": 1, "other": 3})
}

// One account waits for a resource that no worker has. Guards against a level of 0 for the
// accounts that do not need it, which would leave them without shares.
func TestExhaustedResourceLimitsOnlyAccountsThatNeedIt(t *testing.T) {
	impossible, large, small := demand("impossible", job.Step{Count: 1, Need: domain.Resources{CPUMilli: 1000, Accelerators: 1}}, 1),
		demand("large", job.Step{Count: 20, Need: cpu(1)}, 20), demand("small", job.Step{Count: 2, Need: cpu(1)}, 2)
	impossible.Account, large.Account, small.Account = "a", "b", "c"
	load := Load{
		Pools:    map[Pool]PoolLoad{{Service: "desk"}: {Capacity: cpu(10)}},
		Accounts: map[string]AccountLoad{"a": {Weight: 1}, "b": {Weight: 1}, "c": {Weight: 1}},
	}
	placed := map[job.ID]int{}
	var p Planner
	for _, placement := range p.Plan(Prepare([]Demand{impossible, large, small}, load, now), workers(1, 10), permissiveRules()) {
		placed[placement.Task.Job]++
	}
	assert.DeepEqual(t, placed, map[job.ID]int{"large": 8, "small": 2})
}

// One account waits at its limit. Guards against shares that keep capacity for work that may
// not start, so that others are beyond their shares too early.
func TestWorkAboveALimitHasNoShare(t *testing.T) {
	limited, other := demand("limited", job.Step{Count: 20, Need: cpu(1)}, 20), demand("other", job.Step{Count: 20, Need: cpu(1)}, 20)
	limited.Account, other.Account = "a", "b"
	pool := Pool{Service: "desk"}
	load := Load{
		Pools: map[Pool]PoolLoad{pool: {Capacity: cpu(10)}},
		Accounts: map[string]AccountLoad{
			"a": {Weight: 1, Limit: cpu(2), Use: map[Pool]AccountUse{pool: {Total: cpu(2)}}}, "b": {Weight: 1},
		},
	}
	within := 0
	for _, d := range Prepare([]Demand{limited, other}, load, now) {
		if d.Account == "b" && !d.IsBeyondShare() {
			within += len(d.Waiting)
		}
	}
	assert.Equal(t, within, 8)
}

// Two jobs of which only one can finish on time. Guards against deferring the one whose delay
// costs more, and against a started job that loses its place to a slightly smaller new one.
func TestJobThatCostsLeastIsDeferred(t *testing.T) {
	for name, change := range map[string]func(kept, deferred *Demand){
		"lower priority, though smaller": func(_, d *Demand) { d.Priority, d.CoreSeconds = 1, 50 },
		"more work":                      func(_, d *Demand) { d.CoreSeconds = 80 },
		"not started, though smaller":    func(k, d *Demand) { k.TotalWork, d.CoreSeconds, d.TotalWork = 70, 55, 55 },
		"beyond the share":               func(_, d *Demand) { d.share, d.CoreSeconds = beyondShare, 50 },
	} {
		for _, bestEffort := range []bool{false, true} {
			pool := Pool{Service: "desk", BestEffort: bestEffort}
			var demands []Demand
			for i := range 2 {
				d := demand(fmt.Sprint(i), job.Step{Count: 1, Need: cpu(1), Fills: bestEffort}, 1)
				d.Deadline, d.CoreSeconds, d.TotalWork, d.MeanWork = now+10*time.Second, 60, 60, 60
				demands = append(demands, d)
			}
			change(&demands[0], &demands[1])
			deferJobs(demands, Load{Pools: map[Pool]PoolLoad{pool: {Rate: 10, Slowdown: 1}}}, now)
			assert.Check(t, !demands[0].IsDeferred() && demands[1].IsDeferred(), "%s, best-effort %v", name, bestEffort)
		}
	}
}

// Guards against work that has lost its value, within the share of a small account, and that
// waits for as long as another account sends new work beyond its share.
func TestWorkWithoutValueWithinAShareWaitsABoundedTime(t *testing.T) {
	pool := Pool{Service: "desk"}
	load := Load{
		Pools: map[Pool]PoolLoad{pool: {Capacity: cpu(10)}},
		Accounts: map[string]AccountLoad{
			"small": {Weight: 1}, "flood": {Weight: 1, Use: map[Pool]AccountUse{pool: {Total: cpu(10)}}},
		},
	}
	for since, first := range map[time.Duration]job.ID{13 * time.Second: "new", 19 * time.Second: "old"} {
		old, flood := demand("old", job.Step{Count: 1, Need: cpu(1)}, 1), demand("new", job.Step{Count: 20, Need: cpu(1)}, 20)
		old.Account, flood.Account = "small", "flood"
		old.Deadline, old.NoValueAfter = now-since+3*time.Second, now-since+9*time.Second
		assert.Equal(t, Prepare([]Demand{old, flood}, load, now)[0].ID.Job, first, "%s after the submission", since)
	}
}
