package sharing

import (
	"time"

	"github.com/basilferry/basilferry/core/job"
)

const (
	// horizon is how far ahead a placement considers the load: about the duration
	// of a best-effort task.
	horizon = 4 * time.Second
	// forecastPoints is the number of points in time within the horizon at which
	// the headroom is computed.
	forecastPoints = 6
	// negligibleInterference is the interference up to which a task needs no
	// headroom.
	negligibleInterference = 0.02
)

// Headroom is the interference that may still be added on one worker within
// the next seconds.
type Headroom struct {
	model    *Model
	headroom []stepHeadroom
	// cachedSpeeds holds the results of ExpectedSpeed until a best-effort task or
	// the first serving task of a step and image is added.
	cachedSpeeds []cachedSpeed
}

// stepHeadroom is the headroom of the serving tasks of one step and image.
type stepHeadroom struct {
	regression *regression
	step       job.StepID
	// tasks is the number of these serving tasks on the worker.
	tasks float64
	// available is the interference that may be added at each point in time.
	available [forecastPoints]float64
}

type cachedSpeed struct {
	image    string
	cpuShare float64
	speed    float64
}

// Headroom returns the headroom on a worker with its serving tasks, and its
// best-effort tasks at full speed.
func (m *Model) Headroom(now Instant, serving []ServingTask, bestEffort []BestEffortTask) *Headroom {
	h := &Headroom{model: m}
	for i := range serving {
		h.AddServing(now, &serving[i])
	}
	for _, task := range bestEffort {
		h.Add(task)
	}
	return h
}

// AddServing adds a serving task. Tasks of the same step and image share one
// headroom.
func (h *Headroom) AddServing(now Instant, s *ServingTask) {
	regression := h.model.regression(s.Image)
	for i := range h.headroom {
		if h.headroom[i].step == s.Step && h.headroom[i].regression == regression {
			h.headroom[i].tasks++
			return
		}
	}
	headroom := stepHeadroom{regression: regression, step: s.Step, tasks: 1}
	for k, load := range h.model.loads.forecastHorizon(s.Step, now) {
		headroom.available[k] = utilizationAtTarget - load - relativeTailError*(1-load)
	}
	h.headroom = append(h.headroom, headroom)
	h.cachedSpeeds = h.cachedSpeeds[:0]
}

// Add subtracts the interference of one more best-effort task from the
// headroom.
func (h *Headroom) Add(task BestEffortTask) {
	for i := range h.headroom {
		interference := h.headroom[i].regression.effect(task.Image) * task.CPUShare
		for k := range h.headroom[i].available {
			h.headroom[i].available[k] -= interference
		}
	}
	h.cachedSpeeds = h.cachedSpeeds[:0]
}

// ExpectedSpeed returns the share of full speed, from 0 to 1, that one more
// best-effort task can be expected to reach.
func (h *Headroom) ExpectedSpeed(task BestEffortTask) float64 {
	for _, cached := range h.cachedSpeeds {
		if cached.image == task.Image && cached.cpuShare == task.CPUShare {
			return cached.speed
		}
	}
	sum := 0.0
	for k := range forecastPoints {
		sum += h.speedAtPoint(task, k)
	}
	h.cachedSpeeds = append(h.cachedSpeeds, cachedSpeed{image: task.Image, cpuShare: task.CPUShare, speed: sum / forecastPoints})
	return sum / forecastPoints
}

// Interference returns the highest interference that one more best-effort task
// at full speed would cause for a serving task.
func (h *Headroom) Interference(task BestEffortTask) float64 {
	highest := 0.0
	for i := range h.headroom {
		highest = max(highest, h.headroom[i].regression.effect(task.Image)*task.CPUShare)
	}
	return highest
}

// speedAtPoint returns the highest value of the task at one point in time. It
// compares full speed and the highest speeds at which each serving task stays
// within its target.
func (h *Headroom) speedAtPoint(task BestEffortTask, point int) float64 {
	best := h.value(task, point, 1)
	for i := range h.headroom {
		if interference := h.headroom[i].regression.effect(task.Image) * task.CPUShare; interference > negligibleInterference {
			best = max(best, h.value(task, point, max(0, min(1, h.headroom[i].available[point]/interference))))
		}
	}
	return best
}

// value returns the value of running the task at a speed at one point in time,
// in best-effort tasks at full speed: the speed, less a cost for each serving
// task that it would bring over its target.
func (h *Headroom) value(task BestEffortTask, point int, speed float64) float64 {
	value := speed
	for i := range h.headroom {
		interference := h.headroom[i].regression.effect(task.Image) * task.CPUShare
		if interference > negligibleInterference && speed*interference > h.headroom[i].available[point] && speed > 0 {
			value -= h.headroom[i].tasks / maxStoppedPerServingTask
		}
	}
	return value
}
