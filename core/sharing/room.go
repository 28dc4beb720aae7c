package sharing

import (
	"time"

	"github.com/basilferry/basilferry/core/job"
)

const (
	// horizon is how far ahead a placement looks: about as long as a filling task
	// runs.
	horizon = 4 * time.Second
	// points is at how many times within the horizon the room is worked out.
	points = 6
	// negligible is the pressure of a task below which no room is needed.
	negligible = 0.02
)

// Room is the pressure that filling tasks may add on one worker within the next
// seconds.
type Room struct {
	model *Model
	free  []freeRoom
	// speeds remembers answers until a task is added.
	speeds []speedOf
}

// freeRoom is the room of one serving task; the pressure that is left at each
// point in time.
type freeRoom struct {
	fit  *fit
	step job.StepID
	// tasks is how many serving tasks on the worker need it.
	tasks float64
	at    [points]float64
}

type speedOf struct {
	image string
	share float64
	speed float64
}

// Room returns the room on a worker beside its serving tasks, with its filling
// tasks at full speed.
func (m *Model) Room(now Instant, serving []Serving, filling []Filling) *Room {
	r := &Room{model: m}
	for i := range serving {
		r.Serve(now, &serving[i])
	}
	for _, f := range filling {
		r.Add(f)
	}
	return r
}

// Serve adds a serving task. Tasks with one load and one image need one room.
func (r *Room) Serve(now Instant, s *Serving) {
	fit := r.model.fit(s.Image)
	for i := range r.free {
		if r.free[i].step == s.Step && r.free[i].fit == fit {
			r.free[i].tasks++
			return
		}
	}
	free := freeRoom{fit: fit, step: s.Step, tasks: 1}
	for k := range free.at {
		load := r.model.loads.forecast(s.Step, now+horizon*time.Duration(k)/points)
		free.at[k] = limit - load - roughness*(1-load)
	}
	r.free = append(r.free, free)
	r.speeds = r.speeds[:0]
}

// Add takes the room of one more filling task.
func (r *Room) Add(f Filling) {
	for i := range r.free {
		own := r.free[i].fit.effect(f.Image) * f.Share
		for k := range r.free[i].at {
			r.free[i].at[k] -= own
		}
	}
	r.speeds = r.speeds[:0]
}

// Speed returns the share of full speed, from 0 to 1, that one more filling
// task can be expected to reach.
func (r *Room) Speed(f Filling) float64 {
	for _, s := range r.speeds {
		if s.image == f.Image && s.share == f.Share {
			return s.speed
		}
	}
	sum := 0.0
	for k := range points {
		sum += r.speedAt(f, k)
	}
	r.speeds = append(r.speeds, speedOf{image: f.Image, share: f.Share, speed: sum / points})
	return sum / points
}

// Pressure returns the highest pressure that one more filling task at full
// speed would put on a serving task.
func (r *Room) Pressure(f Filling) float64 {
	highest := 0.0
	for i := range r.free {
		highest = max(highest, r.free[i].fit.effect(f.Image)*f.Share)
	}
	return highest
}

// speedAt returns the best pace of the task at one point in time, less what the
// serving tasks that it then brings over their target cost.
func (r *Room) speedAt(f Filling, k int) float64 {
	best := r.gain(f, k, 1)
	for i := range r.free {
		if own := r.free[i].fit.effect(f.Image) * f.Share; own > negligible {
			best = max(best, r.gain(f, k, max(0, min(1, r.free[i].at[k]/own))))
		}
	}
	return best
}

// gain returns what a pace brings at one point in time, in filling tasks.
func (r *Room) gain(f Filling, k int, pace float64) float64 {
	gain := pace
	for i := range r.free {
		own := r.free[i].fit.effect(f.Image) * f.Share
		if own > negligible && pace*own > r.free[i].at[k] && pace > 0 {
			gain -= r.free[i].tasks / worthOfServing
		}
	}
	return gain
}
