package job

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Step is one step of a job: a number of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Need is what each task needs of a worker.
	Need domain.Resources
	// Estimate is the client's rough estimate of the duration of one task.
	Estimate time.Duration
	// DependsOn lists the indexes of earlier steps that must be done first.
	DependsOn []int
	// SavesProgress: the tasks write checkpoints and resume from them.
	SavesProgress bool
	// Gang: the tasks make progress only while all tasks of the step run.
	Gang bool
	// SameRack: the tasks are slow if they run on more than one rack.
	SameRack bool
	// Speculative: several copies of a task may run concurrently.
	Speculative bool
	// LongRunning: the tasks run until the job is cancelled.
	LongRunning bool
	// Fills: the tasks are best-effort tasks. They use the CPU time that other
	// tasks leave idle, so their CPU demand does not count against the worker's
	// capacity.
	Fills bool
	// RequiredLabel is a label that the worker must have; empty for none.
	RequiredLabel string
	// DataRack is the only rack on which the tasks are not slow; empty if all
	// racks are equal.
	DataRack string
	// Image identifies what the tasks execute. Tasks with the same image behave
	// alike.
	Image string
	// MaxPerWorker is how many tasks of the step one worker may have; 0 for no
	// limit.
	MaxPerWorker int
	// MayMiss is how many tasks of a long-running step may be unavailable at the
	// same time through actions of the system.
	MayMiss int
	// Target is the tail latency target of a serving task; 0 for other tasks.
	Target time.Duration
}

// ReservedCapacity returns what one task of the step reserves of a worker's
// capacity.
func (s Step) ReservedCapacity() domain.Resources {
	need := s.Need
	if s.Fills {
		need.CPUMilli = 0
	}
	return need
}

// Repeat describes how a job repeats at a fixed interval.
type Repeat struct {
	// Count is the number of occurrences; 0 for a job that runs once,
	// immediately.
	Count int
	// FirstUnixMS is when the first occurrence is due, in Unix milliseconds.
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
	// Priority orders the queues; 0 is the most urgent.
	Priority int
	// MaxAttempts limits the failed attempts of a task; 0 for no limit.
	MaxAttempts int
	// Stretch is the factor of the critical path in the latency objective.
	Stretch float64
	// Objective is the constant part of the latency objective.
	Objective time.Duration
	// Advice is set if the policy service must be asked which workers may run a
	// step.
	Advice bool
}

// LatencyObjective returns how long after its submission a job with the given critical path
// should be finished.
func (q Queue) LatencyObjective(path time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(path)) + q.Objective
}

// Job is an accepted job. It is immutable after its acceptance.
type Job struct {
	ID ID
	// Payload is passed to each task unchanged.
	Payload string
	Steps   []Step
	Repeat  Repeat
	// Queue is the policy of the queue when the job was accepted.
	Queue Queue
	// Account is the name of the client account that submitted the job; empty if it
	// belongs to no account.
	Account string `cbor:",omitempty"`
	// SubmittedUnixMS is the wall clock time of the accepting node at the
	// acceptance, in Unix milliseconds.
	SubmittedUnixMS int64
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat.Count) }

// DueUnixMS returns when an occurrence may start, in Unix milliseconds; 0 for a
// job that runs once, immediately.
func (j *Job) DueUnixMS(occurrence int) int64 {
	if j.Repeat.Count == 0 {
		return 0
	}
	return j.Repeat.FirstUnixMS + int64(occurrence)*j.Repeat.IntervalMS
}

// HasLongRunningStep reports whether a step of the job runs until the job is
// cancelled.
func (j *Job) HasLongRunningStep() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// CoreSeconds returns the estimated CPU time of one occurrence in core-seconds.
func (j *Job) CoreSeconds() float64 {
	total := 0.0
	for _, s := range j.Steps {
		total += s.CoreSeconds()
	}
	return total
}

// CoreSeconds returns the estimated CPU time of the step in core-seconds.
func (s Step) CoreSeconds() float64 {
	return float64(s.Count) * s.Estimate.Seconds() * float64(s.Need.CPUMilli) / 1000
}

// CriticalPath returns the estimated duration of the longest chain of dependent
// steps.
func (j *Job) CriticalPath() time.Duration {
	return j.CriticalPathOf(func(step int) time.Duration { return j.Steps[step].Estimate })
}

// CriticalPathOf returns the duration of the longest chain of dependent steps for the
// given duration of the tasks of each step.
func (j *Job) CriticalPathOf(taskDuration func(step int) time.Duration) time.Duration {
	finishTimes := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		start := time.Duration(0)
		for _, d := range s.DependsOn {
			start = max(start, finishTimes[d])
		}
		finishTimes[i] = start + taskDuration(i)
		longest = max(longest, finishTimes[i])
	}
	return longest
}

// LatencyObjective returns how long after its submission the job should be
// complete under the policy q, which may be newer than the policy at the job's
// acceptance.
func (j *Job) LatencyObjective(q Queue) time.Duration {
	return q.LatencyObjective(j.CriticalPath())
}
