package policy

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/admission"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/placement"
	"github.com/basilferry/basilferry/core/reservation"
	"github.com/basilferry/basilferry/core/shard"
)

// maxProbeWorkers bounds the workers in quarantine that one decision looks at.
const maxProbeWorkers = 4

// maxSizes bounds the reservations that one decision tries when the wanted
// one is above every worker's size.
const maxSizes = 4

// Choose implements shard.Policy.
func (p *Policy) Choose(now shard.Instant, d shard.Demand) (shard.Placement, *shard.Refusal) {
	if refusal := p.CheckFits(d); refusal != nil {
		return shard.Placement{}, refusal
	}
	c, slowdown, ok := p.placeUrgent(now, d)
	if !ok {
		// A worker in quarantine fails most tasks, so it is the last resort.
		c, ok = p.probe(now, d)
	}
	request := admission.Request{Class: d.Class, Budget: d.Budget, Retry: d.Retry}
	if ok {
		request.Wait = time.Duration(float64(p.admissionController.ServiceTime(d.Class)) * (slowdown - 1))
	} else {
		request.Wait = p.admissionController.ExpectedWait()
	}
	if reason := p.admissionController.Check(now, request); reason != "" {
		return shard.Placement{}, &shard.Refusal{Reason: reason, MissesDeadline: p.admissionController.IsTooLate(now, request)}
	}
	if !ok {
		return shard.Placement{}, &shard.Refusal{Reason: fmt.Sprintf("no available worker has room; an urgent request ends every %v", p.admissionController.ExpectedWait().Round(time.Millisecond))}
	}
	return c, nil
}

// placeUrgent prefers workers without noisy tasks. It returns the expected
// slowdown on the chosen worker by its neighbours, at least 1.
func (p *Policy) placeUrgent(now shard.Instant, d shard.Demand) (shard.Placement, float64, bool) {
	if p.mayExplore(now, d) {
		cost := func(_ domain.WorkerID, occupants []placement.Occupant) float64 {
			return p.explorationCost(now, occupants)
		}
		if c, ok := p.place(d, placement.Query{Zone: placement.Noisy, Cost: cost}); ok {
			return c, 1, true
		}
	}
	if c, ok := p.place(d, placement.Query{Zone: placement.Quiet}); ok {
		return c, 1, true
	}
	cost := func(_ domain.WorkerID, occupants []placement.Occupant) float64 {
		return p.urgentCost(d.Class, occupants)
	}
	c, ok := p.place(d, placement.Query{Cost: cost})
	if !ok {
		return c, 1, false
	}
	slowdown := math.Exp(p.urgentCost(d.Class, p.index.Occupants(c.Worker)))
	return c, slowdown, true
}

// placePending places a batch task or watch. Noisy classes share workers, so
// that others stay quiet for urgent requests. Other batch tasks join them when
// quiet slots run short.
func (p *Policy) placePending(now shard.Instant, d shard.Demand) (shard.Placement, bool) {
	cost := func(_ domain.WorkerID, occupants []placement.Occupant) float64 {
		return p.batchCost(d.Class, occupants)
	}
	if d.Kind == domain.KindBatch && p.noisy(now, d.Class) {
		c, ok := p.place(d, placement.Query{Zone: placement.Noisy, Cost: cost})
		if ok || !p.mayStartNoisyOnQuiet() {
			return c, ok
		}
	}
	if d.Kind == domain.KindBatch && p.index.NoisyShare() > 0 && !p.keepsQuietSlots(1) {
		return p.place(d, placement.Query{Zone: placement.Noisy, Cost: cost})
	}
	return p.place(d, placement.Query{Cost: cost})
}

// place finds a worker for the demand, with the learned reservation or, where
// that is above every worker's size, the most that a worker can hold.
func (p *Policy) place(d shard.Demand, q placement.Query) (shard.Placement, bool) {
	q.Kind = d.Kind
	q.Class = d.Class
	q.Avoid = d.Avoid
	for _, size := range p.sizes(d) {
		q.Demand = size
		if found, ok := p.index.Find(q); ok {
			return shard.Placement{Worker: found.Worker, Reserved: size, Reason: found.Reason}, true
		}
	}
	return shard.Placement{}, false
}

// sizes lists the reservations to try, the largest first: what is wanted if a
// worker's size allows it, otherwise the wanted size cut down to each size.
func (p *Policy) sizes(d shard.Demand) []domain.Resources {
	declared := withAtLeastOneSlot(d.Declared)
	want := p.usageLearner.Estimate(d.Class, declared, p.preset.ReservationQuantile)
	var sizes []domain.Resources
	for _, shape := range p.index.Capacities() {
		maxReservation := p.maxReservation(d, shape)
		if want.Fits(maxReservation) {
			return []domain.Resources{want}
		}
		if !declared.Fits(maxReservation) {
			continue
		}
		size := reservation.Clamp(want, declared, maxReservation)
		if !slices.Contains(sizes, size) {
			sizes = append(sizes, size)
		}
		if len(sizes) == maxSizes {
			break
		}
	}
	return sizes
}

// maxReservation is the most that the task may hold on a worker. A team's quota bounds
// it, so that a learned reservation above the quota does not stop the team.
func (p *Policy) maxReservation(d shard.Demand, capacity domain.Resources) domain.Resources {
	if d.Kind != domain.KindBatch {
		return capacity
	}
	return p.batch.CapToQuota(d.Team, p.index.Limits().BatchLimit(capacity))
}

// withAtLeastOneSlot returns the declared size with at least one slot, because every
// task occupies one.
func withAtLeastOneSlot(declared domain.Resources) domain.Resources {
	declared.Slots = max(1, declared.Slots)
	return declared
}

// probe places a task on a worker in quarantine whose next probe is due.
func (p *Policy) probe(now shard.Instant, d shard.Demand) (shard.Placement, bool) {
	due := p.quarantineTracker.WorkersDueForProbe(now, maxProbeWorkers)
	if len(due) == 0 {
		return shard.Placement{}, false
	}
	for _, size := range p.sizes(d) {
		for _, id := range due {
			if slices.Contains(d.Avoid, id) || !p.index.Fits(id, d.Kind, size) {
				continue
			}
			reason := fmt.Sprintf("worker %s is in quarantine and probed with this task", id)
			return shard.Placement{Worker: id, Reserved: size, Reason: reason}, true
		}
	}
	return shard.Placement{}, false
}

// NeverFits implements shard.Policy. A batch task that is above its team's
// quota never fits either.
func (p *Policy) CheckFits(d shard.Demand) *shard.Refusal {
	declared := withAtLeastOneSlot(d.Declared)
	if d.Kind == domain.KindBatch && p.batch.AloneExceedsQuota(d.Team, declared) {
		return &shard.Refusal{Permanent: true, Reason: fmt.Sprintf("the declared size is above the quota of team %s", d.Team)}
	}
	shapes := p.index.Capacities()
	for _, shape := range shapes {
		if d.Kind == domain.KindBatch {
			shape = p.loosest.BatchLimit(shape)
		}
		if declared.Fits(shape) {
			return nil
		}
	}
	if len(shapes) == 0 {
		return nil
	}
	return &shard.Refusal{Permanent: true, Reason: fmt.Sprintf("the declared size is above what each of the %d known workers may hold", p.index.Len())}
}
