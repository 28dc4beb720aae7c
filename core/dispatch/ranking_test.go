package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

// exhaustivePlan is the definition of the plan: it rates every worker again for each
// task.
func exhaustivePlan(p *Planner, demands []Demand, all []*fleet.Worker, rules Rules) []Placement {
	p.rules = rules
	p.resetCandidates(all)
	p.failed, p.chosen = nil, nil
	for i := range demands {
		d := &demands[i]
		for _, index := range d.Waiting {
			if !placeExhaustively(p, d, index) {
				break
			}
		}
	}
	return p.chosen
}

func placeExhaustively(p *Planner, d *Demand, index int) bool {
	need := d.Step.ReservedCapacity()
	constrained := d.Step.RequiredLabel != "" || d.Step.MaxPerWorker > 0
	if !constrained && p.cannotFit(d, need) {
		return false
	}
	best, bestRating := -1, 0.0
	for i := range p.candidates {
		c := &p.candidates[i]
		if !c.isEligible(d) || !need.Fits(c.free) || !c.hasRoomFor(d) || p.speed(c, d) < minExpectedSpeed {
			continue
		}
		if rating := p.score(c, d) + p.speed(c, d); best < 0 || rating > bestRating {
			best, bestRating = i, rating
		}
	}
	if best < 0 {
		if !constrained {
			p.failed = append(p.failed, failure{service: d.Service, bestEffort: d.Step.Fills, need: d.Step.Need})
		}
		return false
	}
	p.addPlacement(&p.candidates[best], d, index)
	return true
}

// decliningHeadroom is a Headroom in which each planned best-effort task slows down
// the next ones.
type decliningHeadroom struct{ added float64 }

func (h *decliningHeadroom) Add(_ job.StepID, step *job.Step) {
	if step.Fills {
		h.added++
	}
}
func (h *decliningHeadroom) ExpectedSpeed(*job.Step) float64 { return 1 - 0.04*h.added }
func (h *decliningHeadroom) Interference(*job.Step) float64  { return 0.01 * h.added }

func randomStep(random *rand.Rand) job.Step {
	step := job.Step{
		Count: 1 + random.IntN(40), Image: fmt.Sprintf("image-%d", random.IntN(3)),
		Need: domain.Resources{CPUMilli: 100 * (1 + random.Int64N(60)), MemoryMiB: 1 + random.Int64N(4000)},
	}
	switch random.IntN(4) {
	case 0:
		step.Fills = true
	case 1:
		step.LongRunning, step.Target = true, time.Millisecond
	case 2:
		step.MaxPerWorker = 1 + random.IntN(3)
	}
	if random.IntN(4) == 0 {
		step.DataRack = fmt.Sprintf("r%d", random.IntN(10))
	}
	return step
}

// A burst of wide steps of all types on a busy fleet. Guards against a faster search
// that chooses other workers than the rating says.
func TestBurstOfWideStepsGetsTheBestRatedWorkers(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		all := workers(2+random.IntN(20), 8)
		for i, w := range all {
			if random.IntN(2) == 0 {
				serving := &job.Step{Count: 1, Need: cpu(2), LongRunning: true, Target: time.Millisecond, Image: "image-0"}
				id := job.TaskID{StepID: job.StepID{Job: "serving"}, Index: i}
				w.Add(&fleet.Attempt{ID: id, Step: serving, Need: cpu(2)})
			}
		}
		var demands []Demand
		for i := range 12 {
			step := randomStep(random)
			demands = append(demands, demand(fmt.Sprintf("job-%d", i), step, step.Count))
		}
		rules := permissiveRules()
		rules.Headroom = func(*fleet.Worker) Headroom { return &decliningHeadroom{} }
		var fast, exhaustive Planner
		assert.DeepEqual(t, identify(fast.Plan(demands, all, rules)), identify(exhaustivePlan(&exhaustive, demands, all, rules)))
	}
}

func identify(placements []Placement) []string {
	out := make([]string, len(placements))
	for i, p := range placements {
		out[i] = p.Task.String() + "@" + string(p.Worker.ID)
	}
	return out
}
