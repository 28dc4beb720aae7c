package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/job"
)

// Demand is the demand of one step of one occurrence (one execution of all
// steps of a job) whose waiting tasks may start now.
type Demand struct {
	ID   job.StepID
	Step *job.Step
	// Service is the pool whose workers may run the tasks.
	Service string
	// Priority is that of the queue; 0 is the highest.
	Priority int
	// Account is the client account of the job; empty if it belongs to none.
	Account string
	// WaitsForAccount is set by Plan if tasks were not placed because of the limit of the
	// account.
	WaitsForAccount bool
	// Waiting lists the indexes of the tasks that wait for an attempt.
	Waiting []int
	// Deadline is the time by which the occurrence should be finished, and
	// NoValueAfter the time after which finishing it has no value, both on the
	// scheduler's clock.
	Deadline, NoValueAfter time.Duration
	// Remaining is the estimated duration of the longest chain of unfinished
	// steps of the occurrence, and CoreSeconds the estimated CPU time that its
	// unfinished tasks need. Executing is the part of CoreSeconds in tasks that have
	// been placed.
	Remaining              time.Duration
	CoreSeconds, Executing float64
	// TaskDuration is the estimated duration of one task of the step.
	TaskDuration time.Duration
	// TotalWork is the work of the whole occurrence, and MeanWork its mean over
	// the queue's jobs, in core-seconds.
	TotalWork, MeanWork float64
	// Starving is true if no task of the job has run for a while although much
	// capacity is free. One task is then placed on any worker on which it fits,
	// however slow it would be there. A gang is placed on several racks.
	Starving bool
	// Idle is true if no task of the job has run for a while although much capacity is free.
	// Its tasks may then use suspect workers.
	Idle bool
	// Overdue is true if a long-running task has waited so long that it comes before
	// short work. Otherwise steady short work near full load would keep it waiting for ever.
	// Tasks that fit on no worker claim some.
	Overdue bool
	// expected is Remaining, shortened by Prepare if the pool's tasks take less than their
	// estimates. Otherwise jobs that can still be on time would count as delayed.
	expected time.Duration
	// deferred is set by Prepare for jobs that wait so that others finish on time.
	deferred bool
	// share is how the tasks relate to the share of their account. shareUsed is the part of
	// the share that the account uses when the demand begins; it is set for
	// crossesShare only.
	share shareClass
	// counted is true if the demand counts against the share of its account.
	counted   bool
	shareUsed float64
	// Tickets maps the id of each worker that the policy service allows to the
	// ticket for it. It is nil if the queue has no policy service.
	Tickets map[string]string
}

// tier groups demands by whether they can still meet their objective.
type tier int

const (
	// onTime demands can still meet their objective, or are long-running.
	onTime tier = iota
	// delayed demands are past their objective, or deferred, but still have some
	// value.
	delayed
	// valueless demands finish too late to have any value. They run when no other
	// demand can use the capacity.
	valueless
)

func (d *Demand) tier(now time.Duration) tier {
	finish := now + d.Remaining
	if d.expected > 0 {
		finish = now + d.expected
	}
	switch {
	case d.Step.LongRunning || (finish <= d.Deadline && !d.deferred):
		return onTime
	case finish <= d.NoValueAfter:
		return delayed
	}
	return valueless
}

// IsDeferred reports whether Prepare has deferred the job so that others finish on time.
func (d *Demand) IsDeferred() bool { return d.deferred }

// IsBeyondShare reports whether the tasks exceed the share of their account.
func (d *Demand) IsBeyondShare() bool { return d.share == beyondShare }

// Prepare returns the demands in the order in which they are to be placed. It determines
// which jobs are deferred and which tasks are beyond the share of their account. A demand of
// which only some tasks are within the share is divided.
//
// The shares come first, because work beyond them is deferred first.
func Prepare(demands []Demand, load Load, now time.Duration) []Demand {
	for i := range demands {
		d := &demands[i]
		d.deferred, d.share, d.shareUsed, d.expected = false, withinShare, 0, d.Remaining
		d.counted = hasShare(d, load)
		if slowdown := load.Pools[d.pool()].Slowdown; slowdown > 0 {
			d.expected = time.Duration(min(1, slowdown) * float64(d.Remaining))
		}
	}
	if len(load.Accounts) > 0 {
		SortDemands(demands, now)
		demands = markBeyondShares(demands, load)
	}
	deferJobs(demands, load, now)
	SortDemands(demands, now)
	return demands
}

// SortDemands sorts demands without value last and, of the others, first those within the
// share of their account, then those that cross it, of the account that uses least of its
// share first, then those beyond it. It then sorts by tier, then overdue work first,
// then by the queue's priority, then short work before long-running work, then by the
// latest time at which the work must start. No demand is dropped.
//
// Short work comes first because it uses its capacity for about a second, so a
// long-running task waits only briefly for it. The other way round, the short
// work would wait until the long-running task finishes. The bound of that wait holds
// in all queues, so overdue work comes before work of a higher priority.
func SortDemands(demands []Demand, now time.Duration) {
	slices.SortStableFunc(demands, func(a, b Demand) int {
		return cmp.Or(
			cmp.Compare(valueRank(&a, now), valueRank(&b, now)),
			cmp.Compare(a.share, b.share),
			cmp.Compare(a.shareUsed, b.shareUsed),
			cmp.Compare(a.tier(now), b.tier(now)),
			cmp.Compare(overdueRank(a), overdueRank(b)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(durationRank(a), durationRank(b)),
			cmp.Compare(a.Deadline-a.Remaining, b.Deadline-b.Remaining),
		)
	})
}

// valueRank is 1 for work without value. Work within the share of an account loses that
// place after maxValuelessWait: otherwise it would wait for as long as other accounts send
// work beyond their shares.
func valueRank(d *Demand, now time.Duration) int {
	if d.tier(now) != valueless || d.counted && d.share == withinShare && now >= d.NoValueAfter+d.maxValuelessWait() {
		return 0
	}
	return 1
}

func overdueRank(d Demand) int {
	if d.Overdue {
		return 0
	}
	return 1
}

func durationRank(d Demand) int {
	if d.Step.LongRunning {
		return 1
	}
	return 0
}

// maxValuelessWait is how long work within a share may wait after its value is lost before it
// comes before work beyond shares: as long again as it has had any value.
func (d *Demand) maxValuelessWait() time.Duration { return 3 * (d.NoValueAfter - d.Deadline) / 2 }
