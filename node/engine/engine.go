package engine

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/service"
)

// Engine runs the shards that this node owns. It implements service.Shards.
type Engine struct {
	config     Config
	follower   *follower
	committer  *committer
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// publishMu serializes the calls of publishLogState.
	publishMu sync.Mutex

	mu       sync.Mutex
	runners  map[domain.ShardID]*runner
	stopping bool
	// readsOK is true if the latest log read succeeded.
	readsOK bool
	// configured and listed are passed on to schedulers that start later.
	configured *shard.Configured
	listed     []platform.VM
	retention  retention
}

var _ service.Shards = (*Engine)(nil)

// New returns an engine that is not started yet.
func New(c Config) *Engine {
	ctx, cancel := context.WithCancel(context.Background())
	if c.IsNotSent == nil {
		c.IsNotSent = func(error) bool { return false }
	}
	e := &Engine{
		config:  c,
		ctx:     ctx,
		cancel:  cancel,
		runners: make(map[domain.ShardID]*runner),
		readsOK: true,
	}
	e.committer = newCommitter(c, func(bool) { e.publishLogState() })
	e.follower = newFollower(c, followerHooks{
		isOutstanding: e.committer.isOutstanding,
		onRead:        e.handleLogRead,
		readBack:      e.committer.readBack,
	})
	e.committer.readToEnd = e.follower.readToEnd
	return e
}

// Start starts the goroutines that read the domain's stream, append batches of
// journal entries and append snapshots.
func (e *Engine) Start() {
	e.spawn(e.follower.run)
	e.spawn(e.committer.run)
	e.spawn(e.runSnapshots)
}

func (e *Engine) spawn(f func(context.Context)) {
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		f(e.ctx)
	}()
}

// Configure passes the configuration to all schedulers, also to those that start
// later.
func (e *Engine) Configure(c shard.Configured) {
	e.mu.Lock()
	e.configured = &c
	e.mu.Unlock()
	for _, r := range e.sortedRunners() {
		r.update(func(l *latestValues) { l.configured = &c })
	}
}

// SetWorkers takes the VM list of the node's domain and passes the workers of each
// shard to its scheduler.
func (e *Engine) SetWorkers(vms []platform.VM) {
	e.mu.Lock()
	e.listed = append([]platform.VM{}, vms...)
	e.mu.Unlock()
	for _, r := range e.sortedRunners() {
		listed := e.workersOf(r.shard, vms)
		r.update(func(l *latestValues) { l.workers = &listed })
	}
}

func (e *Engine) workersOf(id domain.ShardID, vms []platform.VM) shard.WorkersListed {
	var workers []platform.VM
	for _, vm := range vms {
		if vm.Domain == id.Domain && e.config.Ring.ShardOfWorker(id.Domain, vm.ID) == id {
			workers = append(workers, vm)
		}
	}
	return shard.WorkersListed{VMs: workers}
}

// sortedRunners returns the runners, ordered by shard.
func (e *Engine) sortedRunners() []*runner {
	e.mu.Lock()
	defer e.mu.Unlock()
	runners := make([]*runner, 0, len(e.runners))
	for _, r := range e.runners {
		runners = append(runners, r)
	}
	slices.SortFunc(runners, func(a, b *runner) int { return cmp.Compare(a.shard.Index, b.shard.Index) })
	return runners
}

func (e *Engine) runner(id domain.ShardID) (*runner, *domain.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runners[id]
	if r == nil || r.fenced.Load() {
		return nil, notOwnedError(id)
	}
	return r, nil
}

// handleLogRead handles the result of a log read. It runs in the follower's
// goroutine.
func (e *Engine) handleLogRead(read LogRead) {
	e.mu.Lock()
	changed := e.readsOK != read.OK
	e.readsOK = read.OK
	e.mu.Unlock()
	if changed {
		e.publishLogState()
	}
	if read.OK {
		e.retention.set(read.Retention)
		for _, o := range read.Owners {
			e.reconcile(o, read)
		}
		read.Owned = e.Owned()
	}
	if e.config.OnLogRead != nil {
		e.config.OnLogRead(read)
	}
}

// publishLogState tells all schedulers whether the log service responds.
func (e *Engine) publishLogState() {
	// Without the lock, concurrent calls could publish an older state last.
	e.publishMu.Lock()
	defer e.publishMu.Unlock()
	state := e.logState()
	for _, r := range e.sortedRunners() {
		r.update(func(l *latestValues) { l.log = &state })
	}
}

func (e *Engine) logState() shard.LogState {
	up := e.committer.isLogUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	return shard.LogState{Up: e.readsOK && up}
}

// reconcile starts or drops the runner of a shard according to the ownership that
// the stream shows.
func (e *Engine) reconcile(o membership.Ownership, read LogRead) {
	newest := shard.OwnershipRead{SentAt: read.SentAt, Epoch: o.Epoch}
	e.mu.Lock()
	r := e.runners[o.Shard]
	if r != nil && r.fenced.Load() {
		r = e.removeRunner(r)
	}
	if r != nil && isReplaced(r, o, read.AtEnd) {
		r.drop(&newest)
		r = e.removeRunner(r)
	}
	canStart := r == nil && !e.stopping && o.HasOwner() && o.Owner == e.config.Node
	e.mu.Unlock()
	if canStart && e.follower.isOwnClaim(o.Shard, o.Epoch) {
		r = e.startRunner(o)
	}
	if r != nil && read.AtEnd {
		r.update(func(l *latestValues) { l.ownership = &newest })
	}
}

// removeRunner removes a runner that was dropped. It returns nil, because the shard
// has no runner then. The caller holds e.mu.
func (e *Engine) removeRunner(r *runner) *runner {
	delete(e.runners, r.shard)
	e.follower.forgetClaim(r.shard, r.epoch)
	return nil
}

// isReplaced reports whether the stream shows that the runner's epoch has ended.
// A lower epoch counts only when a read has reached the end of the stream, because
// the follower may have restarted at the first record that is retained.
func isReplaced(r *runner, o membership.Ownership, atEnd bool) bool {
	if o.Epoch == r.epoch {
		return o.Released
	}
	return atEnd || o.Epoch > r.epoch
}

func (e *Engine) startRunner(o membership.Ownership) *runner {
	e.config.Logger.Info("acquired ownership of shard", "shard", o.Shard, "epoch", o.Epoch)
	r := newRunner(e.config, o.Shard, o.Epoch)
	r.exec = e.newExecutor(r)
	scheduler, first := e.config.NewScheduler(SchedulerConfig{
		Shard:   o.Shard,
		Node:    e.config.Node,
		Epoch:   o.Epoch,
		Journal: e.follower.journal(o.Shard),
		Now:     e.config.now(),
	})
	r.scheduler = scheduler
	e.register(r)
	e.publishLogState()
	e.spawn(func(ctx context.Context) { r.run(ctx, first) })
	return r
}

// register adds a runner and passes it the newest configuration and worker list.
func (e *Engine) register(r *runner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.update(func(l *latestValues) { l.configured = e.configured })
	// Before the VM list is read, no list is passed on. The scheduler would
	// conclude from an empty list that the shard has no workers, and so that it
	// knows of everything that runs.
	if e.listed != nil {
		listed := e.workersOf(r.shard, e.listed)
		r.update(func(l *latestValues) { l.workers = &listed })
	}
	e.runners[r.shard] = r
}

func (e *Engine) newExecutor(r *runner) *executor {
	return &executor{
		ctx:           e.ctx,
		calls:         &e.goroutines,
		workerClients: newWorkerClients(e.config.Dial),
		delegator:     e.config.Delegator,
		notSent:       e.config.IsNotSent,
		commit:        e.committer.add,
		now:           e.config.now,
		fenced:        &r.fenced,
		post:          r.post,
	}
}

// Claim appends a claim of this node. The claim takes effect if previous is still
// the epoch in force. done is called once: with nil if the claim is in the stream,
// whether or not it took effect, and otherwise with an error.
func (e *Engine) Claim(id domain.ShardID, previous domain.Epoch, done func(*domain.Error)) {
	claim := journal.Claim{Shard: id, Node: e.config.Node, Previous: previous}
	e.committer.add([]journal.Entry{{Shard: id, Claim: &claim}}, nil, done)
}

// Owned implements service.Shards.
func (e *Engine) Owned() []service.OwnedShard {
	owned := []service.OwnedShard{}
	for _, r := range e.sortedRunners() {
		if r.fenced.Load() {
			continue
		}
		s := r.status.Load()
		owned = append(owned, service.OwnedShard{Shard: r.shard, Epoch: r.epoch, Ready: s.Ready, FreeSlots: s.FreeSlots})
	}
	return owned
}

// Draw implements service.Shards.
func (e *Engine) Draw(id domain.ShardID, n int) (domain.Epoch, uint64, error) {
	r, err := e.runner(id)
	if err != nil {
		return 0, 0, err
	}
	if !r.status.Load().Ready {
		return 0, 0, notReadyError(id)
	}
	ctx, cancel := context.WithTimeout(e.ctx, service.CallTimeout)
	defer cancel()
	var first uint64
	if err := r.inspect(ctx, func(s Scheduler) { first = s.Draw(n) }); err != nil {
		return 0, 0, err
	}
	return r.epoch, first, nil
}

// Submit implements service.Shards.
func (e *Engine) Submit(ctx context.Context, id domain.ShardID, req shard.Submitted) (domain.Outcome, error) {
	r, err := e.runner(id)
	if err != nil {
		return domain.Outcome{}, err
	}
	return r.call(ctx, req.Task.ID, func(call shard.CallID) shard.Event {
		req.Call = call
		return req
	})
}

// Lookup implements service.Shards.
func (e *Engine) Lookup(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	r, err := e.runner(at)
	if err != nil {
		return domain.Outcome{}, err
	}
	return r.call(ctx, id, func(call shard.CallID) shard.Event { return shard.Queried{Call: call, ID: id} })
}

// Cancel implements service.Shards.
func (e *Engine) Cancel(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	r, err := e.runner(at)
	if err != nil {
		return domain.Outcome{}, err
	}
	return r.call(ctx, id, func(call shard.CallID) shard.Event { return shard.Cancelled{Call: call, ID: id} })
}

// Explain implements service.Shards.
func (e *Engine) Explain(id domain.RequestID) []explain.Entry {
	return e.config.Reasons.Entries(id)
}

// Workers implements service.Shards.
func (e *Engine) Workers() []service.WorkerStatus {
	workers := []service.WorkerStatus{}
	for _, r := range e.sortedRunners() {
		for _, w := range r.status.Load().Workers {
			workers = append(workers, service.WorkerStatus{
				ID: w.ID, Domain: r.shard.Domain, Rack: w.Rack, Shard: r.shard, State: w.State,
				Capacity: w.Capacity, Reserved: w.Reserved, Tasks: w.Tasks,
			})
		}
	}
	slices.SortFunc(workers, func(a, b service.WorkerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return workers
}
