package sharing

import (
	"time"

	"github.com/basilferry/basilferry/core/job"
)

const (
	// horizon is how far ahead a placement looks: about as long as a filling task
	// runs.
	horizon = 4 * time.Second
	// forecastPoints is at how many times within the horizon the room is worked out.
	forecastPoints = 6
	// negligibleInterference is the pressure of a task below which no room is needed.
	negligibleInterference = 0.02
)

// Headroom is the pressure that filling tasks may add on one worker within the next
// seconds.
type Headroom struct {
	model    *Model
	headroom []stepHeadroom
	// cachedSpeeds remembers answers until a task is added.
	cachedSpeeds []cachedSpeed
}

// stepHeadroom is the room of one serving task; the pressure that is left at each
// point in time.
type stepHeadroom struct {
	regression *regression
	step       job.StepID
	// tasks is how many serving tasks on the worker need it.
	tasks     float64
	available [forecastPoints]float64
}

type cachedSpeed struct {
	image string
	share float64
	speed float64
}

// Headroom returns the room on a worker beside its serving tasks, with its filling
// tasks at full speed.
func (m *Model) Headroom(now Instant, serving []ServingTask, filling []BestEffortTask) *Headroom {
	r := &Headroom{model: m}
	for i := range serving {
		r.AddServing(now, &serving[i])
	}
	for _, f := range filling {
		r.Add(f)
	}
	return r
}

// AddServing adds a serving task. Tasks with one load and one image need one room.
func (r *Headroom) AddServing(now Instant, s *ServingTask) {
	regression := r.model.regression(s.Image)
	for i := range r.headroom {
		if r.headroom[i].step == s.Step && r.headroom[i].regression == regression {
			r.headroom[i].tasks++
			return
		}
	}
	headroom := stepHeadroom{regression: regression, step: s.Step, tasks: 1}
	for k := range headroom.available {
		load := r.model.loads.forecast(s.Step, now+horizon*time.Duration(k)/forecastPoints)
		headroom.available[k] = utilizationAtTarget - load - relativeTailError*(1-load)
	}
	r.headroom = append(r.headroom, headroom)
	r.cachedSpeeds = r.cachedSpeeds[:0]
}

// Add takes the room of one more filling task.
func (r *Headroom) Add(f BestEffortTask) {
	for i := range r.headroom {
		own := r.headroom[i].regression.effect(f.Image) * f.CPUShare
		for k := range r.headroom[i].available {
			r.headroom[i].available[k] -= own
		}
	}
	r.cachedSpeeds = r.cachedSpeeds[:0]
}

// ExpectedSpeed returns the share of full speed, from 0 to 1, that one more filling
// task can be expected to reach.
func (r *Headroom) ExpectedSpeed(f BestEffortTask) float64 {
	for _, s := range r.cachedSpeeds {
		if s.image == f.Image && s.share == f.CPUShare {
			return s.speed
		}
	}
	sum := 0.0
	for k := range forecastPoints {
		sum += r.speedAtPoint(f, k)
	}
	r.cachedSpeeds = append(r.cachedSpeeds, cachedSpeed{image: f.Image, share: f.CPUShare, speed: sum / forecastPoints})
	return sum / forecastPoints
}

// Interference returns the highest pressure that one more filling task at full
// speed would put on a serving task.
func (r *Headroom) Interference(f BestEffortTask) float64 {
	highest := 0.0
	for i := range r.headroom {
		highest = max(highest, r.headroom[i].regression.effect(f.Image)*f.CPUShare)
	}
	return highest
}

// speedAtPoint returns the best pace of the task at one point in time, less what the
// serving tasks that it then brings over their target cost.
func (r *Headroom) speedAtPoint(f BestEffortTask, k int) float64 {
	best := r.value(f, k, 1)
	for i := range r.headroom {
		if own := r.headroom[i].regression.effect(f.Image) * f.CPUShare; own > negligibleInterference {
			best = max(best, r.value(f, k, max(0, min(1, r.headroom[i].available[k]/own))))
		}
	}
	return best
}

// value returns what a pace brings at one point in time, in filling tasks.
func (r *Headroom) value(f BestEffortTask, k int, pace float64) float64 {
	value := pace
	for i := range r.headroom {
		own := r.headroom[i].regression.effect(f.Image) * f.CPUShare
		if own > negligibleInterference && pace*own > r.headroom[i].available[k] && pace > 0 {
			value -= r.headroom[i].tasks / maxStoppedPerServingTask
		}
	}
	return value
}
