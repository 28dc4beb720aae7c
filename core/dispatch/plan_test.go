package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

const now = time.Minute

func workers(count int, cores int64) []*fleet.Worker {
	f := fleet.New()
	for i := range count {
		w := f.RegisterWorker(platform.RegistryEntry{
			ID: domain.WorkerID(fmt.Sprintf("w%d", i)), Service: "desk",
			Capacity: domain.Resources{CPUMilli: cores * 1000, MemoryMiB: 1 << 20}, Labels: []string{"a", fmt.Sprintf("r%d", i/2)},
		})
		w.HeartbeatAnswered, w.LastContact = true, now
	}
	return f.All()
}

func permissiveRules() Rules {
	return Rules{
		Usable:     func(*fleet.Worker) bool { return true },
		Headroom:   func(*fleet.Worker) Headroom { return fixedHeadroom{speed: 1} },
		Interferes: func(*fleet.Worker, string) bool { return false },
		Remaining: func(_ *fleet.Worker, r *fleet.Attempt) (time.Duration, bool) {
			return r.Step.Estimate, !r.Step.LongRunning
		},
	}
}

// fixedHeadroom is a Headroom with the same speed and interference for all
// best-effort tasks.
type fixedHeadroom struct{ speed, interference float64 }

func (fixedHeadroom) Add(job.StepID, *job.Step)             {}
func (h fixedHeadroom) ExpectedSpeed(*job.Step) float64     { return h.speed }
func (h fixedHeadroom) Interference(step *job.Step) float64 { return h.interference }

func demand(id string, step job.Step, waiting int) Demand {
	d := Demand{ID: job.StepID{Job: job.ID(id)}, Step: &step, Service: "desk", TaskDuration: step.Estimate,
		Deadline: now + time.Minute, NoValueAfter: now + 3*time.Minute,
	}
	for i := range waiting {
		d.Waiting = append(d.Waiting, i)
	}
	return d
}

func cpu(cores int64) domain.Resources { return domain.Resources{CPUMilli: cores * 1000} }

func countByWorker(placements []Placement) map[domain.WorkerID]int {
	out := map[domain.WorkerID]int{}
	for _, p := range placements {
		out[p.Worker.ID]++
	}
	return out
}

// Large and small tasks near full load. Guards against small tasks that take a
// little capacity on every worker, so that a large one fits on none although
// the total would be enough.
func TestSmallTasksLeaveWholeWorkersForLargeOnes(t *testing.T) {
	demands := []Demand{
		demand("small", job.Step{Count: 4, Need: cpu(1)}, 4),
		demand("large", job.Step{Count: 3, Need: cpu(4)}, 3),
	}
	var p Planner
	placed := p.Plan(demands, workers(4, 4), permissiveRules())
	assert.Equal(t, len(placed), 7)
}

// A gang that does not fit whole. Guards against members that hold capacity
// while they wait for the others.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	var p Planner
	gang := job.Step{Count: 5, Need: cpu(4), Gang: true}
	assert.Equal(t, len(p.Plan([]Demand{demand("gang", gang, 5)}, workers(4, 4), permissiveRules())), 0)
	rest := []Demand{demand("gang", gang, 5), demand("single", job.Step{Count: 4, Need: cpu(4)}, 4)}
	assert.Equal(t, len(p.Plan(rest, workers(4, 4), permissiveRules())), 4)
}

// Tasks that must share a rack. Guards against choosing a rack with capacity
// for only some of them.
func TestSameRackTasksShareARackWithFreeCapacity(t *testing.T) {
	all := workers(6, 4)
	busy := &fleet.Attempt{ID: job.TaskID{StepID: job.StepID{Job: "busy"}}, Need: cpu(4)}
	all[0].Add(busy)
	step := job.Step{Count: 2, Need: cpu(4), SameRack: true, Gang: true}
	var p Planner
	placed := p.Plan([]Demand{demand("rack", step, 2)}, all, permissiveRules())
	assert.Equal(t, len(placed), 2)
	assert.Equal(t, placed[0].Worker.Rack(), placed[1].Worker.Rack())
}

// A gang that prefers one rack, on racks of two workers with capacity for one task each.
// Guards against a gang that never runs because no rack can hold it, or because some rack is
// never free, and against one that is spread although a rack soon has capacity.
func TestSameRackGangIsSpreadOnlyIfItMust(t *testing.T) {
	for name, c := range map[string]struct {
		tasks, maxPerWorker, cores int
		busy, starving             bool
		placed                     int
	}{
		"fits into a rack":                        {tasks: 2, cores: 4, placed: 2},
		"waits for a rack":                        {tasks: 2, cores: 4, busy: true},
		"has waited for a rack":                   {tasks: 2, cores: 4, busy: true, starving: true, placed: 2},
		"larger than any rack":                    {tasks: 3, cores: 4, placed: 3},
		"larger than any rack, and than the rest": {tasks: 4, cores: 4, busy: true},
		"held apart by the limit per worker":      {tasks: 3, maxPerWorker: 1, cores: 1, placed: 3},
	} {
		t.Run(name, func(t *testing.T) {
			all := workers(6, 4)
			if c.busy {
				for i := range 3 {
					all[2*i].Add(&fleet.Attempt{ID: job.TaskID{StepID: job.StepID{Job: "busy"}, Index: i}, Need: cpu(4)})
				}
			}
			d := demand("rack", job.Step{Count: c.tasks, Need: cpu(int64(c.cores)), SameRack: true, Gang: true, MaxPerWorker: c.maxPerWorker}, c.tasks)
			d.Starving = c.starving
			var p Planner
			assert.Equal(t, len(p.Plan([]Demand{d}, all, permissiveRules())), c.placed)
		})
	}
}

// Tasks that must not share a worker. Guards against more tasks per worker
// than the step allows when several are placed in one plan.
func TestMaxPerWorkerCountsPlannedTasks(t *testing.T) {
	var p Planner
	placed := p.Plan([]Demand{demand("apart", job.Step{Count: 6, Need: cpu(1), MaxPerWorker: 1}, 6)}, workers(4, 8), permissiveRules())
	assert.Equal(t, len(placed), 4)
	for id, n := range countByWorker(placed) {
		assert.Equal(t, n, 1, "%s", id)
	}
}

// Long-running tasks of a few images fill all workers. Guards against a mix of
// images on every worker, which leaves no worker for best-effort tasks that
// interfere with one of the images.
func TestServingTasksOfOneImageShareWorkers(t *testing.T) {
	var demands []Demand
	for i := range 8 {
		step := job.Step{Count: 4, Need: cpu(1), LongRunning: true, Target: time.Millisecond, Image: fmt.Sprintf("image-%d", i%2)}
		demands = append(demands, demand(fmt.Sprintf("job-%d", i), step, 4))
	}
	var p Planner
	images := map[domain.WorkerID]map[string]bool{}
	for _, placed := range p.Plan(demands, workers(8, 8), permissiveRules()) {
		if images[placed.Worker.ID] == nil {
			images[placed.Worker.ID] = map[string]bool{}
		}
		images[placed.Worker.ID][placed.Step.Image] = true
	}
	for id, on := range images {
		assert.Equal(t, len(on), 1, "%s", id)
	}
}

// Best-effort tasks that would run at 30% of full speed alongside a serving
// task. Guards against placing them there although a worker without serving
// tasks has free capacity.
func TestBestEffortTaskAvoidsWorkerWhereItWouldBeSlow(t *testing.T) {
	all := workers(2, 8)
	serving := &job.Step{Count: 1, Need: cpu(1), LongRunning: true, Target: time.Millisecond, Image: "checks"}
	all[0].Add(&fleet.Attempt{ID: job.TaskID{StepID: job.StepID{Job: "serving"}}, Step: serving, Need: cpu(1)})
	rules := permissiveRules()
	rules.Headroom = func(*fleet.Worker) Headroom { return fixedHeadroom{speed: 0.3} }
	var p Planner
	placed := p.Plan([]Demand{demand("best-effort", job.Step{Count: 3, Need: cpu(2), Fills: true}, 3)}, all, rules)
	assert.DeepEqual(t, countByWorker(placed), map[domain.WorkerID]int{"w1": 3})
}

// Best-effort tasks with little and with strong interference. Guards against
// tasks with little interference on the few workers without serving tasks,
// which the others need, and against tasks with strong interference alongside
// serving tasks while another worker is free.
func TestInterferingTaskGetsWorkerWithoutServingTasks(t *testing.T) {
	all := workers(3, 8)
	serving := &job.Step{Count: 1, Need: cpu(1), LongRunning: true, Target: time.Millisecond, Image: "checks"}
	for _, w := range all[:2] {
		w.Add(&fleet.Attempt{ID: job.TaskID{StepID: job.StepID{Job: "serving"}}, Step: serving, Need: cpu(1)})
	}
	place := func(interference float64) map[domain.WorkerID]int {
		rules := permissiveRules()
		rules.Headroom = func(*fleet.Worker) Headroom { return fixedHeadroom{speed: 1, interference: interference} }
		var p Planner
		return countByWorker(p.Plan([]Demand{demand("best-effort", job.Step{Count: 1, Need: cpu(2), Fills: true}, 1)}, all, rules))
	}
	assert.Equal(t, place(0.01)["w2"], 0)
	assert.Equal(t, place(0.3)["w2"], 1)
}

// Best-effort tasks that interfere with the serving tasks of every worker.
// Guards against a job of which no task ever runs, and against placing more
// than one of its tasks where they interfere.
func TestStarvingJobGetsOneTaskPlaced(t *testing.T) {
	all := workers(2, 8)
	serving := &job.Step{Count: 1, Need: cpu(1), LongRunning: true, Target: time.Millisecond, Image: "checks"}
	for _, w := range all {
		w.Add(&fleet.Attempt{ID: job.TaskID{StepID: job.StepID{Job: "serving"}}, Step: serving, Need: cpu(1)})
	}
	rules := permissiveRules()
	rules.Headroom = func(w *fleet.Worker) Headroom {
		return fixedHeadroom{speed: map[domain.WorkerID]float64{"w0": 0.1, "w1": 0.2}[w.ID]}
	}
	var p Planner
	d := demand("best-effort", job.Step{Count: 3, Need: cpu(2), Fills: true}, 3)
	assert.Equal(t, len(p.Plan([]Demand{d}, all, rules)), 0)
	d.Starving = true
	assert.DeepEqual(t, countByWorker(p.Plan([]Demand{d}, all, rules)), map[domain.WorkerID]int{"w1": 1})
}

// A peak of short tasks while long-running tasks restart. Guards against short
// tasks that wait behind long-running ones, which occupy their capacity for
// minutes.
func TestShortWorkComesBeforeLongRunningWork(t *testing.T) {
	longRunning := demand("long-running", job.Step{Count: 1, Need: cpu(4), LongRunning: true}, 1)
	longRunning.Deadline = now
	demands := []Demand{longRunning, demand("short", job.Step{Count: 1, Need: cpu(4), Estimate: time.Second}, 1)}
	SortDemands(demands, now)
	assert.Equal(t, demands[0].ID.Job, job.ID("short"))
}

// Steady short work of a higher priority beside long-running work that has waited for
// long. Guards against an order in which the long-running work waits for ever.
func TestOverdueWorkComesBeforeWorkOfAHigherPriority(t *testing.T) {
	overdue := demand("overdue", job.Step{Count: 1, Need: cpu(4), LongRunning: true}, 1)
	overdue.Priority, overdue.Overdue = 2, true
	demands := []Demand{demand("short", job.Step{Count: 1, Need: cpu(4), Estimate: time.Second}, 1), overdue}
	SortDemands(demands, now)
	assert.Equal(t, demands[0].ID.Job, job.ID("overdue"))
	demands[0].Overdue = false
	SortDemands(demands, now)
	assert.Equal(t, demands[0].ID.Job, job.ID("short"))
}

// Jobs that have missed their objective. Guards against running them before
// work that can still be on time, and against dropping them.
func TestMissedJobsComeLastAndAreKept(t *testing.T) {
	missed := demand("missed", job.Step{Count: 1, Need: cpu(1)}, 1)
	missed.Deadline, missed.NoValueAfter = now-time.Second, now-time.Millisecond
	delayed := demand("delayed", job.Step{Count: 1, Need: cpu(1)}, 1)
	delayed.Deadline = now - time.Second
	demands := []Demand{missed, delayed, demand("fresh", job.Step{Count: 1, Need: cpu(1)}, 1)}
	SortDemands(demands, now)
	assert.DeepEqual(t, []job.ID{demands[0].ID.Job, demands[1].ID.Job, demands[2].ID.Job}, []job.ID{"fresh", "delayed", "missed"})
}

// bestEffortJob returns the demand of a best-effort job with an objective.
func bestEffortJob(id string, work float64, untilDeadline time.Duration) Demand {
	d := demand(id, job.Step{Count: 1, Need: cpu(1), Fills: true}, 1)
	d.CoreSeconds, d.TotalWork, d.MeanWork, d.Deadline, d.NoValueAfter = work, work, 100, now+untilDeadline, now+3*untilDeadline
	return d
}

// finishedOnTime executes the demands in order at a rate in core-seconds per
// second and counts those that finish on time.
func finishedOnTime(demands []Demand, rate float64) int {
	clock, count := time.Duration(0), 0
	for _, d := range demands {
		clock += time.Duration(d.CoreSeconds / rate * float64(time.Second))
		if now+clock <= d.Deadline {
			count++
		}
	}
	return count
}

// A burst of jobs that exceeds the throughput. Guards against finishing almost
// all of them late, as ordering them by deadline alone does: some jobs are
// deferred so that the others finish on time.
func TestBurstOfLargeJobsStillFinishesMostOnTime(t *testing.T) {
	const rate = 50
	burst := func() []Demand {
		var demands []Demand
		for i := range 6 {
			demands = append(demands, bestEffortJob(fmt.Sprintf("large-%d", i), 400, 12*time.Second))
		}
		for i := range 10 {
			demands = append(demands, bestEffortJob(fmt.Sprintf("ordinary-%d", i), 50, 13*time.Second))
		}
		return demands
	}
	first := burst()
	SortDemands(first, now)
	assert.Equal(t, finishedOnTime(first, rate), 1)
	chosen := burst()
	chosen = Prepare(chosen, Load{Pools: map[Pool]PoolLoad{{Service: "desk", BestEffort: true}: {Rate: rate, Slowdown: 1}}}, now)
	assert.Assert(t, finishedOnTime(chosen, rate) >= 10)
	assert.Equal(t, len(chosen), 16)
}

// Jobs that can all be on time. Guards against deferring any of them.
func TestPrepareLeavesFeasibleJobsAlone(t *testing.T) {
	demands := []Demand{bestEffortJob("a", 100, 10*time.Second), bestEffortJob("b", 100, 10*time.Second)}
	demands = Prepare(demands, Load{Pools: map[Pool]PoolLoad{{Service: "desk", BestEffort: true}: {Rate: 50, Slowdown: 1}}}, now)
	for _, d := range demands {
		assert.Assert(t, !d.deferred)
	}
}

// BenchmarkPlan measures one round with 200 waiting tasks for several numbers
// of workers.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			all := workers(count, 32)
			var p Planner
			for b.Loop() {
				p.Plan([]Demand{demand("job", job.Step{Count: 200, Need: cpu(2)}, 200)}, all, permissiveRules())
			}
		})
	}
}

// Guards against tasks on a worker that is suspected to hang while another could run them, and
// against a suspicion that keeps a job from running at all.
func TestSuspectWorkersAreTheLastResort(t *testing.T) {
	labelled, gang := job.Step{Count: 1, Need: cpu(1), RequiredLabel: "r0"}, job.Step{Count: 2, Need: cpu(3), Gang: true}
	idle := demand("idle", job.Step{Count: 1, Need: cpu(4)}, 1)
	idle.Idle = true
	for name, c := range map[string]struct {
		demand  Demand
		busy    bool
		suspect []int
		want    []string
	}{
		"another has room":            {demand: demand("a", job.Step{Count: 1, Need: cpu(1)}, 1), suspect: []int{0}, want: []string{"w1"}},
		"another will have room":      {demand: demand("a", job.Step{Count: 1, Need: cpu(4)}, 1), busy: true, suspect: []int{0}},
		"idle for long":               {demand: idle, busy: true, suspect: []int{0}, want: []string{"w0"}},
		"the only one with the label": {demand: demand("a", labelled, 1), suspect: []int{0}, want: []string{"w0"}},
		"all are suspect":             {demand: demand("a", job.Step{Count: 1, Need: cpu(1)}, 1), suspect: []int{0, 1}, want: []string{"w0"}},
		"a gang needs both":           {demand: demand("a", gang, 2), suspect: []int{0, 1}, want: []string{"w0", "w1"}},
		"a gang waits for the other":  {demand: demand("a", gang, 2), suspect: []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			all := workers(2, 4)
			all[1].Labels = []string{"a", "r1"}
			if c.busy {
				step := &job.Step{Count: 1, Need: cpu(4), Estimate: time.Second}
				all[1].Add(&fleet.Attempt{ID: job.TaskID{StepID: job.StepID{Job: "busy"}}, Step: step, Need: step.Need})
			}
			rules := permissiveRules()
			rules.Suspect = func(w *fleet.Worker) bool {
				for _, i := range c.suspect {
					if all[i] == w {
						return true
					}
				}
				return false
			}
			var got []string
			for _, p := range new(Planner).Plan([]Demand{c.demand}, all, rules) {
				got = append(got, string(p.Worker.ID))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}
