package router

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/service"
)

// errNoOwner returns the error of a call to a shard without a known owner. Its
// kind means that nothing was started.
func errNoOwner(id domain.ShardID) error {
	return &domain.Error{
		Kind:    domain.KindStaleEpoch,
		Message: "no live owner of shard " + id.String() + " is known",
		Remedy:  "try again in a second",
	}
}

// ownerClient returns the client of the node that owns the shard.
func (r *Router) ownerClient(ctx context.Context, id domain.ShardID) (peer.Caller, error) {
	node, ok := r.owner(ctx, id)
	if !ok || node == r.Node.ID {
		return nil, errNoOwner(id)
	}
	return r.Clients.Client(node)
}

// notHandled reports whether err shows that the call had no effect and that the
// owner should be looked up again: the call was never sent, or the node answered
// that it does not own the shard.
func notHandled(err error) bool {
	return peer.IsNotSent(err) || !peer.IsNoReply(err) && domain.KindOf(err) == domain.KindStaleEpoch
}

// forward sends a request to the owner of the shard, once.
func (r *Router) forward(ctx context.Context, id domain.ShardID, req shard.Submitted, budget time.Duration) (domain.Outcome, error) {
	if r.ownsShard(id) {
		return r.submitLocally(ctx, id, req)
	}
	client, err := r.ownerClient(ctx, id)
	if err != nil {
		return domain.Outcome{}, err
	}
	reply, err := client.Forward(ctx, peer.ForwardArgs{
		Shard:      id,
		Task:       req.Task,
		Budget:     budget,
		Delegated:  req.Delegated,
		Attempt:    req.Attempt,
		Checkpoint: req.Checkpoint,
		Moves:      req.Moves,
	})
	return reply.Outcome, err
}

// submitLocally submits a request to a shard of this node. An outcome with
// another id becomes an error.
func (r *Router) submitLocally(ctx context.Context, id domain.ShardID, req shard.Submitted) (domain.Outcome, error) {
	out, err := r.Shards.Submit(ctx, id, req)
	return checkOutcomeID(req.Task.ID, out, err)
}

// checkOutcomeID returns the outcome, or an error if it belongs to another
// request.
func checkOutcomeID(id domain.RequestID, out domain.Outcome, err error) (domain.Outcome, error) {
	if err != nil {
		return domain.Outcome{}, err
	}
	if out.ID != id {
		return domain.Outcome{}, &domain.Error{
			Kind:      domain.KindInternal,
			Message:   "the shard answered for request " + out.ID.String(),
			Remedy:    "report this as a defect",
			RequestID: id.String(),
		}
	}
	return out, nil
}

// lookupOnce asks the owner of a request for its outcome, once.
func (r *Router) lookupOnce(ctx context.Context, id domain.RequestID) (domain.Outcome, error) {
	return r.LookupAt(ctx, id.Shard, id)
}

// cancelOnce asks the owner of a request to cancel it, once.
func (r *Router) cancelOnce(ctx context.Context, id domain.RequestID) (domain.Outcome, error) {
	return r.CancelAt(ctx, id.Shard, id)
}

// LookupAt implements service.Delegator.
func (r *Router) LookupAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	if r.ownsShard(at) {
		out, err := r.Shards.Lookup(ctx, at, id)
		return checkOutcomeID(id, out, err)
	}
	client, err := r.ownerClient(ctx, at)
	if err != nil {
		return domain.Outcome{}, err
	}
	reply, err := client.Lookup(ctx, peer.IDArgs{ID: id, Shard: &at, Budget: remaining(ctx)})
	return reply.Outcome, err
}

// CancelAt implements service.Delegator.
func (r *Router) CancelAt(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	if r.ownsShard(at) {
		out, err := r.Shards.Cancel(ctx, at, id)
		return checkOutcomeID(id, out, err)
	}
	client, err := r.ownerClient(ctx, at)
	if err != nil {
		return domain.Outcome{}, err
	}
	reply, err := client.Cancel(ctx, peer.IDArgs{ID: id, Shard: &at, Budget: remaining(ctx)})
	return reply.Outcome, err
}

// remaining returns the time until the deadline of ctx, at least 0, and
// service.CallTimeout if there is none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return service.CallTimeout
	}
	return max(0, time.Until(deadline))
}

// retry determines the delays between the retries of one request and bounds
// their number.
type retry struct {
	backoff backoff.ExponentialBackOff
	rounds  int
}

func newRetry() *retry {
	return &retry{backoff: backoff.ExponentialBackOff{
		InitialInterval:     minRetryDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         maxRetryDelay,
	}}
}

// wait waits until the next retry is due. It returns false if ctx ends first or
// no retry is left.
func (t *retry) wait(ctx context.Context) bool {
	t.rounds++
	if t.rounds >= maxRetryRounds {
		return false
	}
	timer := time.NewTimer(t.backoff.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
