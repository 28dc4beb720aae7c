package backlog

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
)

const (
	modelCores = 10.0
	modelStep  = 20 * time.Millisecond
	burst      = 6 * time.Second
)

// modelJob is a job in the model of a pool. finish is 0 until it is finished.
type modelJob struct {
	*job.Job
	arrival, finish time.Duration
	left, value     float64
	refused         bool
}

func (m *modelJob) deadline() time.Duration { return m.arrival + m.LatencyObjective(m.Queue) }

func (m *modelJob) end() time.Duration { return m.arrival + NoValueFactor*m.LatencyObjective(m.Queue) }

// rank orders jobs as the scheduler does: on time, late, without value.
func (m *modelJob) rank(now time.Duration) int {
	chain := time.Duration(m.left / float64(m.Steps[0].Count) * float64(time.Second))
	switch {
	case now+chain <= m.deadline():
		return 0
	case now+chain <= m.end():
		return 1
	}
	return 2
}

// play plays the arrivals on a pool that serves them by rank, priority, value per work and
// deadline, a task on a core at a time. The nodes use the summary of every half second. Each
// job for which accepts returns true is accepted whatever the estimate says.
func play(arrivals []modelJob, accepts func(i int) bool) []modelJob {
	jobs := slices.Clone(arrivals)
	var open []*modelJob
	next, summary := 0, &Summary{}
	for now := time.Duration(0); next < len(jobs) || len(open) > 0; now += modelStep {
		if now%(500*time.Millisecond) == 0 {
			summary = desk()
			summary.Pools = summary.Pools[:1]
			for _, m := range open {
				if c := onTime(m.Queue.Priority, ClassOf(m.value), m.left); m.rank(now) < 2 {
					c.OnTime *= float64(1 - m.rank(now))
					summary.Pools[0].Work.Add(c)
				}
			}
		}
		for ; next < len(jobs) && jobs[next].arrival <= now; next++ {
			m := &jobs[next]
			if m.refused = !accepts(next) && Estimate(m.Job, m.Queue, summary).Refuse; !m.refused {
				open = append(open, m)
			}
		}
		slices.SortStableFunc(open, func(a, b *modelJob) int {
			return cmp.Or(cmp.Compare(a.rank(now), b.rank(now)), cmp.Compare(a.Queue.Priority, b.Queue.Priority),
				cmp.Compare(b.value, a.value), cmp.Compare(a.deadline(), b.deadline()))
		})
		free := modelCores * modelStep.Seconds()
		for _, m := range open {
			served := min(free, m.left, float64(m.Steps[0].Count)*modelStep.Seconds())
			if m.left, free = m.left-served, free-served; m.left < 1e-9 {
				m.finish = now + modelStep
			}
		}
		open = slices.DeleteFunc(open, func(m *modelJob) bool { return m.finish > 0 })
	}
	return jobs
}

// overload returns a burst of 2.4 times the capacity, 1.5 in jobs of the first queue and 0.9 in
// jobs of the second, and then 6 s of a third of that.
func overload(first, second job.Queue) []modelJob {
	var out []modelJob
	add := func(at time.Duration, q job.Queue, tasks int) {
		step := job.Step{Count: tasks, Need: domain.Resources{CPUMilli: 1000}, Estimate: time.Second}
		j := &job.Job{ID: job.ID(randomID()), Steps: []job.Step{step}, Queue: q}
		work := j.CoreSeconds()
		out = append(out, modelJob{Job: j, arrival: at, left: work, value: dispatch.ValuePerWork(work, 10, work)})
	}
	for at := time.Duration(0); at < 2*burst; at += 200 * time.Millisecond {
		if at >= burst && at%(600*time.Millisecond) != 0 {
			continue
		}
		add(at, first, 3)
		if at%time.Second != 0 {
			add(at, second, 2+int(at/(200*time.Millisecond))%2)
		}
	}
	return out
}

// count returns how many jobs finish within their objective, and how many while they have any
// value.
func count(jobs []modelJob) (inTime, withValue int) {
	for _, m := range jobs {
		if m.finish > 0 && m.finish <= m.deadline() {
			inTime++
		}
		if m.finish > 0 && m.finish <= m.end() {
			withValue++
		}
	}
	return inTime, withValue
}

// Guards against a refusal of a job that would have had value, and against refusals that
// lower the number of jobs that finish in time.
func TestOverloadRefusesOnlyWorthlessJobs(t *testing.T) {
	low := shortQueue
	low.Priority = 2
	arrivals := overload(shortQueue, low)
	inTimeWithout, valueWithout := count(play(arrivals, func(int) bool { return true }))
	with := play(arrivals, func(int) bool { return false })
	inTime, withValue := count(with)
	refused := 0
	for i, m := range with {
		if m.refused {
			refused++
			accepted := play(arrivals, func(other int) bool { return other == i })[i]
			assert.Check(t, accepted.finish > accepted.end(), "arrives at %v, takes %v", m.arrival, accepted.finish-m.arrival)
		}
	}
	t.Logf("%d jobs, %d refused; in time %d without refusals, %d with them; with value %d, %d",
		len(arrivals), refused, inTimeWithout, inTime, valueWithout, withValue)
	assert.Assert(t, refused > 0)
	assert.Assert(t, inTime >= inTimeWithout && withValue >= valueWithout)
	// In one queue, no job is certain to be late: older jobs give up their place.
	for _, m := range play(overload(shortQueue, shortQueue), func(int) bool { return false }) {
		assert.Assert(t, !m.refused)
	}
}
