package app

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/policy"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/engine"
	"github.com/basilferry/basilferry/node/service"
)

// fold gives the engine a journal.Domain.
type fold struct{ domain *journal.Domain }

func newFold() engine.Fold { return fold{domain: journal.NewDomain()} }

// Apply implements engine.Fold.
func (f fold) Apply(offset platform.Offset, at time.Time, entries []journal.Entry) {
	f.domain.Apply(offset, at, entries)
}

// Ownership implements engine.Fold.
func (f fold) Ownership(id domain.ShardID) membership.Ownership {
	s := f.domain.Shard(id)
	return membership.Ownership{Shard: id, Owner: s.Owner, Epoch: s.Epoch, Released: s.Released}
}

// Journal implements engine.Fold.
func (f fold) Journal(id domain.ShardID) engine.Journal { return f.domain.Shard(id).Clone() }

// machine gives the engine a shard.Machine.
type machine struct{ *shard.Machine }

// Status implements engine.Machine.
func (m machine) Status() engine.Status {
	s := m.Machine.Status()
	status := engine.Status{Ready: s.Ready, FreeSlots: s.FreeSlots}
	for _, w := range s.Workers {
		status.Workers = append(status.Workers, engine.WorkerView(w))
	}
	return status
}

// newMachine makes machines whose policy holds each team to its share of its
// quota for the failure domain.
func newMachine(quotaShare float64) engine.NewMachine {
	return func(cfg engine.MachineConfig) (engine.Machine, []shard.Effect) {
		m, effects := shard.New(shard.Config{
			Shard:   cfg.Shard,
			Node:    cfg.Node,
			Epoch:   cfg.Epoch,
			Journal: cfg.Journal.(*journal.Shard),
			Policy:  policy.New(policy.Config{Seed: uint64(cfg.Epoch), QuotaShare: quotaShare}),
			Now:     cfg.Now,
		})
		return machine{m}, effects
	}
}

// reasons gives the engine an explain.Store.
type reasons struct {
	node  domain.NodeID
	store *explain.Store
}

// Record implements engine.Reasons.
func (r reasons) Record(id domain.RequestID, reason string) {
	r.store.Add(id, explain.Entry{At: time.Now(), Node: string(r.node), Reason: reason})
}

// Entries implements engine.Reasons.
func (r reasons) Entries(id domain.RequestID) []explain.Entry { return r.store.Get(id) }

// lateDelegator breaks the cycle between the engine, which delegates through
// the router, and the router, which serves from the engine.
type lateDelegator struct{ to service.Delegator }

// Delegate implements service.Delegator.
func (d *lateDelegator) Delegate(ctx context.Context, target domain.ShardID, req shard.Submitted) (domain.Outcome, error) {
	return d.to.Delegate(ctx, target, req)
}

// LookupAt implements service.Delegator.
func (d *lateDelegator) LookupAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	return d.to.LookupAt(ctx, at, id)
}

// CancelAt implements service.Delegator.
func (d *lateDelegator) CancelAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	return d.to.CancelAt(ctx, at, id)
}
