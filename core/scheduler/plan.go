package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
)

// missedFactor times the objective is when a job is worth nothing any more.
const missedFactor = 3

// plan places waiting tasks.
func (m *Scheduler) plan(now fleet.Instant, wallMS int64) {
	clear(m.freeShares)
	demands := m.demands(now, wallMS)
	if len(demands) == 0 {
		return
	}
	dispatch.DeferJobs(demands, m.throughput.capacity(now), now)
	dispatch.SortDemands(demands, now)
	rules := dispatch.Rules{
		Usable:     func(w *fleet.Worker) bool { return m.isUsable(w, now) },
		Headroom:   func(w *fleet.Worker) dispatch.Headroom { return m.workerHeadroom(w, now) },
		Interferes: m.hasInterferenceWith,
	}
	for _, p := range m.planner.Plan(demands, m.fleet.All(), rules) {
		m.place(p, now)
	}
}

// isUsable reports whether the worker may get new runs.
func (m *Scheduler) isUsable(w *fleet.Worker, now fleet.Instant) bool {
	return w.AcceptsAttempts(now) && !m.evacuated[w.Domain]
}

// belongsToService reports whether a worker is of the service that the queue goes to.
func (m *Scheduler) belongsToService(w *fleet.Worker, q job.Queue) bool {
	return w.Service == m.service(q)
}

// service returns the pool that runs the queue's tasks: that of the route as
// it is now, or, for a route that was dropped, that at the job's acceptance.
func (m *Scheduler) service(q job.Queue) string {
	if r := m.routes[q.Route]; r != nil {
		return r.Queue.Service
	}
	return q.Service
}

func (m *Scheduler) place(p dispatch.Placement, now fleet.Instant) {
	attempt := m.ledger.NextAttempt(p.Task.StepID, p.Task.Index)
	if p.Step.Gang {
		attempt = m.gangAttemptNumber(p, attempt)
	}
	m.ledger.Place(p.Task, attempt, p.Worker.ID)
	r := &fleet.Run{
		ID: p.Task, Run: attempt, Phase: fleet.AttemptUnsent, Step: p.Step, Need: p.Step.ReservedCapacity(), PlacedAt: now, Pace: fullSpeedPercent, SpeedKnown: true,
	}
	p.Worker.Add(r)
	m.unsentStarts = append(m.unsentStarts, unsentStart{worker: p.Worker, attempt: r, ticket: p.Ticket})
	m.Counters.Placed++
	m.recordDecision(Decision{
		Action: "place", Job: p.Task.Job, Task: p.Task.String(), Run: attempt, Worker: p.Worker.ID,
		Reason: "room", Age: now - p.Worker.LastContact,
	})
}

// gangAttemptNumber returns the run number of a member: all members placed in one round
// share it.
func (m *Scheduler) gangAttemptNumber(p dispatch.Placement, next int) int {
	for _, u := range m.unsentStarts {
		if u.attempt.ID.StepID == p.Task.StepID {
			return u.attempt.Run
		}
	}
	return next
}

// demands lists the steps with tasks that may start now.
func (m *Scheduler) demands(now fleet.Instant, wallMS int64) []dispatch.Demand {
	m.nextDueUnixMS = 0
	var out []dispatch.Demand
	for _, e := range m.ledger.OpenJobs() {
		for k := range e.Occurrences {
			due := e.Job.DueUnixMS(k)
			if due > wallMS {
				m.updateNextDue(due)
				break
			}
			if !e.IsOccurrenceDone(k) {
				out = m.occurrenceDemands(out, e, k, now)
			}
		}
	}
	return out
}

func (m *Scheduler) updateNextDue(due int64) {
	if m.nextDueUnixMS == 0 || due < m.nextDueUnixMS {
		m.nextDueUnixMS = due
	}
}

func (m *Scheduler) occurrenceDemands(out []dispatch.Demand, e *ledger.Entry, k int, now fleet.Instant) []dispatch.Demand {
	queue := m.queue(e.Job.Queue)
	objective := e.Job.LatencyObjective(queue)
	since := m.accepted[e.Job.ID]
	remaining, work := m.remaining(e, k)
	for i := range e.Job.Steps {
		step := &e.Job.Steps[i]
		waiting := e.WaitingCount(k, i)
		if waiting == 0 || !e.DependenciesDone(k, i) || (step.Gang && waiting < step.Count) {
			continue
		}
		d := dispatch.Demand{
			ID: job.StepID{Job: e.Job.ID, Occurrence: k, Step: i}, Step: step,
			Service: m.service(e.Job.Queue), Priority: queue.Priority,
			Due: since + objective, NoValueAfter: since + missedFactor*objective,
			Remaining: remaining, Work: work, TotalWork: e.Job.Work(), MeanWork: m.throughput.meanWork(e.Job.Queue.Route),
		}
		e.ForEachWaiting(k, i, func(index int, _ ledger.Task) { d.Waiting = append(d.Waiting, index) })
		d.Starving = d.Step.Fills && m.isStarving(e, d.Service, now)
		if queue.Advice && !m.setTickets(&d, now) {
			continue
		}
		out = append(out, d)
	}
	return out
}

// starvationDelay is how long a job with a task that could run may have nothing
// running before one task is placed wherever there is room. The platform bounds
// that time to 3 s, of which a stop, a record and a start take a part.
const starvationDelay = 1200 * time.Millisecond

// minFreeShare is the share of a service's processors that must be free for a
// starving job to run where it disturbs others. The platform wants it to run
// while under half is in use; above, it waits for a better place.
const minFreeShare = 0.4

// freeShare returns the share of a service's processors that is free at the
// start of the round.
func (m *Scheduler) freeShare(service string) float64 {
	if share, ok := m.freeShares[service]; ok {
		return share
	}
	free, all := int64(0), int64(0)
	for _, w := range m.fleet.All() {
		if w.Listed && w.Service == service {
			free += w.FreeCapacity().CPUMilli
			all += w.Capacity.CPUMilli
		}
	}
	m.freeShares[service] = float64(free) / float64(max(1, all))
	return m.freeShares[service]
}

// isStarving reports whether nothing of a job has run for a while although much
// room is free.
func (m *Scheduler) isStarving(e *ledger.Entry, service string, now fleet.Instant) bool {
	if e.PlacedCount() > 0 || m.freeShare(service) < minFreeShare {
		delete(m.idleSince, e.Job.ID)
		return false
	}
	since, ok := m.idleSince[e.Job.ID]
	if !ok {
		m.idleSince[e.Job.ID] = now
		return false
	}
	return now-since >= starvationDelay
}

// queue returns the policy of a queue as it is now.
func (m *Scheduler) queue(q job.Queue) job.Queue {
	if r := m.routes[q.Route]; r != nil {
		return r.Queue
	}
	return q
}

// remaining estimates the longest chain and the work that an occurrence has
// left.
func (m *Scheduler) remaining(e *ledger.Entry, k int) (chain time.Duration, work float64) {
	o := e.Occurrences[k]
	ends := make([]time.Duration, len(e.Job.Steps))
	for i, s := range e.Job.Steps {
		done := 0
		if o != nil {
			done = o.Steps[i].Done
		}
		start := time.Duration(0)
		for _, d := range s.DependsOn {
			start = max(start, ends[d])
		}
		ends[i] = start
		if done < s.Count {
			ends[i] += s.Estimate
			work += s.Work() * float64(s.Count-done) / float64(s.Count)
		}
		chain = max(chain, ends[i])
	}
	return chain, work
}
