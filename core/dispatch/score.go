package dispatch

import (
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

// Weights of a worker's score; one unit is the worker's whole processor.
const (
	// nearData outweighs all room: far from its data a task takes a multiple of
	// its time.
	nearData = 10
	// spreadPenalty is the cost of each task of the same long-running step on
	// the worker, so that the loss of one worker costs few of them.
	spreadPenalty = 0.5
	// quietPenalty keeps workers without serving tasks for the filling tasks that
	// disturb what others serve.
	quietPenalty = 0.5
	// pressurePenalty is the cost of the whole pressure that a serving task
	// bears: its room is kept for filling tasks that find no better place.
	pressurePenalty = 8.0
	// sameImage is the gain of a worker that serves the image already, and
	// otherImage the cost of one that serves another image: tasks of one image
	// are disturbed by the same filling images.
	sameImage  = 2.0
	otherImage = 4.0
	// disturbedPenalty keeps a serving task away from filling tasks that are
	// known to disturb it.
	disturbedPenalty = 1.0
	// slowPenalty is the cost of a worker whose runs take twice their estimate.
	slowPenalty = 1.0
)

// score rates the worker for one more task of the demand; higher is better.
// Tasks that occupy room go where little is left, which keeps whole workers
// free for wide tasks; filling tasks go where most is left, which makes them
// fast.
func (p *Planner) score(s *slot, d *Demand) float64 {
	w := s.worker
	cores := float64(max(1, w.Capacity.CPUMilli))
	score := 0.0
	if d.Step.DataRack != "" && w.HasLabel(d.Step.DataRack) {
		score += nearData
	}
	switch {
	case d.Step.Fills:
		score += float64(s.spare) / cores
		if s.serves() {
			score -= pressurePenalty * p.room(s).Pressure(d.Step)
		} else {
			score -= quietPenalty
		}
	case d.Step.LongRunning:
		score += float64(s.free.CPUMilli) / cores
		score -= spreadPenalty * float64(s.onWorker(d.ID))
		score += p.company(s, d)
	default:
		score -= float64(s.free.CPUMilli) / cores
	}
	return score - slowness(w)
}

func slowness(w *fleet.Worker) float64 {
	return slowPenalty * max(0, w.Health.DurationRatio()-1)
}

// company rates what serves on the worker beside a serving task. Workers that
// serve one image only can take every filling image that does not disturb it.
func (p *Planner) company(s *slot, d *Demand) float64 {
	if d.Step.Target == 0 {
		return 0
	}
	same, other := 0.0, 0.0
	count := func(step *job.Step) {
		switch {
		case step == nil || step.Target == 0:
		case step.Image == d.Step.Image:
			same = sameImage
		default:
			other = otherImage
		}
	}
	for _, r := range s.worker.Attempts {
		count(r.Step)
	}
	for _, t := range s.planned {
		count(t.step)
	}
	rating := same - other
	if p.rules.Disturbed(s.worker, d.Step.Image) {
		rating -= disturbedPenalty
	}
	return rating
}
