package dispatch

import (
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

// Weights of a worker's score. One unit is the worker's whole CPU capacity.
const (
	// dataRackBonus outweighs all free capacity: a task in another rack than its
	// data takes several times as long.
	dataRackBonus = 10
	// spreadPenalty is the cost of each task of the same long-running step on the
	// worker, so that the loss of one worker affects few of them.
	spreadPenalty = 0.5
	// noServingPenalty keeps workers without serving tasks free for best-effort
	// tasks that interfere with serving tasks elsewhere.
	noServingPenalty = 0.5
	// interferencePenalty is the cost of an interference of 1. It keeps headroom
	// for best-effort tasks that no other worker can take.
	interferencePenalty = 8.0
	// sameImageBonus is the bonus of a worker that already serves the image, and
	// otherImagePenalty the cost of one that serves another image. The same
	// best-effort images interfere with all tasks of one serving image.
	sameImageBonus    = 2.0
	otherImagePenalty = 4.0
	// interferedPenalty is the cost of a worker with best-effort tasks that are
	// known to interfere with the serving task.
	interferedPenalty = 1.0
	// slowPenalty is the cost of a worker on which attempts take twice as long as elsewhere.
	slowPenalty = 1.0
)

// score rates the worker for one more task of the demand; higher is better.
// Regular tasks go where little capacity is left, which keeps whole workers
// free for large tasks. Best-effort tasks go where most CPU is unused, which
// makes them fast, and where they interfere least with serving tasks.
// Long-running tasks go where most CPU is free and few tasks of their step run,
// and serving tasks also where their image is served already.
func (p *Planner) score(c *candidate, d *Demand) float64 {
	w := c.worker
	capacityMilli := float64(max(1, w.Capacity.CPUMilli))
	score := 0.0
	if d.Step.DataRack != "" && w.HasLabel(d.Step.DataRack) {
		score += dataRackBonus
	}
	switch {
	case d.Step.Fills:
		score += float64(c.unusedCPUMilli) / capacityMilli
		if c.hasServingTask() {
			score -= interferencePenalty * p.headroom(c).Interference(d.Step)
		} else {
			score -= noServingPenalty
		}
	case d.Step.LongRunning:
		score += float64(c.free.CPUMilli) / capacityMilli
		score -= spreadPenalty * float64(c.taskCount(d.ID))
		score += p.colocationScore(c, d)
	default:
		score -= float64(c.free.CPUMilli) / capacityMilli
	}
	return score - slownessPenalty(w)
}

func slownessPenalty(w *fleet.Worker) float64 {
	return slowPenalty * max(0, w.Health.DurationRatio()-1)
}

// colocationScore rates the worker for a serving task by the images that it
// already serves. A worker that serves only one image can take every
// best-effort image that does not interfere with it.
func (p *Planner) colocationScore(c *candidate, d *Demand) float64 {
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
	for _, attempt := range c.worker.Attempts {
		count(attempt.Step)
	}
	for _, task := range c.planned {
		count(task.step)
	}
	rating := same - other
	if p.rules.Interferes(c.worker, d.Step.Image) {
		rating -= interferedPenalty
	}
	return rating
}
