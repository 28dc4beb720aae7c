package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/shard"
)

// request is a client request that waits for the scheduler.
type request struct {
	id domain.RequestID
	// newEvent returns the event for a call id. It is nil for a request that calls
	// read instead.
	newEvent func(shard.CallID) shard.Event
	// read runs on the scheduler's goroutine.
	read  func(Scheduler)
	reply chan callResult
}

type callResult struct {
	outcome domain.Outcome
	err     *domain.Error
}

// latestValues holds the newest event of each kind of which only the last one
// counts.
type latestValues struct {
	ownership  *shard.OwnershipRead
	log        *shard.LogState
	configured *shard.Configured
	workers    *shard.WorkersListed
	draining   bool
}

// runner runs the scheduler of one shard.
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

	mu sync.Mutex
	// closed is true once no more requests are accepted.
	closed       bool
	results      []shard.Event
	latestValues latestValues
	// replacement is the read that showed that the epoch has ended, if any.
	replacement *shard.OwnershipRead

	// Only the runner's goroutine uses the fields below.
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

// post queues the result of an effect. It never blocks or drops a result; the
// number of effects in progress bounds the queue.
func (r *runner) post(ev shard.Event) {
	r.mu.Lock()
	r.results = append(r.results, ev)
	r.mu.Unlock()
	r.notify()
}

// update lets change set newest values, which the scheduler gets as events.
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

// drop stops the scheduler: from then on it gets no event except the read of a new
// owner, and no call to a worker is started. A call whose goroutine has already
// checked fenced may still be sent; a worker to which a newer owner has attached
// rejects it. newest is the read that showed that the epoch has ended, if any.
func (r *runner) drop(newest *shard.OwnershipRead) {
	if !r.fenced.CompareAndSwap(false, true) {
		return
	}
	r.mu.Lock()
	r.replacement = newest
	r.mu.Unlock()
	close(r.fencedSignal)
}

// enqueue queues a client request. It returns KindUnavailable if the queue is full
// and KindStaleEpoch if the scheduler was dropped.
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

// call queues a request and waits for its result. If ctx ends first, it returns an
// outcome with the state OutcomeUnknown.
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

// inspect runs read on the scheduler's goroutine and waits until it is done.
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

// run executes the scheduler's first effects and passes events to it until it is
// dropped, gives up ownership, or ctx ends.
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

// handleNext waits for the next input and handles it. It returns false when the
// runner must end.
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

// processUpdates passes the newest values and then the results of effects to the
// scheduler, so that it learns of a change of owner before it gets a result.
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

// step passes one event to the scheduler, unless its ownership has ended.
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

// effect handles an effect that concerns the runner, and passes any other to the
// executor.
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
		r.config.Logger.Info("gave up ownership of shard", "shard", r.shard, "epoch", r.epoch, "reason", ef.Reason)
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
		r.config.Logger.Error("reply has no waiting call", "shard", r.shard, "id", ef.Outcome.ID)
		return
	}
	delete(r.waitingCalls, ef.Call)
	req.reply <- resultOf(ef.Outcome)
}

// resultOf returns the result of a call. An outcome without a state means that the
// scheduler did not accept the call.
func resultOf(o domain.Outcome) callResult {
	if o.State == "" && o.Err != nil {
		return callResult{err: o.Err}
	}
	return callResult{outcome: o}
}

// redirect answers a call with the outcome from the shard that the request was
// moved to.
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

// handleRequest passes a client request to the scheduler, or refuses it if the
// shard is not owned or not recovered.
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

// refreshStatus stores the scheduler's current status. It is called only at the
// start and on ticks, not after each event, because the status lists all workers of
// the shard.
func (r *runner) refreshStatus() {
	s := r.scheduler.Status()
	r.status.Store(&s)
}

// answerRemaining tells the scheduler of a new owner, if there is one, and answers
// all calls and queued requests that still wait.
func (r *runner) answerRemaining() {
	r.mu.Lock()
	r.closed = true
	newest := r.replacement
	r.mu.Unlock()
	if newest != nil && newest.Epoch > r.epoch && !r.steppedDown {
		r.reportReplacement(*newest)
	}
	for _, req := range r.waitingCalls {
		req.reply <- callResult{outcome: unknownOutcome(req.id, "ownership of the shard ended before the outcome was known")}
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

// reportReplacement tells the scheduler that there is another owner. Of its effects,
// only replies, reasons and the step-down are executed, because only the new owner
// may send commands.
func (r *runner) reportReplacement(ev shard.OwnershipRead) {
	for _, effect := range r.scheduler.Step(r.config.now(), ev) {
		switch effect.(type) {
		case shard.Reply, shard.Explain, shard.StepDown:
			r.effect(effect)
		}
	}
}
