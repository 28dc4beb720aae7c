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

// maxProbeWorkers is the maximum number of workers in quarantine that one
// decision considers.
const maxProbeWorkers = 4

// maxSizes is the maximum number of smaller reservations that one decision tries
// if the desired one fits on no worker, not even on an empty one.
const maxSizes = 4

// Choose implements shard.Policy.
func (p *Policy) Choose(now shard.Instant, d shard.Demand) (shard.Placement, *shard.Refusal) {
	if refusal := p.CheckFits(d); refusal != nil {
		return shard.Placement{}, refusal
	}
	c, slowdown, ok := p.placeUrgent(now, d)
	if !ok {
		// A worker in quarantine fails most tasks. It is used only if no other
		// worker has enough free capacity.
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
		return shard.Placement{}, &shard.Refusal{Reason: fmt.Sprintf("no available worker has enough free capacity; an urgent request finishes every %v", p.admissionController.ExpectedWait().Round(time.Millisecond))}
	}
	return c, nil
}

// placeUrgent places an urgent request, if possible on a worker without noisy
// tasks. A request that mayExplore selects is placed on a noisy worker instead, if
// it fits on one, and preferably alongside tasks of an unknown class. placeUrgent
// also returns the expected slowdown by the tasks on the chosen worker, at least 1;
// in these two cases it is taken to be 1.
func (p *Policy) placeUrgent(now shard.Instant, d shard.Demand) (shard.Placement, float64, bool) {
	if p.mayExplore(now, d) {
		cost := func(_ domain.WorkerID, occupants []placement.Occupant) float64 {
			return p.explorationCost(now, occupants)
		}
		if c, ok := p.place(d, placement.Query{NoiseFilter: placement.Noisy, Cost: cost}); ok {
			return c, 1, true
		}
	}
	if c, ok := p.place(d, placement.Query{NoiseFilter: placement.Quiet}); ok {
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

// placePending places a batch task or watch. It gathers noisy batch tasks on few
// workers, so that the others stay quiet for urgent requests. While some workers
// are noisy, it also places other batch tasks on them if too few quiet slots are
// free.
func (p *Policy) placePending(now shard.Instant, d shard.Demand) (shard.Placement, bool) {
	cost := func(_ domain.WorkerID, occupants []placement.Occupant) float64 {
		return p.batchCost(d.Class, occupants)
	}
	if d.Kind == domain.KindBatch && p.noisy(now, d.Class) {
		c, ok := p.place(d, placement.Query{NoiseFilter: placement.Noisy, Cost: cost})
		if ok || !p.mayStartNoisyOnQuiet() {
			return c, ok
		}
	}
	if d.Kind == domain.KindBatch && p.index.NoisyShare() > 0 && !p.keepsQuietSlots(1) {
		return p.place(d, placement.Query{NoiseFilter: placement.Noisy, Cost: cost})
	}
	return p.place(d, placement.Query{Cost: cost})
}

// place finds a worker for the demand with the learned reservation. If that is
// more than the task may reserve on any worker, it tries smaller reservations; see
// sizes.
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

// sizes returns the reservations to try. If the desired reservation fits on an
// empty worker, it is the only one. Otherwise it is reduced to what the task may
// reserve on a worker of each distinct capacity, the largest capacity first.
func (p *Policy) sizes(d shard.Demand) []domain.Resources {
	declared := withAtLeastOneSlot(d.Declared)
	desired := p.usageLearner.Estimate(d.Class, declared, p.preset.ReservationQuantile)
	var sizes []domain.Resources
	for _, capacity := range p.index.Capacities() {
		maxReservation := p.maxReservation(d, capacity)
		if desired.Fits(maxReservation) {
			return []domain.Resources{desired}
		}
		if !declared.Fits(maxReservation) {
			continue
		}
		size := reservation.Clamp(desired, declared, maxReservation)
		if !slices.Contains(sizes, size) {
			sizes = append(sizes, size)
		}
		if len(sizes) == maxSizes {
			break
		}
	}
	return sizes
}

// maxReservation returns the most that the task may reserve on a worker of the
// given capacity. For a batch task it is at most the quota of the team; otherwise
// a learned reservation above the quota would prevent all starts of the team.
func (p *Policy) maxReservation(d shard.Demand, capacity domain.Resources) domain.Resources {
	if d.Kind != domain.KindBatch {
		return capacity
	}
	return p.batch.CapToQuota(d.Team, p.index.Limits().BatchLimit(capacity))
}

// withAtLeastOneSlot returns the declared size with at least one slot, because
// every task occupies one.
func withAtLeastOneSlot(declared domain.Resources) domain.Resources {
	declared.Slots = max(1, declared.Slots)
	return declared
}

// probe places a task as a probe on a worker in quarantine that is due for one.
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
			reason := fmt.Sprintf("worker %s is in quarantine; this task is its next probe", id)
			return shard.Placement{Worker: id, Reserved: size, Reason: reason}, true
		}
	}
	return shard.Placement{}, false
}

// CheckFits implements shard.Policy. It also refuses a batch task whose declared
// size exceeds the quota of its team.
func (p *Policy) CheckFits(d shard.Demand) *shard.Refusal {
	declared := withAtLeastOneSlot(d.Declared)
	if d.Kind == domain.KindBatch && p.batch.AloneExceedsQuota(d.Team, declared) {
		return &shard.Refusal{Permanent: true, Reason: fmt.Sprintf("the declared size exceeds the quota of team %s", d.Team)}
	}
	capacities := p.index.Capacities()
	for _, capacity := range capacities {
		if d.Kind == domain.KindBatch {
			capacity = p.loosest.BatchLimit(capacity)
		}
		if declared.Fits(capacity) {
			return nil
		}
	}
	if len(capacities) == 0 {
		return nil
	}
	return &shard.Refusal{Permanent: true, Reason: fmt.Sprintf("the declared size exceeds what a task may reserve on any of the %d known workers", p.index.Len())}
}
