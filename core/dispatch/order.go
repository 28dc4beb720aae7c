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
	// unfinished tasks need.
	Remaining   time.Duration
	CoreSeconds float64
	// TotalWork is the work of the whole occurrence, and MeanWork its mean over
	// the queue's jobs, in core-seconds.
	TotalWork, MeanWork float64
	// Starving is true if no task of the job has run for a while although much
	// capacity is free. One task is then placed on any worker on which it fits,
	// however slow it would be there. A gang is placed on several racks.
	Starving bool
	// Overdue is true if a long-running task has waited so long that it comes before
	// short work. Otherwise steady short work near full load would keep it waiting for ever.
	// Tasks that fit on no worker claim some.
	Overdue bool
	// deferred is set by DeferJobs for jobs that wait so that others finish on
	// time.
	deferred bool
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
	switch {
	case d.Step.LongRunning || (finish <= d.Deadline && !d.deferred):
		return onTime
	case finish <= d.NoValueAfter:
		return delayed
	}
	return valueless
}

// SortDemands sorts demands by tier, then overdue work first, then by the queue's
// priority, then short work before long-running work, then by the latest time at
// which the work must start. Demands of a later tier come later but are never dropped.
//
// Short work comes first because it uses its capacity for about a second, so a
// long-running task waits only briefly for it. The other way round, the short
// work would wait until the long-running task finishes. The bound of that wait holds
// in all queues, so overdue work comes before work of a higher priority.
func SortDemands(demands []Demand, now time.Duration) {
	slices.SortStableFunc(demands, func(a, b Demand) int {
		return cmp.Or(
			cmp.Compare(a.tier(now), b.tier(now)),
			cmp.Compare(overdueRank(a), overdueRank(b)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(durationRank(a), durationRank(b)),
			cmp.Compare(a.Deadline-a.Remaining, b.Deadline-b.Remaining),
		)
	})
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
