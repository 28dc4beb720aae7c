package scheduler

import (
	"math"
	"time"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/duration"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
)

// noValueFactor is the multiple of a job's latency objective after which finishing the
// job has no value.
const noValueFactor = backlog.NoValueFactor

// plan places waiting tasks. A round that is too early for best-effort tasks leaves
// them to a later one.
func (s *Scheduler) plan(now fleet.Instant, nowUnixMS int64) {
	clear(s.freeShares)
	s.accountWaits.sweep(now)
	s.bestEffort.startRound(now)
	demands := s.demands(now, nowUnixMS)
	if len(demands) == 0 {
		return
	}
	demands = dispatch.Prepare(demands, s.roundLoad(demands, now), now)
	s.countDeferred(demands)
	rules := dispatch.Rules{
		Usable:     func(w *fleet.Worker) bool { return s.acceptsAttempts(w, now) },
		Suspect:    func(w *fleet.Worker) bool { return w.IsSuspect(now) },
		Headroom:   func(w *fleet.Worker) dispatch.Headroom { return s.workerHeadroom(w, now) },
		Interferes: s.hasInterferenceWith,
		Remaining: func(w *fleet.Worker, r *fleet.Attempt) (time.Duration, bool) {
			return remainingTime(w, r, s.predictedDuration(r), now)
		},
	}
	if s.accounts.isEnabled() {
		rules.AccountRoom, rules.AccountIdle = s.accountRoom, s.isAccountIdle
	}
	placed := map[job.StepID]int{}
	for _, p := range s.planner.Plan(demands, s.fleet.All(), rules) {
		s.place(p, now)
		placed[p.Task.StepID]++
	}
	s.recordAccountWaits(demands, now)
	for id, waiting := range waitingByStep(demands) {
		if waiting > 0 && waiting == placed[id] && s.ledger.Entry(id.Job).WaitingCount(id.Occurrence, id.Step) > 0 {
			s.needsPlan = true // There may be capacity for the rest of the step.
		}
	}
}

// acceptsAttempts reports whether the worker may get new attempts, if only as the last resort.
func (s *Scheduler) acceptsAttempts(w *fleet.Worker, now fleet.Instant) bool {
	return w.AcceptsAttempts(now) && !s.evacuated[w.Domain]
}

// isUsable reports whether the worker may get new attempts of any task that fits.
func (s *Scheduler) isUsable(w *fleet.Worker, now fleet.Instant) bool {
	return s.acceptsAttempts(w, now) && !w.IsSuspect(now)
}

// belongsToService reports whether a worker belongs to the service that runs the
// queue's tasks.
func (s *Scheduler) belongsToService(w *fleet.Worker, q job.Queue) bool {
	return w.Service == s.service(q)
}

// service returns the service that runs the queue's tasks: the one in the current
// configuration or, if the route was removed, the one at the job's acceptance.
func (s *Scheduler) service(q job.Queue) string {
	if r := s.routes[q.Route]; r != nil {
		return r.Queue.Service
	}
	return q.Service
}

// place records a placement. The start request is sent once it is stored.
func (s *Scheduler) place(p dispatch.Placement, now fleet.Instant) {
	attempt, e := s.ledger.NextAttempt(p.Task.StepID, p.Task.Index), s.ledger.Entry(p.Task.Job)
	if p.Step.Gang {
		attempt = s.gangAttemptNumber(p, attempt)
	}
	delete(s.idleSince, p.Task.Job)
	s.recordPlaceStage(p, now)
	s.ledger.Place(p.Task, attempt, p.Worker.ID)
	r := &fleet.Attempt{
		ID: p.Task, Attempt: attempt, Phase: fleet.AttemptUnsent, Step: p.Step, Need: p.Step.ReservedCapacity(),
		Account: e.Job.Account, PlacedAt: now, SpeedPercent: fullSpeedPercent, SpeedKnown: true,
	}
	p.Worker.Add(r)
	s.poolUse.add(p.Worker, r, 1)
	s.unsentStarts = append(s.unsentStarts, unsentStart{worker: p.Worker, attempt: r, ticket: p.Ticket})
	s.Counters.Placed++
	s.recordDecision(Decision{
		Action: "place", Job: p.Task.Job, Task: p.Task.String(), Attempt: attempt, Worker: p.Worker.ID,
		Reason: "room", Age: now - p.Worker.LastContact,
	})
}

// gangAttemptNumber returns the attempt number of a gang member. All members that
// are placed in one planning round share it.
func (s *Scheduler) gangAttemptNumber(p dispatch.Placement, next int) int {
	for _, start := range s.unsentStarts {
		if start.attempt.ID.StepID == p.Task.StepID {
			return start.attempt.Attempt
		}
	}
	return next
}

// demands returns the steps with tasks that may start now.
func (s *Scheduler) demands(now fleet.Instant, nowUnixMS int64) []dispatch.Demand {
	s.nextDueUnixMS = 0
	clear(s.executing)
	var out []dispatch.Demand
	for _, e := range s.ledger.OpenJobs() {
		if s.held[e.Job.ID] != nil {
			continue
		}
		for k := range e.Occurrences {
			due := e.Job.DueUnixMS(k)
			if due > nowUnixMS {
				s.updateNextDue(due)
				break
			}
			if !e.IsOccurrenceDone(k) {
				out = s.occurrenceDemands(out, e, k, now)
			}
		}
	}
	return out
}

func (s *Scheduler) updateNextDue(due int64) {
	if s.nextDueUnixMS == 0 || due < s.nextDueUnixMS {
		s.nextDueUnixMS = due
	}
}

// occurrenceDemands appends the demands of occurrence k of a job to out.
func (s *Scheduler) occurrenceDemands(out []dispatch.Demand, e *ledger.Entry, k int, now fleet.Instant) []dispatch.Demand {
	queue := s.queue(e.Job.Queue)
	predicted := s.predictionOf(e.Job)
	objective := queue.LatencyObjective(predicted.path)
	since := s.accepted[e.Job.ID]
	remaining, work := s.remaining(e, k)
	regular, bestEffort := s.addExecuting(e, k)
	noValueAfter := since + noValueFactor*objective
	if !s.areDurationsLearned(e, k) {
		noValueAfter = never
	}
	for i := range e.Job.Steps {
		step := &e.Job.Steps[i]
		waiting := e.WaitingCount(k, i)
		if waiting == 0 && step.LongRunning {
			delete(s.waitingSince, job.StepID{Job: e.Job.ID, Occurrence: k, Step: i})
		}
		if waiting == 0 || !e.DependenciesDone(k, i) || (step.Gang && waiting < step.Count) {
			continue
		}
		if step.Fills && !s.bestEffort.admit() {
			continue
		}
		d := dispatch.Demand{
			ID: job.StepID{Job: e.Job.ID, Occurrence: k, Step: i}, Step: step,
			Service: s.service(e.Job.Queue), Priority: queue.Priority, Account: e.Job.Account, Executing: regular,
			Deadline: since + objective, NoValueAfter: noValueAfter,
			Remaining: remaining, CoreSeconds: work, TaskDuration: predicted.durations[i], TotalWork: predicted.work,
			MeanWork: s.throughput.meanWork(e.Job.Queue.Route),
		}
		if step.Fills {
			d.Executing = bestEffort
		}
		d.Waiting = s.waitingTasks(e, k, i)
		d.Idle = (mayStarve(step) || s.hasSuspects(now)) && s.isStarving(e, d.Service, now)
		d.Starving = mayStarve(step) && d.Idle
		d.Overdue = step.LongRunning && s.isOverdue(d.ID, now)
		if queue.Advice && !s.setTickets(&d, now) {
			continue
		}
		out = append(out, d)
	}
	return out
}

// never is the time after which a job has no value while only its client's estimate tells how
// long it takes.
const never = time.Duration(math.MaxInt64 / 4)

// areDurationsLearned reports whether tasks have shown how long each unfinished step of an
// occurrence takes, or those of enough other jobs of the queue.
func (s *Scheduler) areDurationsLearned(e *ledger.Entry, k int) bool {
	if s.durations.HasLearned(e.Job.Queue.Route) {
		return true
	}
	for i := range e.Job.Steps {
		if o := e.Occurrences[k]; o != nil && o.Steps[i].Done == e.Job.Steps[i].Count {
			continue
		}
		if !s.durations.IsLearned(e.Job.Queue.Route, duration.StepKey{Job: e.Job.ID, Step: i}) {
			return false
		}
	}
	return true
}

// waitingTasks returns the tasks of a step that this round may place: all members of a gang,
// and of other steps no more than may be placed now. The others follow in later rounds.
func (s *Scheduler) waitingTasks(e *ledger.Entry, occurrence, step int) []int {
	limit := s.maxStepStarts()
	if e.Job.Steps[step].Gang {
		limit = e.Job.Steps[step].Count
	}
	return e.FirstWaiting(occurrence, step, limit)
}

// overdueDelay is how long tasks of a long-running step may wait for short work. The
// platform allows 6 s until a task runs again, which include an append and a start.
const overdueDelay = 4 * time.Second

// isOverdue reports whether tasks of a long-running step, which now wait, have waited
// for overdueDelay.
func (s *Scheduler) isOverdue(id job.StepID, now fleet.Instant) bool {
	since, ok := s.waitingSince[id]
	if !ok {
		s.waitingSince[id] = now
		return false
	}
	return now-since >= overdueDelay
}

// starvationDelay is how long a job with a task that could start may have no
// attempts before one task is placed wherever there is free capacity. The platform
// limits that time to 3 s, which includes a stop, an append and a start.
const starvationDelay = 1200 * time.Millisecond

// minFreeShare is the share of a service's CPU capacity that must be free for a
// starving job to run although it interferes with other tasks. With less, the job
// waits for a worker where it interferes less. The platform requires such a job to
// run while less than half of the capacity is in use.
const minFreeShare = 0.4

// mayStarve reports whether a step may wait although there is capacity for it, because it
// would be slow there.
func mayStarve(step *job.Step) bool { return step.Fills || step.Gang && step.SameRack }

// freeShare returns the share of a service's CPU capacity that was free at the
// start of the planning round.
func (s *Scheduler) freeShare(service string) float64 {
	if share, ok := s.freeShares[service]; ok {
		return share
	}
	free, all := int64(0), int64(0)
	for _, w := range s.fleet.All() {
		if w.Registered && w.Service == service {
			free += w.FreeCapacity().CPUMilli
			all += w.Capacity.CPUMilli
		}
	}
	s.freeShares[service] = float64(free) / float64(max(1, all))
	return s.freeShares[service]
}

// isStarving reports whether a job has had no attempts for starvationDelay although
// at least minFreeShare of the service's capacity is free.
func (s *Scheduler) isStarving(e *ledger.Entry, service string, now fleet.Instant) bool {
	if e.PlacedCount() > 0 || s.freeShare(service) < minFreeShare {
		delete(s.idleSince, e.Job.ID)
		return false
	}
	since, ok := s.idleSince[e.Job.ID]
	if !ok {
		s.idleSince[e.Job.ID] = now
		return false
	}
	return now-since >= starvationDelay
}

// queue returns a queue as it is in the current configuration or, if its route was
// removed, as it was at the job's acceptance.
func (s *Scheduler) queue(q job.Queue) job.Queue {
	if r := s.routes[q.Route]; r != nil {
		return r.Queue
	}
	return q
}

// remaining estimates the duration of the longest chain of unfinished steps of an
// occurrence, and its remaining work in core-seconds.
func (s *Scheduler) remaining(e *ledger.Entry, k int) (chain time.Duration, work float64) {
	occurrence := e.Occurrences[k]
	finishTimes, predicted := make([]time.Duration, len(e.Job.Steps)), s.predictionOf(e.Job)
	for i, step := range e.Job.Steps {
		done := 0
		if occurrence != nil {
			done = occurrence.Steps[i].Done
		}
		start := time.Duration(0)
		for _, d := range step.DependsOn {
			start = max(start, finishTimes[d])
		}
		finishTimes[i] = start
		if done < step.Count {
			finishTimes[i] += predicted.durations[i]
			work += predicted.taskWork(e.Job, i) * float64(step.Count-done)
		}
		chain = max(chain, finishTimes[i])
	}
	return chain, work
}
