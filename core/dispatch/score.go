package dispatch

import (
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

// Weights of a worker's score; one unit is the worker's whole processor.
const (
	// dataRackBonus outweighs all room: far from its data a task takes a multiple of
	// its time.
	dataRackBonus = 10
	// spreadPenalty is the cost of each task of the same long-running step on
	// the worker, so that the loss of one worker costs few of them.
	spreadPenalty = 0.5
	// noServingPenalty keeps workers without serving tasks for the filling tasks that
	// disturb what others serve.
	noServingPenalty = 0.5
	// interferencePenalty is the cost of the whole pressure that a serving task
	// bears: its room is kept for filling tasks that find no better place.
	interferencePenalty = 8.0
	// sameImageBonus is the gain of a worker that serves the image already, and
	// otherImagePenalty the cost of one that serves another image: tasks of one image
	// are disturbed by the same filling images.
	sameImageBonus    = 2.0
	otherImagePenalty = 4.0
	// interferedPenalty keeps a serving task away from filling tasks that are
	// known to disturb it.
	interferedPenalty = 1.0
	// slowPenalty is the cost of a worker whose runs take twice their estimate.
	slowPenalty = 1.0
)

// score rates the worker for one more task of the demand; higher is better.
// Tasks that occupy room go where little is left, which keeps whole workers
// free for wide tasks; filling tasks go where most is left, which makes them
// fast.
func (p *Planner) score(s *candidate, d *Demand) float64 {
	w := s.worker
	cores := float64(max(1, w.Capacity.CPUMilli))
	score := 0.0
	if d.Step.DataRack != "" && w.HasLabel(d.Step.DataRack) {
		score += dataRackBonus
	}
	switch {
	case d.Step.Fills:
		score += float64(s.unusedCPUMilli) / cores
		if s.hasServingTask() {
			score -= interferencePenalty * p.headroom(s).Interference(d.Step)
		} else {
			score -= noServingPenalty
		}
	case d.Step.LongRunning:
		score += float64(s.free.CPUMilli) / cores
		score -= spreadPenalty * float64(s.taskCount(d.ID))
		score += p.colocationScore(s, d)
	default:
		score -= float64(s.free.CPUMilli) / cores
	}
	return score - slownessPenalty(w)
}

func slownessPenalty(w *fleet.Worker) float64 {
	return slowPenalty * max(0, w.Health.DurationRatio()-1)
}

// colocationScore rates what serves on the worker beside a serving task. Workers that
// serve one image only can take every filling image that does not disturb it.
func (p *Planner) colocationScore(s *candidate, d *Demand) float64 {
	if d.Step.Target == 0 {
		return 0
	}
	same, other := 0.0, 0.0
	count := func(step *job.Step) {
		switch {
		case step == nil || step.Target == 0:
		case step.Image == d.Step.Image:
			same = sameImageBonus
		default:
			other = otherImagePenalty
		}
	}
	for _, r := range s.worker.Attempts {
		count(r.Step)
	}
	for _, t := range s.planned {
		count(t.step)
	}
	rating := same - other
	if p.rules.Interferes(s.worker, d.Step.Image) {
		rating -= interferedPenalty
	}
	return rating
}
