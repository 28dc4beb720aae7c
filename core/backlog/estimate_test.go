package backlog

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/duration"
	"github.com/basilferry/basilferry/core/job"
)

var (
	shortQueue = job.Queue{Route: "checks", Service: "desk", Stretch: 1.5, Objective: 250 * time.Millisecond}
	batchQueue = job.Queue{Route: "nightly", Service: "desk", Priority: 2, Stretch: 2, Objective: time.Second}
)

// testJob returns a job of tasks of one core and one second. Its objective in shortQueue is
// 1.75 s and the limit 6.56 s; in batchQueue they are 3 s and 11.25 s.
func testJob(q job.Queue, tasks int) *job.Job {
	step := job.Step{Count: tasks, Need: domain.Resources{CPUMilli: 1000}, Estimate: time.Second, Fills: q.Priority > 0}
	return &job.Job{ID: "0123456789abcdef", Steps: []job.Step{step}, Queue: q}
}

// desk returns a summary with a reserved and a best-effort pool that serve 10 core-seconds
// per second, with the given work in both.
func desk(cells ...Cell) *Summary {
	return &Summary{
		Pools: []Pool{
			{ID: dispatch.Pool{Service: "desk"}, Rate: 10, Slowdown: 1, Work: cells},
			{ID: dispatch.Pool{Service: "desk", BestEffort: true}, Rate: 10, Slowdown: 1, Work: cells},
		},
		Queues: []Queue{{Route: "checks", MeanWork: 10, Correction: duration.Identity}, {Route: "nightly", MeanWork: 10, Correction: duration.Identity}},
	}
}

func onTime(priority, class int, work float64) Cell {
	return Cell{Priority: priority, Class: class, Work: work, OnTime: work}
}

// Guards against a refusal of a job that can finish in time, and against the acceptance of one
// that cannot, for each input of the estimate.
func TestEstimate(t *testing.T) {
	class := ClassOf(0.1) // That of a job of 10 tasks.
	longRunning, repeated := testJob(shortQueue, 10), testJob(shortQueue, 10)
	longRunning.Steps[0].LongRunning, repeated.Repeat.Count = true, 2
	limited := testJob(shortQueue, 10)
	limited.Account = "laboratory"
	account := desk(onTime(0, class, 1))
	account.Accounts = []Account{{Name: "laboratory", Rate: 2, Work: Histogram{onTime(0, class-1, 20)}}}
	noRate, slow, noMean := desk(onTime(0, class-1, 90)), desk(onTime(0, class, 40)), desk(onTime(0, class-1, 90))
	noRate.Pools[0].Rate, slow.Pools[1].Slowdown, noMean.Queues = 0, 12, nil
	onlySlow := desk(onTime(0, class, 1))
	onlySlow.Pools[1].Slowdown = 12
	noEstimate, unlearned := testJob(shortQueue, 10), desk(onTime(0, class-1, 500))
	noEstimate.Steps = append(noEstimate.Steps, job.Step{Count: 1, Need: domain.Resources{CPUMilli: 1000}})
	unlearned.Queues = unlearned.Queues[1:]
	unlearned.Pools[0].Work = append(unlearned.Pools[0].Work, onTime(-1, 0, 500))
	for _, c := range []struct {
		name    string
		job     *job.Job
		summary *Summary
		refuse  bool
	}{
		{"a step without an estimate", noEstimate, desk(onTime(0, class-1, 500)), false},
		{"queue without samples", testJob(shortQueue, 10), unlearned, false},
		{"no summary", testJob(shortQueue, 10), nil, false},
		{"empty", testJob(shortQueue, 10), &Summary{}, false},
		{"just below the limit", testJob(shortQueue, 10), desk(onTime(0, class-1, 55)), false},
		{"beyond the limit", testJob(shortQueue, 10), desk(onTime(0, class-1, 56)), true},
		{"same class counts", testJob(shortQueue, 10), desk(onTime(0, class-1, 10), onTime(0, class, 46)), true},
		{"same class gives up its place", testJob(shortQueue, 10), desk(onTime(0, class-1, 5), onTime(0, class, 500)), false},
		{"lower priority", testJob(shortQueue, 10), desk(onTime(1, class, 500)), false},
		{"higher priority", testJob(batchQueue, 10), desk(onTime(1, Classes-1, 500)), true},
		{"less value per work", testJob(shortQueue, 10), desk(onTime(0, class+1, 500)), false},
		{"more value per work", testJob(shortQueue, 10), desk(onTime(0, class-1, 500)), true},
		{"later deadline", testJob(batchQueue, 10), desk(onTime(0, class, 90)), false},
		{"larger job", testJob(batchQueue, 30), desk(onTime(0, class, 90)), true},
		{"size alone", testJob(shortQueue, 500), desk(onTime(0, class, 10)), false},
		{"late work runs after the new job", testJob(shortQueue, 10), desk(Cell{Class: class - 1, Work: 500, OnTime: 7}), false},
		{"on-time work makes the job late", testJob(shortQueue, 10), desk(Cell{Class: class - 1, Work: 500, OnTime: 8}), true},
		{"rate not known", testJob(shortQueue, 10), noRate, false},
		{"mean work not known", testJob(shortQueue, 10), noMean, false},
		{"slowdown with a backlog", testJob(batchQueue, 10), slow, true},
		{"slowdown alone", testJob(batchQueue, 10), onlySlow, false},
		{"account beyond its limit", limited, account, true},
		{"no account", testJob(shortQueue, 10), account, false},
		{"long-running", longRunning, desk(onTime(0, class-1, 500)), false},
		{"due times", repeated, desk(onTime(0, class-1, 500)), false},
		{"no objective", testJob(job.Queue{Route: "checks", Service: "desk"}, 10), desk(onTime(0, class-1, 500)), false},
		{"other service", testJob(job.Queue{Route: "checks", Service: "yard", Objective: time.Second}, 10), desk(onTime(0, class-1, 500)), false},
	} {
		v := Estimate(c.job, c.job.Queue, c.summary)
		assert.Equal(t, v.Refuse, c.refuse, "%s: %+v", c.name, v)
		assert.Equal(t, v.RetryAfter > 0, c.refuse, c.name)
	}
}

// Guards against clients that return together, and against a delay that the header cannot
// express or that exceeds its bounds.
func TestRetryAfterIsSpread(t *testing.T) {
	for _, excess := range []time.Duration{-time.Second, 0, 2500 * time.Millisecond, time.Hour} {
		counts := map[time.Duration]int{}
		for range 400 {
			id := job.ID(randomID())
			d := retryAfter(excess, id)
			assert.Assert(t, d >= time.Second && d <= 10*time.Second && d%time.Second == 0, "%v", d)
			assert.Equal(t, d, retryAfter(excess, id))
			counts[d]++
		}
		assert.Equal(t, len(counts), retrySpread)
		for d, n := range counts {
			assert.Assert(t, n > 50, "%v: %d of 400", d, n)
		}
	}
	unreachable := map[time.Duration]bool{}
	for range 100 {
		unreachable[RetryAfterUnreachable(job.ID(randomID()))] = true
	}
	assert.DeepEqual(t, unreachable, map[time.Duration]bool{time.Second: true, 2 * time.Second: true, 3 * time.Second: true})
}

var random = rand.New(rand.NewPCG(1, 2))

func randomID() string {
	const digits = "0123456789abcdef"
	id := make([]byte, 16)
	for i := range id {
		id[i] = digits[random.IntN(len(digits))]
	}
	return string(id)
}

// Guards against a refusal with an empty backlog, and against one that ends when the backlog
// grows: clients would then be refused while others with worse prospects are accepted.
func TestRefusalsAreMonotonicInTheBacklog(t *testing.T) {
	refusals := 0
	for range 3000 {
		j := testJob([]job.Queue{shortQueue, batchQueue}[random.IntN(2)], 1+random.IntN(60))
		second := job.Step{Count: 1 + random.IntN(20), Need: domain.Resources{CPUMilli: 500}, Estimate: time.Second, Fills: random.IntN(2) == 0}
		j.Steps = append(j.Steps, second)
		j.Account = "laboratory"
		s := desk()
		s.Accounts = []Account{{Name: "laboratory", Rate: 1 + 20*random.Float64()}}
		for i := range s.Pools {
			s.Pools[i].Rate, s.Pools[i].Slowdown = 30*random.Float64(), 5*random.Float64()
		}
		assert.Assert(t, !Estimate(j, j.Queue, s).Refuse)
		refused := false
		for range 30 {
			c := onTime(random.IntN(4), random.IntN(Classes), 30*random.Float64())
			c.OnTime *= random.Float64()
			if i := random.IntN(3); i < 2 {
				s.Pools[i].Work.Add(c)
			} else {
				s.Accounts[0].Work.Add(c)
			}
			v := Estimate(j, j.Queue, s)
			assert.Assert(t, v.Refuse || !refused, "%+v\n%+v", v, s)
			refused = v.Refuse
		}
		if refused {
			refusals++
		}
	}
	assert.Assert(t, refusals > 300, "%d", refusals)
}
