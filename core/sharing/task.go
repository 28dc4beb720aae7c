package sharing

import (
	"time"

	"github.com/basilferry/basilferry/core/job"
)

// Instant is a time on the owner's steady clock.
type Instant = time.Duration

// ServingTask is a serving task on a worker with its newest tail latency.
type ServingTask struct {
	Image string
	// Step is the step of the task. All tasks of a step have the same load of
	// users at a time.
	Step job.StepID
	// Tail is the tail latency; 0 if it is not known.
	Tail, Target time.Duration
	// CloseFor is how long the tail has been near or over the target.
	CloseFor time.Duration
}

const (
	// closeRatio and stillNear are the shares of the target from which on a tail
	// counts as near, and below which it no longer does.
	closeRatio      = 0.95
	stillCloseRatio = 0.8
)

// IsCloseToTarget reports whether the tail is near or over its target. The figure is
// rough, so one that was near must fall further than one that was not has to
// rise: a tail just over its target would else count as under it by turns.
func (s *ServingTask) IsCloseToTarget(before bool) bool {
	if before {
		return s.ratio() > stillCloseRatio
	}
	return s.ratio() > closeRatio
}

// ratio returns the tail in multiples of the target.
func (s *ServingTask) ratio() float64 { return float64(s.Tail) / float64(s.Target) }

// idleTailRatio is the tail that counts as no pressure, in multiples of the target.
// Another value would scale and shift all pressures alike, so the figure need
// not be exact; tails of idle workers are about a fifth of their target.
const idleTailRatio = 0.2

// utilizationAtTarget is the pressure at which a tail reaches its target.
const utilizationAtTarget = 1 - idleTailRatio

// minUtilization bounds what one tail can show: a figure of next to nothing must
// not spoil a fit.
const minUtilization = -0.5

// utilization returns the pressure that the tail shows.
func (s *ServingTask) utilization() float64 { return max(minUtilization, 1-idleTailRatio/s.ratio()) }

// BestEffortTask is a filling task on a worker.
type BestEffortTask struct {
	Image string
	// SpeedPercent is its share of full speed in percent.
	SpeedPercent int
	// CPUShare is the share of the worker's processors that it uses at full speed,
	// and Used what it used last.
	CPUShare, CPUUsed float64
	// Movable tells that it can be stopped without losing work.
	Movable bool
}

// Adjustment is what to do with a filling task.
type Adjustment struct {
	// SpeedPercent is the pace it should have.
	SpeedPercent int
	// Move tells that it should be stopped and started on another worker.
	Move bool
}

const fullSpeedPercent = 100
