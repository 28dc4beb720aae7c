package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/shard"
)

// request is a caller's event that waits for its turn.
type request struct {
	id domain.RequestID
	// newEvent makes the event for a call id; nil for a request that only reads.
	newEvent func(shard.CallID) shard.Event
	// onRead is run on the machine's goroutine.
	read  func(Scheduler)
	reply chan callResult
}

type callResult struct {
	outcome domain.Outcome
	err     *domain.Error
}

// latestValues holds the newest value of events of which only the last one counts.
type latestValues struct {
	ownership  *shard.OwnershipRead
	log        *shard.LogState
	configured *shard.Configured
	workers    *shard.WorkersListed
	draining   bool
}

// runner owns the machine of one shard.
type runner struct {
	config    Config
	shard     domain.ShardID
	epoch     domain.Epoch
	scheduler Scheduler
	exec      *executor

	requests     chan request
	wake         chan struct{}
	fenced       atomic.Bool
	fencedSignal chan struct{}
	drained      chan struct{}
	done         chan struct{}
	status       atomic.Pointer[Status]

	mu           sync.Mutex
	closed       bool
	results      []shard.Event
	latestValues latestValues
	// replacement is the read that showed another owner.
	replacement *shard.OwnershipRead

	// The fields below belong to the runner's goroutine.
	waitingCalls map[shard.CallID]request
	nextCall     shard.CallID
	isDrained    bool
	steppedDown  bool
}

func newRunner(c Config, id domain.ShardID, epoch domain.Epoch) *runner {
	r := &runner{
		config:       c,
		shard:        id,
		epoch:        epoch,
		requests:     make(chan request, maxQueuedRequests),
		wake:         make(chan struct{}, 1),
		fencedSignal: make(chan struct{}),
		drained:      make(chan struct{}),
		done:         make(chan struct{}),
		waitingCalls: make(map[shard.CallID]request),
	}
	r.status.Store(&Status{})
	return r
}

// post queues the result of an effect. Results are bounded by the effects in
// flight, so they never wait and are never lost.
func (r *runner) post(ev shard.Event) {
	r.mu.Lock()
	r.results = append(r.results, ev)
	r.mu.Unlock()
	r.notify()
}

// update changes the newest values under lock.
func (r *runner) update(change func(*latestValues)) {
	r.mu.Lock()
	change(&r.latestValues)
	r.mu.Unlock()
	r.notify()
}

func (r *runner) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// drop stops the machine: when it returns, no further command is sent. newest
// is the read that shows the other owner, if any.
func (r *runner) drop(newest *shard.OwnershipRead) {
	if !r.fenced.CompareAndSwap(false, true) {
		return
	}
	r.mu.Lock()
	r.replacement = newest
	r.mu.Unlock()
	close(r.fencedSignal)
}

// enqueue queues a caller's request. It returns KindUnavailable if the queue
// is full and KindStaleEpoch if the machine is gone.
func (r *runner) enqueue(req request) *domain.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return notOwnedError(r.shard)
	}
	select {
	case r.requests <- req:
		return nil
	default:
		return queueFullError(r.shard)
	}
}

// call queues a request and waits for its result. If ctx ends first the
// outcome is OutcomeUnknown.
func (r *runner) call(ctx context.Context, id domain.RequestID, newEvent func(shard.CallID) shard.Event) (domain.Outcome, error) {
	req := request{id: id, newEvent: newEvent, reply: make(chan callResult, 1)}
	if err := r.enqueue(req); err != nil {
		return domain.Outcome{}, err
	}
	select {
	case res := <-req.reply:
		if res.err != nil {
			return domain.Outcome{}, res.err
		}
		return res.outcome, nil
	case <-ctx.Done():
		return unknownOutcome(id, "the owner did not answer in time"), nil
	}
}

// inspect runs read on the machine's goroutine and waits for it.
func (r *runner) inspect(ctx context.Context, read func(Scheduler)) *domain.Error {
	req := request{read: read, reply: make(chan callResult, 1)}
	if err := r.enqueue(req); err != nil {
		return err
	}
	select {
	case res := <-req.reply:
		return res.err
	case <-ctx.Done():
		return noReplyError(r.shard)
	}
}

// run steps the machine until it is dropped or ctx ends.
func (r *runner) run(ctx context.Context, first []shard.Effect) {
	defer close(r.done)
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	r.executeAll(first)
	r.refreshStatus()
	for !r.steppedDown && r.handleNext(ctx, ticker.C) {
	}
	r.drop(nil)
	r.answerRemaining()
}

// handleNext handles what has come up. It returns false when the runner must end.
func (r *runner) handleNext(ctx context.Context, tick <-chan time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.fencedSignal:
		return false
	case <-r.wake:
		r.processUpdates()
	case req := <-r.requests:
		r.processUpdates()
		r.handleRequest(req)
	case <-tick:
		r.processUpdates()
		r.step(shard.Tick{})
		r.refreshStatus()
	}
	return true
}

// processUpdates steps the newest values and then the results, so that the machine
// knows of a change of owner before it sees a result.
func (r *runner) processUpdates() {
	r.mu.Lock()
	l, results := r.latestValues, r.results
	r.latestValues, r.results = latestValues{}, nil
	r.mu.Unlock()
	if l.workers != nil {
		r.exec.workerClients.setListed(l.workers.VMs)
	}
	for _, ev := range l.events() {
		r.step(ev)
	}
	for _, ev := range results {
		r.step(ev)
	}
}

func (l latestValues) events() []shard.Event {
	var events []shard.Event
	if l.ownership != nil {
		events = append(events, *l.ownership)
	}
	if l.log != nil {
		events = append(events, *l.log)
	}
	if l.configured != nil {
		events = append(events, *l.configured)
	}
	if l.workers != nil {
		events = append(events, *l.workers)
	}
	if l.draining {
		events = append(events, shard.Draining{})
	}
	return events
}

// step feeds one event, unless another owner is known.
func (r *runner) step(ev shard.Event) {
	if r.steppedDown || r.fenced.Load() {
		return
	}
	r.executeAll(r.scheduler.Step(r.config.now(), ev))
}

func (r *runner) executeAll(effects []shard.Effect) {
	for _, effect := range effects {
		r.effect(effect)
	}
}

// effect handles the effects that concern the runner and passes the others on.
func (r *runner) effect(effect shard.Effect) {
	switch ef := effect.(type) {
	case shard.Reply:
		r.reply(ef)
	case shard.Redirect:
		r.redirect(ef)
	case shard.Explain:
		r.config.Reasons.Record(ef.ID, ef.Reason)
	case shard.Measured:
		r.config.reportMeasured(ef)
	case shard.StepDown:
		r.config.Logger.Info("shard given up", "shard", r.shard, "epoch", r.epoch, "reason", ef.Reason)
		r.steppedDown = true
	case shard.Drained:
		r.markDrained()
	default:
		r.exec.execute(effect)
	}
}

func (r *runner) markDrained() {
	if !r.isDrained {
		r.isDrained = true
		close(r.drained)
	}
}

func (r *runner) reply(ef shard.Reply) {
	req, ok := r.waitingCalls[ef.Call]
	if !ok {
		r.config.Logger.Error("reply without a waiting call", "shard", r.shard, "id", ef.Outcome.ID)
		return
	}
	delete(r.waitingCalls, ef.Call)
	req.reply <- resultOf(ef.Outcome)
}

// resultOf tells an outcome from a call that the machine has not taken.
func resultOf(o domain.Outcome) callResult {
	if o.State == "" && o.Err != nil {
		return callResult{err: o.Err}
	}
	return callResult{outcome: o}
}

// redirect answers a call with what the shard says that the request was moved
// to.
func (r *runner) redirect(ef shard.Redirect) {
	req, ok := r.waitingCalls[ef.Call]
	if !ok {
		return
	}
	delete(r.waitingCalls, ef.Call)
	r.exec.redirect(ef, func(o domain.Outcome, err *domain.Error) {
		req.reply <- callResult{outcome: o, err: err}
	})
}

// handleRequest steps a caller's request, or refuses it before anything was started.
func (r *runner) handleRequest(req request) {
	if r.steppedDown || r.fenced.Load() {
		req.reply <- callResult{err: notOwnedError(r.shard)}
		return
	}
	if req.newEvent == nil {
		req.read(r.scheduler)
		req.reply <- callResult{}
		return
	}
	if !r.status.Load().Ready {
		req.reply <- callResult{err: notReadyError(r.shard)}
		return
	}
	r.nextCall++
	r.waitingCalls[r.nextCall] = req
	r.step(req.newEvent(r.nextCall))
}

// refreshStatus reads the machine's status. It is called on each tick only, because
// the status lists all workers of the shard.
func (r *runner) refreshStatus() {
	s := r.scheduler.Status()
	r.status.Store(&s)
}

// answerRemaining answers everybody who still waits.
func (r *runner) answerRemaining() {
	r.mu.Lock()
	r.closed = true
	newest := r.replacement
	r.mu.Unlock()
	if newest != nil && newest.Epoch > r.epoch && !r.steppedDown {
		r.reportReplacement(*newest)
	}
	for _, req := range r.waitingCalls {
		req.reply <- callResult{outcome: unknownOutcome(req.id, "the shard was given up before the outcome was known")}
	}
	for {
		select {
		case req := <-r.requests:
			req.reply <- callResult{err: notOwnedError(r.shard)}
		default:
			return
		}
	}
}

// reportReplacement tells the machine of the other owner. Only replies and reasons are
// carried out: commands belong to the new owner.
func (r *runner) reportReplacement(ev shard.OwnershipRead) {
	for _, effect := range r.scheduler.Step(r.config.now(), ev) {
		switch effect.(type) {
		case shard.Reply, shard.Explain, shard.StepDown:
			r.effect(effect)
		}
	}
}
