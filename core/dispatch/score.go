package dispatch

import "github.com/basilferry/basilferry/core/fleet"

// Weights of a worker's score; one unit is the worker's whole processor.
const (
	// nearData outweighs all room: far from its data a task takes a multiple of
	// its time.
	nearData = 10
	// spreadPenalty is the cost of each task of the same long-running step on
	// the worker, so that the loss of one worker costs few of them.
	spreadPenalty = 0.5
	// servingPenalty keeps filling tasks away from tasks with a latency target.
	servingPenalty = 0.3
	// sameImage is the gain of a worker that serves the image already: tasks of
	// one image are disturbed by the same filling images, so workers without
	// that image stay open to these.
	sameImage = 0.4
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
		if w.Serving() {
			score -= servingPenalty
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
	return slowPenalty * max(0, w.Health.Ratio()-1)
}

// company rates what runs on the worker beside a serving task.
func (p *Planner) company(s *slot, d *Demand) float64 {
	if d.Step.Target == 0 {
		return 0
	}
	same, disturbed := 0.0, 0.0
	for _, r := range s.worker.Runs {
		switch {
		case r.Step == nil:
		case r.Step.Target > 0 && r.Step.Image == d.Step.Image:
			same = sameImage
		case r.Step.Fills && p.rules.Disturbs(r.Step.Image, d.Step.Image):
			disturbed = disturbedPenalty
		}
	}
	return same - disturbed
}
