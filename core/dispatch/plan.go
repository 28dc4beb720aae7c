package dispatch

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
)

// Placement assigns one task to one worker.
type Placement struct {
	Task   job.TaskID
	Step   *job.Step
	Worker *fleet.Worker
	// Ticket is the policy service's permission; empty if none is needed.
	Ticket string
}

// candidate is a worker with the capacity that the plan has left on it.
type candidate struct {
	worker *fleet.Worker
	free   domain.Resources
	// unusedCPUMilli is the expected unused CPU, in millicores. It is the free
	// CPU plus what serving tasks reserve but do not use, less the demand of
	// best-effort tasks.
	unusedCPUMilli int64
	// placed counts the planned tasks by step, for limits per worker and for
	// spreading.
	placed map[job.StepID]int
	// planned lists the tasks that this plan places on the worker.
	planned []planned
	// cachedHeadroom is the worker's headroom for best-effort tasks, with the
	// planned tasks added; nil until it is needed.
	cachedHeadroom Headroom
	// claimed is true if a demand of this plan claims the worker.
	claimed bool
	// suspect is true if the worker is the last resort for new tasks.
	suspect bool
}

// planned is a task that this plan places on a worker.
type planned struct {
	id   job.StepID
	step *job.Step
}

// Planner plans placements and reuses its buffers between rounds.
type Planner struct {
	// workers are all workers of the round, and candidates the usable ones.
	workers      []*fleet.Worker
	candidates   []candidate
	failed       []failure
	chosen       []Placement
	tasksPerRack map[string]int
	// ranking holds the candidates that can take a task of the current demand.
	ranking ranking
	// claims holds the claims of the round by service, soonest the candidates that the
	// current demand may claim, and releases what the attempts on one of them will
	// release.
	claims   map[string]*claims
	soonest  ranking
	releases []release
	// accounts holds the rooms of the accounts in this round; nil for one without a limit.
	accounts map[string]*accountRoom
	rules    Rules
	// suspects counts the suspect candidates. lastResort is true while a demand may use them.
	suspects   int
	lastResort bool
}

// failure records the need of a task without placement constraints that no
// worker could take in this round. Later unconstrained tasks of the same service
// and type (best-effort or not) that need at least as much of every resource are
// skipped.
type failure struct {
	service    string
	bestEffort bool
	need       domain.Resources
}

// Rules supplies what the planner must know besides the free capacity of the
// workers.
type Rules struct {
	// Usable reports whether a worker may get new attempts.
	Usable func(*fleet.Worker) bool
	// Suspect reports whether a usable worker is the last resort: it gets only tasks that no
	// other usable worker can run. Suspect is nil if there are none.
	Suspect func(*fleet.Worker) bool
	// Headroom returns the headroom for best-effort tasks on a worker with
	// serving tasks.
	Headroom func(*fleet.Worker) Headroom
	// Interferes reports whether best-effort tasks on the worker are known to
	// interfere with a serving image.
	Interferes func(w *fleet.Worker, image string) bool
	// AccountRoom returns what an account may start beyond what it has, at the start of
	// the round. It is not limited for an account without a limit.
	// AccountRoom is nil if there are no accounts.
	AccountRoom func(account string) (room domain.Resources, limited bool)
	// AccountIdle reports whether an account has no attempts. It may then start one task
	// that is larger than its room.
	AccountIdle func(account string) bool
	// Remaining estimates how long an attempt will keep its capacity. It is not ok for
	// an attempt that does not end by itself.
	Remaining func(*fleet.Worker, *fleet.Attempt) (remaining time.Duration, ok bool)
}

// Headroom describes how best-effort tasks would perform alongside the tasks
// on one worker, and how they would interfere with its serving tasks.
type Headroom interface {
	// Add records a task that is planned on the worker.
	Add(id job.StepID, step *job.Step)
	// ExpectedSpeed returns the share of full speed, from 0 to 1, that one more
	// best-effort task can be expected to reach.
	ExpectedSpeed(step *job.Step) float64
	// Interference returns the highest interference that one more best-effort
	// task would cause for a serving task: the utilization that it adds, where 0
	// is without load and 1 is saturated (see package sharing).
	Interference(step *job.Step) float64
}

// Plan assigns waiting tasks to workers, in the order of the demands. The
// result is valid until the next call.
func (p *Planner) Plan(demands []Demand, workers []*fleet.Worker, rules Rules) []Placement {
	p.rules, p.workers = rules, workers
	p.resetCandidates(workers)
	p.failed = p.failed[:0]
	p.chosen = p.chosen[:0]
	clear(p.claims)
	clear(p.accounts)
	for i := range demands {
		p.placeStep(&demands[i])
	}
	return p.chosen
}

// servingCPUUse is the average share of their reserved CPU that serving tasks
// use. Best-effort tasks can use the rest.
const servingCPUUse = 0.55

func (p *Planner) resetCandidates(workers []*fleet.Worker) {
	p.candidates, p.suspects, p.lastResort = p.candidates[:0], 0, false
	for _, w := range workers {
		if !p.rules.Usable(w) {
			continue
		}
		c := candidate{worker: w, free: w.FreeCapacity(), unusedCPUMilli: UnusedCPUMilli(w)}
		if p.rules.Suspect != nil && p.rules.Suspect(w) {
			c.suspect = true
			p.suspects++
		}
		p.candidates = append(p.candidates, c)
	}
}

// placeStep places as many of a demand's tasks as fit. The tasks of a gang are
// placed all together or not at all.
func (p *Planner) placeStep(d *Demand) {
	account := p.accountOf(d)
	if d.WaitsForAccount = !account.holdsDemand(d); d.WaitsForAccount {
		return
	}
	placed := p.placeWaiting(d)
	if placed == 0 && !d.WaitsForAccount && p.suspects > 0 && (d.Idle || !p.hasAlternative(d)) {
		p.lastResort = true
		placed = p.placeWaiting(d)
		p.lastResort = false
	}
	if !d.Step.Gang && d.Overdue && placed < len(d.Waiting) && !d.WaitsForAccount {
		p.claimWorkers(d, len(d.Waiting)-placed)
	}
}

// placeWaiting places as many of a demand's tasks as fit, or a whole gang. It returns how many
// it placed.
func (p *Planner) placeWaiting(d *Demand) int {
	if d.Step.Gang {
		return p.placeGang(d)
	}
	// If no rack has capacity for all tasks, they may run on any rack.
	rack := ""
	if d.Step.SameRack {
		rack = p.rackFor(d)
	}
	placed := p.placeTasks(d, rack)
	if d.Starving && placed == 0 {
		return p.placeStarvingTask(d)
	}
	return placed
}

// hasAlternative reports whether a usable worker that is not suspect could run a task of the
// demand, now or once other tasks end.
func (p *Planner) hasAlternative(d *Demand) bool {
	need := d.Step.ReservedCapacity()
	for i := range p.candidates {
		c := &p.candidates[i]
		if p.mayUse(c, d) && need.Fits(c.worker.Capacity.Sub(c.worker.LongRunningUse)) {
			return true
		}
	}
	return false
}

// mayUse reports whether the demand may use the candidate, regardless of free capacity.
func (p *Planner) mayUse(c *candidate, d *Demand) bool {
	return (p.lastResort || !c.suspect) && c.isEligible(d)
}

// placeStarvingTask places one task of a job that would otherwise not run at
// all, on the worker with the highest expected speed. It returns how many it placed.
func (p *Planner) placeStarvingTask(d *Demand) int {
	best, bestSpeed := -1, -1.0
	for i := range p.candidates {
		c := &p.candidates[i]
		if !p.mayUse(c, d) || !d.Step.ReservedCapacity().Fits(c.free) || c.isAtTaskLimit(d) {
			continue
		}
		if speed := p.speed(c, d); speed > bestSpeed {
			best, bestSpeed = i, speed
		}
	}
	if best < 0 {
		return 0
	}
	p.addPlacement(&p.candidates[best], d, d.Waiting[0])
	return 1
}

// placeGang places all tasks of a gang or none. It returns how many it placed.
func (p *Planner) placeGang(d *Demand) int {
	rack := ""
	if d.Step.SameRack {
		rack = p.rackFor(d)
		if rack == "" && !d.Starving && p.someRackCanHold(d) {
			// Spread over several racks, each task would take several times as long.
			// Waiting until one rack has enough free capacity is faster.
			return 0
		}
	}
	before, failed := len(p.chosen), len(p.failed)
	account := p.accountOf(d)
	var room accountRoom
	if account != nil {
		room = *account
	}
	if p.placeTasks(d, rack) < len(d.Waiting) {
		p.removePlacements(before)
		if account != nil {
			*account = room
		}
		// A demand that did not fit alongside the gang may fit without it.
		p.failed = p.failed[:failed]
		return 0
	}
	return len(d.Waiting)
}

// removePlacements removes the placements from index from onward and frees
// their capacity.
func (p *Planner) removePlacements(from int) {
	for _, placement := range p.chosen[from:] {
		for i := range p.candidates {
			if c := &p.candidates[i]; c.worker == placement.Worker {
				c.free = c.free.Add(placement.Step.ReservedCapacity())
				c.unusedCPUMilli += cpuDemand(placement.Step)
				c.placed[placement.Task.StepID]--
				c.planned = c.planned[:len(c.planned)-1]
				c.cachedHeadroom = nil
				break
			}
		}
	}
	p.chosen = p.chosen[:from]
}

// cpuDemand returns how much of a worker's unused CPU a task takes, in
// millicores.
func cpuDemand(s *job.Step) int64 { return s.Need.CPUMilli }

// rackFor returns the rack with the most capacity for the demand's tasks, or
// the empty string if no rack has capacity for all of them.
func (p *Planner) rackFor(d *Demand) string {
	if p.tasksPerRack == nil {
		p.tasksPerRack = map[string]int{}
	}
	clear(p.tasksPerRack)
	for i := range p.candidates {
		c := &p.candidates[i]
		if p.mayUse(c, d) {
			p.tasksPerRack[c.worker.Rack()] += c.taskCapacity(d.Step)
		}
	}
	best, bestCapacity := "", 0
	for _, c := range p.candidates {
		rack := c.worker.Rack()
		if taskCapacity := p.tasksPerRack[rack]; taskCapacity > bestCapacity {
			best, bestCapacity = rack, taskCapacity
		}
	}
	if bestCapacity < len(d.Waiting) {
		return ""
	}
	return best
}

// someRackCanHold reports whether the registered workers of a rack could run all tasks of
// the demand if nothing else ran there.
func (p *Planner) someRackCanHold(d *Demand) bool {
	need, tasksPerRack := d.Step.ReservedCapacity(), map[string]int{}
	for _, w := range p.workers {
		if !w.Registered || w.Service != d.Service || !w.HasLabel(d.Step.RequiredLabel) {
			continue
		}
		fits := timesFits(need, w.Capacity)
		if d.Step.MaxPerWorker > 0 {
			fits = min(fits, d.Step.MaxPerWorker)
		}
		tasksPerRack[w.Rack()] += fits
		if tasksPerRack[w.Rack()] >= len(d.Waiting) {
			return true
		}
	}
	return false
}

// taskCapacity returns how many tasks of the step fit on the worker.
func (c *candidate) taskCapacity(step *job.Step) int {
	count := 0
	need := step.ReservedCapacity()
	for free := c.free; need.Fits(free); free = free.Sub(need) {
		count++
		if count == step.Count || (step.MaxPerWorker > 0 && count == step.MaxPerWorker) {
			break
		}
	}
	return count
}

// isEligible reports whether the demand may run on the worker, regardless of
// free capacity.
func (c *candidate) isEligible(d *Demand) bool {
	if c.worker.Service != d.Service || !c.worker.HasLabel(d.Step.RequiredLabel) {
		return false
	}
	if d.Tickets == nil {
		return true
	}
	_, ok := d.Tickets[string(c.worker.ID)]
	return ok
}

// placeTasks places the waiting tasks of a demand, each on the worker with the
// highest sum of score and expected speed, until one fits on no worker. It returns
// how many it placed.
//
// The tasks of a step are alike, and a placement changes the rating of the chosen
// worker only. So each worker is rated once for the step, and the chosen one again
// after each placement.
func (p *Planner) placeTasks(d *Demand, rack string) int {
	need := d.Step.ReservedCapacity()
	constrained := d.Step.RequiredLabel != "" || d.Step.MaxPerWorker > 0 || rack != "" || d.Tickets != nil
	if !constrained && !p.lastResort && p.cannotFit(d, need) {
		return 0
	}
	p.rateCandidates(d, need, rack)
	account := p.accountOf(d)
	for placed, index := range d.Waiting {
		if !d.Step.Gang && !account.holdsTask(d) {
			// Not a failure: others may have tasks of the same size placed.
			d.WaitsForAccount = true
			return placed
		}
		if len(p.ranking) == 0 {
			if !constrained {
				p.failed = append(p.failed, failure{service: d.Service, bestEffort: d.Step.Fills, need: d.Step.Need})
			}
			return placed
		}
		best := &p.candidates[p.ranking[0].candidate]
		p.addPlacement(best, d, index)
		if rating, ok := p.rate(best, d, need); ok {
			p.ranking.replaceFirst(rating)
		} else {
			p.ranking.removeFirst()
		}
	}
	return len(d.Waiting)
}

// rateCandidates fills the ranking with the candidates that can take a task of the
// demand.
func (p *Planner) rateCandidates(d *Demand, need domain.Resources, rack string) {
	p.ranking = p.ranking[:0]
	for i := range p.candidates {
		c := &p.candidates[i]
		if !p.mayUse(c, d) || (rack != "" && c.worker.Rack() != rack) {
			continue
		}
		if rating, ok := p.rate(c, d, need); ok {
			p.ranking = append(p.ranking, rated{candidate: i, rating: rating})
		}
	}
	p.ranking.order()
}

// rate returns the rating of an eligible candidate for one more task of the demand;
// ok is false if the candidate cannot take it.
func (p *Planner) rate(c *candidate, d *Demand, need domain.Resources) (rating float64, ok bool) {
	if !need.Fits(c.free) || !c.hasRoomFor(d) {
		return 0, false
	}
	speed := p.speed(c, d)
	if speed < minExpectedSpeed {
		return 0, false
	}
	return p.score(c, d) + speed, true
}

// addPlacement assigns a task to a candidate.
func (p *Planner) addPlacement(c *candidate, d *Demand, index int) {
	c.reserve(d)
	p.accountOf(d).take(d)
	p.chosen = append(p.chosen, Placement{
		Task: job.TaskID{StepID: d.ID, Index: index}, Step: d.Step, Worker: c.worker,
		Ticket: d.Tickets[string(c.worker.ID)],
	})
}

// cannotFit reports whether a task of the same service and type that needs no
// more of any resource has already failed to fit in this round.
func (p *Planner) cannotFit(d *Demand, need domain.Resources) bool {
	for _, f := range p.failed {
		if f.service == d.Service && f.bestEffort == d.Step.Fills && f.need.Fits(d.Step.Need) {
			return true
		}
	}
	return false
}

// taskCount returns the number of tasks of a step on the worker, including
// planned ones.
func (c *candidate) taskCount(id job.StepID) int {
	count := c.placed[id]
	for task := range c.worker.Attempts {
		if task.StepID == id {
			count++
		}
	}
	return count
}

// minExpectedSpeed is the lowest expected share of full speed at which a
// best-effort task is placed. A slower one would occupy its capacity for long
// and finish late.
const minExpectedSpeed = 0.9

// speed returns the share of full speed that a task of the demand can expect
// on the worker.
func (p *Planner) speed(c *candidate, d *Demand) float64 {
	if !d.Step.Fills || !c.hasServingTask() {
		return 1
	}
	return p.headroom(c).ExpectedSpeed(d.Step)
}

// headroom returns the worker's headroom, with the planned tasks added.
func (p *Planner) headroom(c *candidate) Headroom {
	if c.cachedHeadroom == nil {
		c.cachedHeadroom = p.rules.Headroom(c.worker)
		for _, task := range c.planned {
			c.cachedHeadroom.Add(task.id, task.step)
		}
	}
	return c.cachedHeadroom
}

// hasServingTask reports whether a serving task runs on the worker or is
// planned there.
func (c *candidate) hasServingTask() bool {
	if c.worker.HasServing() {
		return true
	}
	for _, task := range c.planned {
		if task.step.Target > 0 {
			return true
		}
	}
	return false
}

// minUnusedCPUShare is the share of its CPU demand that a best-effort task
// must find unused. With less it would take several times as long.
const minUnusedCPUShare = 0.6

// hasRoomFor reports whether the limit per worker and the unused CPU allow one
// more task of the demand's step on the worker. The caller checks the free
// capacity.
func (c *candidate) hasRoomFor(d *Demand) bool {
	if c.isAtTaskLimit(d) {
		return false
	}
	return !d.Step.Fills || float64(c.unusedCPUMilli) >= minUnusedCPUShare*float64(d.Step.Need.CPUMilli)
}

// isAtTaskLimit reports whether the worker has as many tasks of the step as a
// worker may have.
func (c *candidate) isAtTaskLimit(d *Demand) bool {
	return d.Step.MaxPerWorker > 0 && c.taskCount(d.ID) >= d.Step.MaxPerWorker
}

func (c *candidate) reserve(d *Demand) {
	c.free = c.free.Sub(d.Step.ReservedCapacity())
	c.unusedCPUMilli -= cpuDemand(d.Step)
	if c.placed == nil {
		c.placed = map[job.StepID]int{}
	}
	c.placed[d.ID]++
	c.planned = append(c.planned, planned{id: d.ID, step: d.Step})
	if c.cachedHeadroom != nil {
		c.cachedHeadroom.Add(d.ID, d.Step)
	}
}
