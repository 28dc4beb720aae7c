package backlog

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/duration"
	"github.com/basilferry/basilferry/core/job"
)

const (
	// NoValueFactor is the multiple of a job's latency objective after which finishing the
	// job has no value.
	NoValueFactor = 3
	// safetyFactor is the multiple of that time beyond which a job must be expected to
	// finish to be refused. The mean slowdown is part of the estimate, so this covers only
	// the deviation of single jobs from it and the age of the summary.
	safetyFactor = 1.25
	// minSlackShare is the least part of a job's objective for which it must have to wait to
	// be refused. Otherwise an objective close to the critical path would lead to refusals
	// with a short backlog.
	minSlackShare = 0.25
)

const (
	// minRetry and maxRetry bound the time after which a refused client may try again.
	// Within maxRetry a burst can end, which nobody can foresee.
	minRetry, maxRetry = time.Second, 10 * time.Second
	// retrySpread is the number of seconds, as the header has only whole ones, over which
	// clients with the same estimate are spread.
	retrySpread = 4
)

// Verdict is the decision about a new job, with the parts of the estimate for the log.
type Verdict struct {
	// Refuse is true if the job is expected to finish too late to have any value.
	Refuse bool
	// Finish is the expected time from now until the job is finished, and Limit the one
	// beyond which it is refused; 0 for jobs that are never refused.
	Finish, Limit time.Duration
	// RetryAfter is when the job could be submitted again to finish within its objective,
	// if no other work arrives. It is in whole seconds, and 0 if the job is not refused.
	RetryAfter time.Duration

	// Bound is the pool or the account's limit that serves the job last; zero if nothing is
	// outstanding before the job.
	Bound Bound
	// Chain is the critical path with the pools' slowdown, Objective the latency objective
	// of the job, and Slack the longest wait with which it could be on time.
	Chain, Objective, Slack time.Duration
	// Class is the class of the job's value per work.
	Class int
}

// Bound is the work that has to be served until a job is finished.
type Bound struct {
	// Pool is the pool; empty if Account is true.
	Pool dispatch.Pool
	// Account is true for the limit of the job's account.
	Account bool
	// Before and Own are the work before the job and its own, in core-seconds, and Rate is
	// how much of it is served per second. Certain is the part of Before that comes first
	// also while the job can still meet its objective; see Histogram.Before.
	Before, Certain, Own, Rate float64
}

// String returns the name of the pool, or "account".
func (b Bound) String() string {
	switch {
	case b.Account:
		return "account"
	case b.Rate == 0:
		return ""
	}
	return b.Pool.String()
}

// wait returns for how long the job certainly waits.
func (b Bound) wait() time.Duration { return seconds(b.Certain, b.Rate) }

func (b Bound) finish() time.Duration { return seconds(b.Before+b.Own, b.Rate) }

// Estimate decides whether a new job is refused. Two conditions must hold. With all work before
// it, the job is expected to finish beyond the limit. And the work that certainly comes first
// takes so long that the job cannot be on time: a new job is served before late ones, so a
// backlog of late jobs alone is no reason to refuse it. A job that would miss its limit only
// because of its own size, or of the slowdown, is not refused.
//
// A nil summary refuses nothing, and neither does a pool whose rate is not known. Long-running
// jobs, jobs with due times and jobs without an objective are not refused, and neither are jobs
// of which only the client's estimate tells how long they take.
func Estimate(j *job.Job, queue job.Queue, summary *Summary) Verdict {
	if summary == nil || j.LatencyObjective(queue) <= 0 || j.HasLongRunningStep() || j.Repeat.Count > 0 {
		return Verdict{}
	}
	if !summary.hasQueue(queue.Route) || !hasEstimates(j) {
		return Verdict{}
	}
	own, path := predict(j, summary.correction(queue.Route))
	work := own[false] + own[true]
	objective := multiply(path, queue.Stretch) + queue.Objective
	v := Verdict{
		Objective: objective, Limit: multiply(objective, NoValueFactor*safetyFactor),
		Slack: max(objective-path, multiply(objective, minSlackShare)),
	}
	if mean := summary.meanWork(queue.Route); mean > 0 {
		// Without a mean, the job counts as one of the most valuable class.
		v.Class = ClassOf(dispatch.ValuePerWork(work, mean, work))
	}
	pools := summary.poolsOf(queue.Service, own)
	v.Chain = multiply(path, maxSlowdown(pools))
	for _, p := range pools {
		v.add(Bound{Pool: p.ID, Own: own[p.ID.BestEffort], Rate: p.Rate}, p.Work, queue)
	}
	if a := summary.account(j.Account); a != nil {
		v.add(Bound{Account: true, Own: work, Rate: a.Rate}, a.Work, queue)
	}
	v.Finish, v.Refuse = max(v.Chain, v.Bound.finish()), v.refusedBy(v.Bound)
	if v.Refuse {
		v.RetryAfter = retryAfter(v.Bound.finish()-objective, j.ID)
	}
	return v
}

// hasEstimates reports whether the client has stated an estimate for each step.
func hasEstimates(j *job.Job) bool {
	return !slices.ContainsFunc(j.Steps, func(s job.Step) bool { return s.Estimate <= 0 })
}

// predict returns the work of a job's regular and of its best-effort tasks, in core-seconds,
// and its critical path, for corrected estimates.
func predict(j *job.Job, c duration.Correction) (work map[bool]float64, path time.Duration) {
	work = map[bool]float64{}
	for _, step := range j.Steps {
		step.Estimate = c.Apply(step.Estimate)
		work[step.Fills] += step.CoreSeconds()
	}
	return work, j.CriticalPathOf(func(step int) time.Duration { return c.Apply(j.Steps[step].Estimate) })
}

// poolsOf returns the pools of the service for the kinds of tasks that a job has.
func (s *Summary) poolsOf(service string, kinds map[bool]float64) []*Pool {
	var out []*Pool
	for _, bestEffort := range []bool{false, true} {
		if p := s.Pool(dispatch.Pool{Service: service, BestEffort: bestEffort}); p != nil {
			if _, uses := kinds[bestEffort]; uses {
				out = append(out, p)
			}
		}
	}
	return out
}

func maxSlowdown(pools []*Pool) float64 {
	slowdown := 1.0
	for _, p := range pools {
		slowdown = max(slowdown, p.Slowdown)
	}
	return slowdown
}

// add takes a bound into account, with the outstanding work there. One that leads to a
// refusal counts more than others, so that a refusal does not end when another bound grows,
// and among these the one with the latest finish.
func (v *Verdict) add(b Bound, outstanding Histogram, queue job.Queue) {
	b.Before, b.Certain = outstanding.Before(queue.Priority, v.Class)
	if b.Rate <= 0 || b.Before <= 0 {
		return
	}
	refuses, refused := v.refusedBy(b), v.refusedBy(v.Bound)
	if refuses && !refused || refuses == refused && b.finish() > v.Bound.finish() {
		v.Bound = b
	}
}

// refusedBy reports whether the bound leads to a refusal.
func (v *Verdict) refusedBy(b Bound) bool {
	return b.wait() > v.Slack && max(v.Chain, b.finish()) > v.Limit
}

// multiply returns a multiple of a duration, at most maxDrain.
func multiply(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(maxDrain)))
}

// retryAfter returns the time until a backlog has shrunk by the given time, in whole
// seconds from minRetry to maxRetry. It is spread over retrySpread of them by the job's id.
func retryAfter(excess time.Duration, id job.ID) time.Duration {
	wait := time.Duration(math.Ceil(excess.Seconds())) * time.Second
	return max(minRetry, min(wait, maxRetry-(retrySpread-1)*time.Second)) + spread(id, retrySpread)
}

// unreachableSpread is the number of seconds of RetryAfterUnreachable. An outage of the
// store lasts seconds, and another node may reach it now.
const unreachableSpread = 3

// RetryAfterUnreachable returns the time, from 1 to 3 s and spread by the job's id, after
// which a client may try again that was refused because the store cannot be reached.
func RetryAfterUnreachable(id job.ID) time.Duration { return minRetry + spread(id, unreachableSpread) }

// spread returns a whole number of seconds below n, the same for each call with the id.
func spread(id job.ID, n uint64) time.Duration {
	hash := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = hash.Write([]byte(id))
	// The low bits of this hash depend on few bits of the id.
	return time.Duration((hash.Sum64()>>32)%n) * time.Second
}
