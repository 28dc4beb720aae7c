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

// journalView gives the engine a journal.Domain.
type journalView struct{ domain *journal.Domain }

func newJournalView() engine.Fold { return journalView{domain: journal.NewDomain()} }

// Apply implements engine.Fold.
func (f journalView) Apply(offset platform.Offset, at time.Time, entries []journal.Entry) {
	f.domain.Apply(offset, at, entries)
}

// Ownership implements engine.Fold.
func (f journalView) Ownership(id domain.ShardID) membership.Ownership {
	s := f.domain.Shard(id)
	return membership.Ownership{Shard: id, Owner: s.Owner, Epoch: s.Epoch, Released: s.Released}
}

// Journal implements engine.Fold.
func (f journalView) Journal(id domain.ShardID) engine.Journal { return f.domain.Shard(id).Clone() }

// shardScheduler gives the engine a shard.Machine.
type shardScheduler struct{ *shard.Machine }

// Status implements engine.Machine.
func (m shardScheduler) Status() engine.Status {
	s := m.Machine.Status()
	status := engine.Status{Ready: s.Ready, FreeSlots: s.FreeSlots}
	for _, w := range s.Workers {
		status.Workers = append(status.Workers, engine.WorkerView(w))
	}
	return status
}

// shardSchedulerFactory makes machines whose policy holds each team to its share of its
// quota for the failure domain.
func shardSchedulerFactory(quotaShare float64) engine.NewMachine {
	return func(cfg engine.MachineConfig) (engine.Machine, []shard.Effect) {
		m, effects := shard.New(shard.Config{
			Shard:   cfg.Shard,
			Node:    cfg.Node,
			Epoch:   cfg.Epoch,
			Journal: cfg.Journal.(*journal.Shard),
			Policy:  policy.New(policy.Config{Seed: uint64(cfg.Epoch), QuotaShare: quotaShare}),
			Now:     cfg.Now,
		})
		return shardScheduler{m}, effects
	}
}

// reasonRecorder gives the engine an explain.Store.
type reasonRecorder struct {
	node  domain.NodeID
	store *explain.Store
}

// Record implements engine.Reasons.
func (r reasonRecorder) Record(id domain.RequestID, reason string) {
	r.store.Add(id, explain.Entry{At: time.Now(), Node: string(r.node), Reason: reason})
}

// Entries implements engine.Reasons.
func (r reasonRecorder) Entries(id domain.RequestID) []explain.Entry { return r.store.Get(id) }

// delegatorProxy breaks the cycle between the engine, which delegates through
// the router, and the router, which serves from the engine.
type delegatorProxy struct{ inner service.Delegator }

// Delegate implements service.Delegator.
func (d *delegatorProxy) Delegate(ctx context.Context, target domain.ShardID, req shard.Submitted) (domain.Outcome, error) {
	return d.inner.Delegate(ctx, target, req)
}

// LookupAt implements service.Delegator.
func (d *delegatorProxy) LookupAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	return d.inner.LookupAt(ctx, at, id)
}

// CancelAt implements service.Delegator.
func (d *delegatorProxy) CancelAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	return d.inner.CancelAt(ctx, at, id)
}
