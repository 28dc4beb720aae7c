package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/service"
)

// executor executes the effects of one scheduler. Each call runs on its own
// goroutine, because Worker.Run lasts as long as the task. The goroutines are
// started in the order of the effects.
type executor struct {
	// ctx ends with the engine, not with the runner, so that the end of the
	// ownership does not cancel a call in progress at the worker.
	ctx   context.Context
	calls *sync.WaitGroup
	// notSent is Config.IsNotSent.
	notSent       func(error) bool
	workerClients *workerClients
	delegator     service.Delegator
	// commit is committer.add.
	commit func(entries []journal.Entry, canTakeEffect func() bool, done func(*domain.Error))
	now    func() shard.Instant
	// fenced is true once the runner was dropped.
	fenced *atomic.Bool
	// post passes the result of an effect to the scheduler.
	post func(shard.Event)
}

func (x *executor) execute(effect shard.Effect) {
	if x.fenced.Load() {
		return
	}
	switch ef := effect.(type) {
	case shard.SendAttach:
		x.attach(ef)
	case shard.SendRenew:
		x.renew(ef)
	case shard.SendStart:
		x.start(ef)
	case shard.SendStop:
		x.stop(ef)
	case shard.SendThrottle:
		x.throttle(ef)
	case shard.SendLookup:
		x.lookup(ef)
	case shard.Append:
		x.append(ef)
	case shard.Delegate:
		x.delegate(ef)
	}
}

// spawn runs a call on a new goroutine. It does nothing if the runner was dropped
// before the goroutine starts, because nothing waits for the result then.
func (x *executor) spawn(call func()) {
	x.calls.Add(1)
	go func() {
		defer x.calls.Done()
		if !x.fenced.Load() {
			call()
		}
	}()
}

func (x *executor) attach(ef shard.SendAttach) {
	w := x.workerClients.clientAt(ef.Worker, ef.Address)
	x.spawn(func() {
		sentAt := x.now()
		reply, err := withTimeout(x.ctx, callTimeout, func(ctx context.Context) (platform.AttachReply, error) {
			return w.Attach(ctx, ef.Request)
		})
		x.post(shard.AttachDone{Worker: ef.Worker, Reply: reply, Err: err, SentAt: sentAt})
	})
}

func (x *executor) renew(ef shard.SendRenew) {
	w, ok := x.workerClients.clientOf(ef.Worker)
	if !ok {
		x.post(shard.RenewDone{Worker: ef.Worker, Err: unknownWorkerError(ef.Worker), SentAt: x.now()})
		return
	}
	x.spawn(func() {
		sentAt := x.now()
		reply, err := withTimeout(x.ctx, callTimeout, func(ctx context.Context) (platform.RenewReply, error) {
			return w.Renew(ctx, ef.Request)
		})
		x.post(shard.RenewDone{Worker: ef.Worker, Reply: reply, Err: err, SentAt: sentAt})
	})
}

func (x *executor) start(ef shard.SendStart) {
	done := shard.StartDone{Worker: ef.Worker, ID: ef.Request.Task.ID, Attempt: ef.Request.Attempt}
	w, ok := x.workerClients.clientOf(ef.Worker)
	if !ok {
		done.Err = unknownWorkerError(ef.Worker)
		x.post(done)
		return
	}
	limit, call := startTimeout, w.Start
	if ef.Request.Task.Kind == domain.KindUrgent {
		limit, call = runTimeout(ef.Request.Task), w.Run
	}
	x.spawn(func() {
		done.Status, done.Err = withTimeout(x.ctx, limit, func(ctx context.Context) (platform.TaskStatus, error) {
			status, err := call(ctx, ef.Request)
			done.NotSent = x.notSent(err)
			return status, err
		})
		x.post(done)
	})
}

func (x *executor) stop(ef shard.SendStop) {
	done := shard.StopDone{Worker: ef.Worker, ID: ef.Request.ID}
	w, ok := x.workerClients.clientOf(ef.Worker)
	if !ok {
		done.Err = unknownWorkerError(ef.Worker)
		x.post(done)
		return
	}
	x.spawn(func() {
		done.Status, done.Err = withTimeout(x.ctx, stopTimeout, func(ctx context.Context) (platform.TaskStatus, error) {
			return w.Stop(ctx, ef.Request)
		})
		x.post(done)
	})
}

func (x *executor) throttle(ef shard.SendThrottle) {
	w, ok := x.workerClients.clientOf(ef.Worker)
	if !ok {
		return
	}
	x.spawn(func() {
		// The scheduler gets no result of a throttle command, and does not repeat a
		// command that was lost.
		_, _ = withTimeout(x.ctx, callTimeout, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, w.Throttle(ctx, ef.Request)
		})
	})
}

func (x *executor) lookup(ef shard.SendLookup) {
	done := shard.LookupDone{Worker: ef.Worker, ID: ef.ID}
	w, ok := x.workerClients.clientOf(ef.Worker)
	if !ok {
		done.Err = unknownWorkerError(ef.Worker)
		x.post(done)
		return
	}
	x.spawn(func() {
		done.Status, done.Err = withTimeout(x.ctx, callTimeout, func(ctx context.Context) (platform.TaskStatus, error) {
			return w.Lookup(ctx, ef.ID)
		})
		x.post(done)
	})
}

func (x *executor) append(ef shard.Append) {
	canTakeEffect := func() bool { return !x.fenced.Load() }
	var done func(*domain.Error)
	if ef.Token != 0 {
		done = func(err *domain.Error) { x.post(shard.AppendDone{Token: ef.Token, Err: err}) }
	}
	x.commit(ef.Entries, canTakeEffect, done)
}

func (x *executor) delegate(ef shard.Delegate) {
	limit := service.CallTimeout
	if ef.Request.Budget > 0 {
		limit = ef.Request.Budget
	}
	x.spawn(func() {
		done := shard.DelegateDone{ID: ef.Request.Task.ID, Moves: ef.Request.Moves}
		done.Outcome, done.Err = x.callDelegate(ef, limit)
		x.post(done)
	})
}

// redirect looks up or cancels a request at the shard that it was moved to. done is
// called once.
func (x *executor) redirect(ef shard.Redirect, done func(domain.Outcome, *domain.Error)) {
	call := x.delegator.LookupAt
	if ef.Cancel {
		call = x.delegator.CancelAt
	}
	x.calls.Add(1)
	go func() {
		defer x.calls.Done()
		done(withTimeout(x.ctx, service.CallTimeout, func(ctx context.Context) (domain.Outcome, error) {
			return call(ctx, ef.Target, ef.ID)
		}))
	}()
}

func (x *executor) callDelegate(ef shard.Delegate, limit time.Duration) (domain.Outcome, *domain.Error) {
	return withTimeout(x.ctx, limit, func(ctx context.Context) (domain.Outcome, error) {
		return x.delegator.Delegate(ctx, ef.Target, ef.Request)
	})
}
