package sharing

import (
	"time"

	"github.com/basilferry/basilferry/core/job"
)

// Instant is a time on the owner's steady clock.
type Instant = time.Duration

// Serving is a serving task on a worker with its newest tail latency.
type Serving struct {
	Image string
	// Step is the step of the task. All tasks of a step have the same load of
	// users at a time.
	Step job.StepID
	// Tail is the tail latency; 0 if it is not known.
	Tail, Target time.Duration
	// NearFor is how long the tail has been near or over the target.
	NearFor time.Duration
}

const (
	// nearTarget and stillNear are the shares of the target from which on a tail
	// counts as near, and below which it no longer does.
	nearTarget = 0.95
	stillNear  = 0.8
)

// Near reports whether the tail is near or over its target. The figure is
// rough, so one that was near must fall further than one that was not has to
// rise: a tail just over its target would else count as under it by turns.
func (s *Serving) Near(before bool) bool {
	if before {
		return s.ratio() > stillNear
	}
	return s.ratio() > nearTarget
}

// ratio returns the tail in multiples of the target.
func (s *Serving) ratio() float64 { return float64(s.Tail) / float64(s.Target) }

// idleTail is the tail that counts as no pressure, in multiples of the target.
// Another value would scale and shift all pressures alike, so the figure need
// not be exact; tails of idle workers are about a fifth of their target.
const idleTail = 0.2

// limit is the pressure at which a tail reaches its target.
const limit = 1 - idleTail

// lowestPressure bounds what one tail can show: a figure of next to nothing must
// not spoil a fit.
const lowestPressure = -0.5

// pressure returns the pressure that the tail shows.
func (s *Serving) pressure() float64 { return max(lowestPressure, 1-idleTail/s.ratio()) }

// Filling is a filling task on a worker.
type Filling struct {
	Image string
	// Pace is its share of full speed in percent.
	Pace int
	// Share is the share of the worker's processors that it uses at full speed,
	// and Used what it used last.
	Share, Used float64
	// Movable tells that it can be stopped without losing work.
	Movable bool
}

// Advice is what to do with a filling task.
type Advice struct {
	// Pace is the pace it should have.
	Pace int
	// Move tells that it should be stopped and started on another worker.
	Move bool
}

const fullPace = 100
