package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/job"
)

// Demand is one step of one occurrence with tasks that may start now.
type Demand struct {
	ID   job.StepID
	Step *job.Step
	// Service is the pool whose workers may run the tasks.
	Service string
	// Priority is that of the queue; 0 comes first.
	Priority int
	// Waiting lists the tasks that have no run.
	Waiting []int
	// Due is when the occurrence should be complete, and Late when it is worth
	// nothing any more, on the caller's clock.
	Due, NoValueAfter time.Duration
	// Remaining is the estimated duration of the longest chain of work that is
	// left, and Work the processor time that is left, in core-seconds.
	Remaining time.Duration
	Work      float64
	// TotalWork is that of the whole occurrence, and MeanWork the mean of the
	// queue's jobs, in core-seconds.
	TotalWork, MeanWork float64
	// Starving tells that nothing of the job has run for a while although a task
	// could. One task is then placed wherever there is room.
	Starving bool
	// deferred is set by DeferJobs for jobs that give way to others.
	deferred bool
	// Tickets names the workers that a policy service allows, with the
	// permission for each; nil if the queue has no such service.
	Tickets map[string]string
}

// tier groups demands by what can still be gained.
type tier int

const (
	// onTime can still meet its objective.
	onTime tier = iota
	// delayed is past it but still of some worth.
	delayed
	// valueless is past that too; it is run when nothing else wants the room.
	valueless
)

func (d *Demand) tier(now time.Duration) tier {
	end := now + d.Remaining
	switch {
	case d.Step.LongRunning || (end <= d.Due && !d.deferred):
		return onTime
	case end <= d.NoValueAfter:
		return delayed
	}
	return valueless
}

// SortDemands sorts demands so that the first gains most: by tier, then by the
// queue's priority, then short work before long-running work, then by the
// latest time at which the work must start. Demands of a later tier come later
// but are never dropped.
//
// Short work comes first because it holds its room for about a second: a
// long-running task waits little for it, while the other way round the short
// work waits until the long-running task ends.
func SortDemands(demands []Demand, now time.Duration) {
	slices.SortStableFunc(demands, func(a, b Demand) int {
		return cmp.Or(
			cmp.Compare(a.tier(now), b.tier(now)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(durationRank(a), durationRank(b)),
			cmp.Compare(a.Due-a.Remaining, b.Due-b.Remaining),
		)
	})
}

func durationRank(d Demand) int {
	if d.Step.LongRunning {
		return 1
	}
	return 0
}
