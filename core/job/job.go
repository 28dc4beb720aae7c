package job

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Step is one step of a job: a number of equal tasks.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Need is what each task occupies on a worker.
	Need domain.Resources
	// Estimate is the client's rough estimate of one task's duration.
	Estimate time.Duration
	// DependsOn lists earlier steps whose tasks must all be done first.
	DependsOn []int
	// SavesProgress tasks write checkpoints and resume from them.
	SavesProgress bool
	// Gang tasks work only while all tasks of the step run together.
	Gang bool
	// SameRack tasks are slow when they run on more than one rack.
	SameRack bool
	// Speculative tasks may run in several copies at once.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Fills tasks use the processor time that other tasks leave; their
	// processor demand is not counted against the worker.
	Fills bool
	// RequiredLabel is a label that the worker must have; empty for none.
	RequiredLabel string
	// DataRack is the rack on which the tasks are not slow; empty for any.
	DataRack string
	// Image groups tasks that behave alike.
	Image string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 for no bound.
	MaxPerWorker int
	// MayMiss is how many tasks of a long-running step the system may have
	// unavailable at once.
	MayMiss int
	// Target is the bound on the tail latency of a serving task; 0 for none.
	Target time.Duration
}

// ReservedCapacity returns what one task of the step takes from a worker's capacity.
func (s Step) ReservedCapacity() domain.Resources {
	need := s.Need
	if s.Fills {
		need.CPUMilli = 0
	}
	return need
}

// Repeat describes a job that runs several times at fixed times of day.
type Repeat struct {
	// Count is the number of occurrences; 0 for a job that runs once, now.
	Count int
	// FirstUnixMS is when occurrence 0 is due, in Unix milliseconds.
	FirstUnixMS int64
	// IntervalMS is the time between two occurrences, in milliseconds.
	IntervalMS int64
}

// Queue is the part of a route's configuration that applies to its jobs.
type Queue struct {
	// Route is the name of the route.
	Route string
	// Service is the pool of workers that runs the tasks.
	Service string
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts bounds the failed runs of a task; 0 for no bound.
	MaxAttempts int
	// Stretch is the objective as a multiple of the longest chain of work.
	Stretch float64
	// Objective is added to the stretched chain of work.
	Objective time.Duration
	// Advice is set if only a policy service knows which workers may run a step.
	Advice bool
}

// Job is an accepted job. It never changes after it was accepted.
type Job struct {
	ID ID
	// Payload is passed to each task unchanged.
	Payload string
	Steps   []Step
	Repeat  Repeat
	// Queue is the policy at the time of acceptance.
	Queue Queue
	// SubmittedUnixMS is the accepting node's time of day, in Unix milliseconds.
	SubmittedUnixMS int64
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat.Count) }

// DueUnixMS returns when an occurrence may start, in Unix milliseconds; 0 for
// a job that runs once, now.
func (j *Job) DueUnixMS(occurrence int) int64 {
	if j.Repeat.Count == 0 {
		return 0
	}
	return j.Repeat.FirstUnixMS + int64(occurrence)*j.Repeat.IntervalMS
}

// HasLongRunningStep reports whether the job has a step that runs until it is cancelled.
func (j *Job) HasLongRunningStep() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// Work returns the estimated processor time of one occurrence in core-seconds.
func (j *Job) Work() float64 {
	total := 0.0
	for _, s := range j.Steps {
		total += s.Work()
	}
	return total
}

// Work returns the estimated processor time of the step in core-seconds.
func (s Step) Work() float64 {
	return float64(s.Count) * s.Estimate.Seconds() * float64(s.Need.CPUMilli) / 1000
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		start := time.Duration(0)
		for _, d := range s.DependsOn {
			start = max(start, ends[d])
		}
		ends[i] = start + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// LatencyObjective returns by when, counted from submission, the job should be
// complete under the queue's policy, which may be newer than the one at its
// acceptance.
func (j *Job) LatencyObjective(q Queue) time.Duration {
	return time.Duration(q.Stretch*float64(j.CriticalPath())) + q.Objective
}
