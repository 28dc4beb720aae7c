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

// journalView adapts a journal.Domain to engine.ReadModel: it is the read model that
// the engine builds from the log records of one failure domain.
type journalView struct{ domain *journal.Domain }

func newJournalView() engine.ReadModel { return journalView{domain: journal.NewDomain()} }

// Apply implements engine.ReadModel.
func (v journalView) Apply(offset platform.Offset, at time.Time, entries []journal.Entry) {
	v.domain.Apply(offset, at, entries)
}

// Ownership implements engine.ReadModel.
func (v journalView) Ownership(id domain.ShardID) membership.Ownership {
	s := v.domain.Shard(id)
	return membership.Ownership{Shard: id, Owner: s.Owner, Epoch: s.Epoch, Released: s.Released}
}

// Journal implements engine.ReadModel.
func (v journalView) Journal(id domain.ShardID) engine.Journal { return v.domain.Shard(id).Clone() }

// shardScheduler adapts a shard.StateMachine to engine.Scheduler.
type shardScheduler struct{ *shard.StateMachine }

// Status implements engine.Scheduler.
func (m shardScheduler) Status() engine.Status {
	s := m.StateMachine.Status()
	status := engine.Status{Ready: s.Ready, FreeSlots: s.FreeSlots}
	for _, w := range s.Workers {
		status.Workers = append(status.Workers, engine.WorkerView(w))
	}
	return status
}

// shardSchedulerFactory returns a constructor of shard schedulers. quotaShare is
// the share of each team's quota in the failure domain that one shard may use.
func shardSchedulerFactory(quotaShare float64) engine.NewScheduler {
	return func(cfg engine.SchedulerConfig) (engine.Scheduler, []shard.Effect) {
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

// reasonRecorder adapts an explain.Store to engine.Reasons: it stores why the
// node made each scheduling decision.
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

// delegatorProxy forwards calls to inner, which is set after construction. The
// engine needs the router to delegate requests, and the router needs the engine to
// serve them. With the proxy, the engine can be constructed before the router.
type delegatorProxy struct{ inner service.Delegator }

// Delegate implements service.Delegator.
func (p *delegatorProxy) Delegate(ctx context.Context, target domain.ShardID, req shard.Submitted) (domain.Outcome, error) {
	return p.inner.Delegate(ctx, target, req)
}

// LookupAt implements service.Delegator.
func (p *delegatorProxy) LookupAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	return p.inner.LookupAt(ctx, at, id)
}

// CancelAt implements service.Delegator.
func (p *delegatorProxy) CancelAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	return p.inner.CancelAt(ctx, at, id)
}
