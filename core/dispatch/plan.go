package dispatch

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

// Placement assigns one task to one worker.
type Placement struct {
	Task   job.TaskID
	Step   *job.Step
	Worker *fleet.Worker
	// Ticket is the policy service's permission; empty for none.
	Ticket string
}

// candidate is a worker with the room that the plan has left on it.
type candidate struct {
	worker *fleet.Worker
	free   domain.Resources
	// unusedCPUMilli is the processor demand that filling tasks can add before the
	// worker's cores are all asked for, in thousandths of a core.
	unusedCPUMilli int64
	// placed counts tasks by step, for bounds on one worker and for spreading.
	placed map[job.StepID]int
	// planned lists the tasks that this plan puts here.
	planned []planned
	// cachedHeadroom is what the caller knows of the tasks that share the worker; nil
	// before it is needed.
	cachedHeadroom Headroom
}

// planned is a task that this plan puts on a worker.
type planned struct {
	id   job.StepID
	step *job.Step
}

// Planner keeps the buffers of a plan between rounds.
type Planner struct {
	candidates   []candidate
	failed       []failure
	chosen       []Placement
	tasksPerRack map[string]int
	rules        Rules
}

// failure is a demand that no worker could take in this round. A demand that
// needs as much or more of everything need not be tried.
type failure struct {
	service    string
	bestEffort bool
	need       domain.Resources
}

// Rules are what the caller knows beside the room of the workers.
type Rules struct {
	// Usable tells whether a worker may get new runs.
	Usable func(*fleet.Worker) bool
	// Headroom returns what a worker that serves can take beside its tasks.
	Headroom func(*fleet.Worker) Headroom
	// Interferes tells whether filling tasks on the worker are known to disturb
	// a serving image.
	Interferes func(w *fleet.Worker, image string) bool
}

// Headroom tells how filling tasks get on beside the tasks of one worker.
type Headroom interface {
	// Add takes note of a task that is planned there.
	Add(id job.StepID, step *job.Step)
	// ExpectedSpeed returns the share of full speed, from 0 to 1, that one more filling
	// task can be expected to reach.
	ExpectedSpeed(step *job.Step) float64
	// Interference returns the pressure, as a share of what a serving task bears,
	// that it would put on the tasks that serve.
	Interference(step *job.Step) float64
}

// Plan assigns waiting tasks to workers, in the order of the demands.
func (p *Planner) Plan(demands []Demand, workers []*fleet.Worker, rules Rules) []Placement {
	p.rules = rules
	p.resetCandidates(workers)
	p.failed = p.failed[:0]
	p.chosen = p.chosen[:0]
	for i := range demands {
		p.placeStep(&demands[i])
	}
	return p.chosen
}

// servingCPUUse is the share of their processor demand that serving tasks use on
// average; filling tasks can have the rest.
const servingCPUUse = 0.55

func (p *Planner) resetCandidates(workers []*fleet.Worker) {
	p.candidates = p.candidates[:0]
	for _, w := range workers {
		if !p.rules.Usable(w) {
			continue
		}
		free := w.FreeCapacity()
		unused := int64((1 - servingCPUUse) * float64(w.ServingCPU))
		p.candidates = append(p.candidates, candidate{worker: w, free: free, unusedCPUMilli: free.CPUMilli + unused - w.BestEffortCPU})
	}
}

// placeStep places as many of a demand's tasks as fit; those of a gang all or
// not at all.
func (p *Planner) placeStep(d *Demand) {
	if d.Step.Gang {
		p.placeGang(d)
		return
	}
	rack := ""
	if d.Step.SameRack {
		rack = p.rackFor(d)
	}
	before := len(p.chosen)
	for _, index := range d.Waiting {
		if !p.placeTask(d, index, rack) {
			break
		}
	}
	if d.Starving && len(p.chosen) == before {
		p.placeStarvingTask(d)
	}
}

// placeStarvingTask places one task of a job that would otherwise not run at all,
// on the worker where it can expect the most speed.
func (p *Planner) placeStarvingTask(d *Demand) {
	best, bestSpeed := -1, -1.0
	for i := range p.candidates {
		s := &p.candidates[i]
		if !s.isEligible(d) || !d.Step.ReservedCapacity().Fits(s.free) || s.isAtTaskLimit(d) {
			continue
		}
		if speed := p.speed(s, d); speed > bestSpeed {
			best, bestSpeed = i, speed
		}
	}
	if best >= 0 {
		p.addPlacement(&p.candidates[best], d, d.Waiting[0])
	}
}

func (p *Planner) placeGang(d *Demand) {
	rack := ""
	if d.Step.SameRack {
		if rack = p.rackFor(d); rack == "" {
			// Spread over racks each task would take a multiple of its time;
			// the room of one rack is worth a wait.
			return
		}
	}
	before, failed := len(p.chosen), len(p.failed)
	for _, index := range d.Waiting {
		if !p.placeTask(d, index, rack) {
			p.removePlacements(before)
			// What did not fit beside the gang may fit without it.
			p.failed = p.failed[:failed]
			return
		}
	}
}

// removePlacements gives the room of the placements from the given one on back.
func (p *Planner) removePlacements(from int) {
	for _, c := range p.chosen[from:] {
		for i := range p.candidates {
			if s := &p.candidates[i]; s.worker == c.Worker {
				s.free = s.free.Add(c.Step.ReservedCapacity())
				s.unusedCPUMilli += cpuDemand(c.Step)
				s.placed[c.Task.StepID]--
				s.planned = s.planned[:len(s.planned)-1]
				s.cachedHeadroom = nil
				break
			}
		}
	}
	p.chosen = p.chosen[:from]
}

// cpuDemand is what a task takes of the processor demand that is not asked for.
func cpuDemand(s *job.Step) int64 { return s.Need.CPUMilli }

// rackFor returns the rack that takes most of the demand's tasks, or the empty
// string if none takes them all.
func (p *Planner) rackFor(d *Demand) string {
	if p.tasksPerRack == nil {
		p.tasksPerRack = map[string]int{}
	}
	clear(p.tasksPerRack)
	for i := range p.candidates {
		s := &p.candidates[i]
		if s.isEligible(d) {
			p.tasksPerRack[s.worker.Rack()] += s.taskCapacity(d.Step)
		}
	}
	best, bestRoom := "", 0
	for _, s := range p.candidates {
		rack := s.worker.Rack()
		if taskCapacity := p.tasksPerRack[rack]; taskCapacity > bestRoom {
			best, bestRoom = rack, taskCapacity
		}
	}
	if bestRoom < len(d.Waiting) {
		return ""
	}
	return best
}

// taskCapacity returns how many tasks of the step fit on the worker.
func (s *candidate) taskCapacity(step *job.Step) int {
	count := 0
	need := step.ReservedCapacity()
	for free := s.free; need.Fits(free); free = free.Sub(need) {
		count++
		if count == step.Count || (step.MaxPerWorker > 0 && count == step.MaxPerWorker) {
			break
		}
	}
	return count
}

// isEligible reports whether the worker is one that the demand may run on,
// regardless of room.
func (s *candidate) isEligible(d *Demand) bool {
	if s.worker.Service != d.Service || !s.worker.HasLabel(d.Step.RequiredLabel) {
		return false
	}
	if d.Tickets == nil {
		return true
	}
	_, ok := d.Tickets[string(s.worker.ID)]
	return ok
}

// placeTask puts one task on the best worker that takes it.
func (p *Planner) placeTask(d *Demand, index int, rack string) bool {
	need := d.Step.ReservedCapacity()
	constrained := d.Step.RequiredLabel != "" || d.Step.MaxPerWorker > 0 || rack != "" || d.Tickets != nil
	if !constrained && p.cannotFit(d, need) {
		return false
	}
	best, bestScore := -1, 0.0
	for i := range p.candidates {
		s := &p.candidates[i]
		if !s.isEligible(d) || !need.Fits(s.free) || (rack != "" && s.worker.Rack() != rack) || !s.hasRoomFor(d) {
			continue
		}
		speed := p.speed(s, d)
		if speed < minExpectedSpeed {
			continue
		}
		if score := p.score(s, d) + speed; best < 0 || score > bestScore {
			best, bestScore = i, score
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

// addPlacement assigns a task to a slot.
func (p *Planner) addPlacement(s *candidate, d *Demand, index int) {
	s.reserve(d)
	p.chosen = append(p.chosen, Placement{
		Task: job.TaskID{StepID: d.ID, Index: index}, Step: d.Step, Worker: s.worker,
		Ticket: d.Tickets[string(s.worker.ID)],
	})
}

func (p *Planner) cannotFit(d *Demand, need domain.Resources) bool {
	for _, f := range p.failed {
		if f.service == d.Service && f.bestEffort == d.Step.Fills && f.need.Fits(d.Step.Need) {
			return true
		}
	}
	return false
}

// taskCount counts the tasks of a step on the worker, planned ones included.
func (s *candidate) taskCount(id job.StepID) int {
	count := s.placed[id]
	for task := range s.worker.Attempts {
		if task.StepID == id {
			count++
		}
	}
	return count
}

// minExpectedSpeed is the share of full speed that a filling task must expect: with
// less it takes room for long and finishes late.
const minExpectedSpeed = 0.9

// speed returns the share of full speed that a task of the demand can expect
// on the worker.
func (p *Planner) speed(s *candidate, d *Demand) float64 {
	if !d.Step.Fills || !s.hasServingTask() {
		return 1
	}
	return p.headroom(s).ExpectedSpeed(d.Step)
}

// headroom returns what is known of the tasks that share a worker.
func (p *Planner) headroom(s *candidate) Headroom {
	if s.cachedHeadroom == nil {
		s.cachedHeadroom = p.rules.Headroom(s.worker)
		for _, t := range s.planned {
			s.cachedHeadroom.Add(t.id, t.step)
		}
	}
	return s.cachedHeadroom
}

// hasServingTask reports whether a serving task is on the worker or planned there.
func (s *candidate) hasServingTask() bool {
	if s.worker.HasServing() {
		return true
	}
	for _, t := range s.planned {
		if t.step.Target > 0 {
			return true
		}
	}
	return false
}

// minUnusedCPUShare is the share of its processor demand that a filling task must
// find unused: with less it takes a multiple of its time.
const minUnusedCPUShare = 0.6

// hasRoomFor reports whether the worker may get one more task of the step.
func (s *candidate) hasRoomFor(d *Demand) bool {
	if s.isAtTaskLimit(d) {
		return false
	}
	return !d.Step.Fills || float64(s.unusedCPUMilli) >= minUnusedCPUShare*float64(d.Step.Need.CPUMilli)
}

// isAtTaskLimit reports whether the worker has as many tasks of the step as may share a
// worker.
func (s *candidate) isAtTaskLimit(d *Demand) bool {
	return d.Step.MaxPerWorker > 0 && s.taskCount(d.ID) >= d.Step.MaxPerWorker
}

func (s *candidate) reserve(d *Demand) {
	s.free = s.free.Sub(d.Step.ReservedCapacity())
	s.unusedCPUMilli -= cpuDemand(d.Step)
	if s.placed == nil {
		s.placed = map[job.StepID]int{}
	}
	s.placed[d.ID]++
	s.planned = append(s.planned, planned{id: d.ID, step: d.Step})
	if s.cachedHeadroom != nil {
		s.cachedHeadroom.Add(d.ID, d.Step)
	}
}
