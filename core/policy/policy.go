package policy

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/placement"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
)

// Config configures a Policy.
type Config struct {
	// Seed determines all random choices.
	Seed uint64
}

// Policy implements shard.Policy.
type Policy struct {
	preset  domain.Preset
	index   *placement.Index
	pending []shard.Demand
}

var _ shard.Policy = (*Policy)(nil)

// New returns a policy without workers, with the preset ordinary in force.
func New(cfg Config) *Policy {
	p := &Policy{index: placement.New(cfg.Seed)}
	p.Configure(0, ordinary(), nil)
	return p
}

// Configure implements shard.Policy.
func (p *Policy) Configure(_ shard.Instant, preset domain.Preset, _ []domain.Quota) {
	p.preset = preset
	p.index.SetLimits(placement.Limits{
		BatchShare:      preset.BatchShare,
		UrgentSlots:     preset.UrgentSlots,
		UrgentPerWorker: preset.UrgentPerWorker,
	})
}

// WorkerUp implements shard.Policy.
func (p *Policy) WorkerUp(_ shard.Instant, w shard.WorkerInfo) {
	p.index.Up(placement.Worker{ID: w.ID, Rack: w.Rack, Capacity: w.Capacity})
}

// WorkerDown implements shard.Policy.
func (p *Policy) WorkerDown(_ shard.Instant, id domain.WorkerID) { p.index.Down(id) }

// WorkerRemoved implements shard.Policy.
func (p *Policy) WorkerRemoved(_ shard.Instant, id domain.WorkerID) { p.index.Remove(id) }

// Hold implements shard.Policy.
func (p *Policy) Hold(_ shard.Instant, worker domain.WorkerID, d shard.Demand, reserved domain.Resources) {
	p.index.Hold(worker, placement.Task{ID: d.ID, Kind: d.Kind, Class: d.Class, Team: d.Team, Reserved: reserved})
}

// Release implements shard.Policy.
func (p *Policy) Release(_ shard.Instant, worker domain.WorkerID, id domain.RequestID, _ shard.Result, _ time.Duration) {
	p.index.Release(worker, id)
}

// Observe implements shard.Policy.
func (p *Policy) Observe(shard.Instant, domain.WorkerID, []platform.Usage) {}

// Choose implements shard.Policy.
func (p *Policy) Choose(_ shard.Instant, d shard.Demand) (shard.Choice, *shard.Refusal) {
	if refusal := p.NeverFits(d); refusal != nil {
		return shard.Choice{}, refusal
	}
	c, ok := p.place(d)
	if !ok {
		return shard.Choice{}, &shard.Refusal{Reason: "no available worker has room for the request"}
	}
	return c, nil
}

// NeverFits implements shard.Policy.
func (p *Policy) NeverFits(d shard.Demand) *shard.Refusal {
	shapes := p.index.Shapes()
	for _, shape := range shapes {
		if d.Declared.Fits(shape) {
			return nil
		}
	}
	if len(shapes) == 0 {
		return nil
	}
	return &shard.Refusal{Never: true, Reason: "the declared size is above the capacity of every known worker"}
}

// Enqueue implements shard.Policy.
func (p *Policy) Enqueue(_ shard.Instant, d shard.Demand) {
	p.Dequeue(d.ID)
	p.pending = append(p.pending, d)
}

// Dequeue implements shard.Policy.
func (p *Policy) Dequeue(id domain.RequestID) {
	for i, d := range p.pending {
		if d.ID == id {
			p.pending = append(p.pending[:i:i], p.pending[i+1:]...)
			return
		}
	}
}

// Next implements shard.Policy.
func (p *Policy) Next(shard.Instant) (shard.Demand, shard.Choice, bool) {
	for _, kind := range []domain.Kind{domain.KindWatch, domain.KindBatch} {
		for _, d := range p.pending {
			if d.Kind != kind {
				continue
			}
			if c, ok := p.place(d); ok {
				p.Dequeue(d.ID)
				return d, c, true
			}
		}
	}
	return shard.Demand{}, shard.Choice{}, false
}

// Reactions implements shard.Policy.
func (p *Policy) Reactions(shard.Instant) []shard.Reaction { return nil }

func (p *Policy) place(d shard.Demand) (shard.Choice, bool) {
	found, ok := p.index.Find(placement.Query{Kind: d.Kind, Class: d.Class, Demand: d.Declared, Avoid: d.Avoid})
	if !ok {
		return shard.Choice{}, false
	}
	return shard.Choice{Worker: found.Worker, Reserved: d.Declared, Reason: found.Reason}, true
}
