package sharing

import (
	"time"

	"github.com/basilferry/basilferry/core/job"
)

// Instant is a time on the owner's monotonic clock.
type Instant = time.Duration

// ServingTask is a serving task on a worker with its latest tail latency.
type ServingTask struct {
	Image string
	// Step is the step of the task. All tasks of a step have the same user load
	// at a time.
	Step job.StepID
	// Tail is the tail latency; 0 if it is not known.
	Tail, Target time.Duration
	// CloseFor is how long the tail has been close to or over its target.
	CloseFor time.Duration
}

const (
	// closeRatio is the ratio of tail to target above which a tail counts as
	// close to its target, and stillCloseRatio that to which it must fall to no
	// longer count as close.
	closeRatio      = 0.95
	stillCloseRatio = 0.8
)

// IsCloseToTarget reports whether the tail is close to or over its target;
// before is the previous answer. Samples of a tail are noisy, so the threshold
// is lower for a tail that was close before. Without this hysteresis, a tail
// just over its target would alternately count as over and under it.
func (s *ServingTask) IsCloseToTarget(before bool) bool {
	if before {
		return s.ratio() > stillCloseRatio
	}
	return s.ratio() > closeRatio
}

// ratio returns the ratio of the tail to its target.
func (s *ServingTask) ratio() float64 { return float64(s.Tail) / float64(s.Target) }

// idleTailRatio is the tail that counts as zero utilization, in multiples of
// the target. Another value would scale and shift all utilizations alike, so
// it need not be exact. Tails on idle workers are about a fifth of their
// target.
const idleTailRatio = 0.2

// utilizationAtTarget is the utilization at which a tail reaches its target.
const utilizationAtTarget = 1 - idleTailRatio

// minUtilization is the lowest utilization taken from a tail, so that a tail
// of almost zero does not distort a fit.
const minUtilization = -0.5

// utilization returns the utilization that the tail shows.
func (s *ServingTask) utilization() float64 { return max(minUtilization, 1-idleTailRatio/s.ratio()) }

// BestEffortTask is a best-effort task on a worker.
type BestEffortTask struct {
	Image string
	// SpeedPercent is its speed limit in percent of full speed.
	SpeedPercent int
	// CPUShare is the share of the worker's processors that it uses at full
	// speed, and CPUUsed the share that it used last.
	CPUShare, CPUUsed float64
	// Movable is true if the task can be stopped without losing work.
	Movable bool
}

// Adjustment says what to do with a best-effort task.
type Adjustment struct {
	// SpeedPercent is the speed limit that it should have, in percent of full
	// speed.
	SpeedPercent int
	// Move is true if it should be stopped and started on another worker.
	Move bool
}

const fullSpeedPercent = 100
