package router

import (
	"context"
	"fmt"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/service"
)

// RequestIDForKey implements service.Requests.
func (r *Router) RequestIDForKey(key string) domain.RequestID { return r.Ring.RequestIDForKey(key) }

// Lookup implements service.Requests.
func (r *Router) Lookup(ctx context.Context, id domain.RequestID) (domain.Outcome, error) {
	return r.retryQuery(ctx, id, r.lookupOnce)
}

// Cancel implements service.Requests. If the answer to a cancellation is lost,
// the call is repeated, because cancelling is idempotent.
func (r *Router) Cancel(ctx context.Context, id domain.RequestID) (domain.Outcome, error) {
	return r.retryQuery(ctx, id, r.cancelOnce)
}

// retryQuery makes an idempotent call and repeats it until the owner answers or
// service.CallTimeout has passed.
func (r *Router) retryQuery(ctx context.Context, id domain.RequestID,
	call func(context.Context, domain.RequestID) (domain.Outcome, error),
) (domain.Outcome, error) {
	if err := r.checkID(id); err != nil {
		return domain.Outcome{}, err
	}
	if !r.queries.tryAcquire() {
		return domain.Outcome{}, errOverloaded(id)
	}
	defer r.queries.release()
	ctx, cancel := context.WithTimeout(ctx, service.CallTimeout)
	defer cancel()
	retry := newRetry()
	for {
		out, err := call(ctx, id)
		if !notHandled(err) && !peer.IsNoReply(err) {
			return out, err
		}
		if !retry.wait(ctx) {
			return noOwnerOutcome(id, err), nil
		}
	}
}

// Explain implements service.Requests.
func (r *Router) Explain(ctx context.Context, id domain.RequestID) ([]explain.Entry, error) {
	if err := r.checkID(id); err != nil {
		return nil, err
	}
	if !r.queries.tryAcquire() {
		return nil, errOverloaded(id)
	}
	defer r.queries.release()
	if r.ownsShard(id.Shard) {
		return r.Shards.Explain(id), nil
	}
	client, err := r.ownerClient(ctx, id.Shard)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, service.CallTimeout)
	defer cancel()
	reply, err := client.Explain(ctx, peer.IDArgs{ID: id, Budget: remaining(ctx)})
	return reply.Entries, err
}

// ReserveIDs implements service.Requests. If no shard of this node's failure
// domain is ready, the ids come from another domain.
func (r *Router) ReserveIDs(ctx context.Context, n int) ([]domain.RequestID, error) {
	if n < 1 || n > maxReservedIDs {
		return nil, errIDCount(n)
	}
	if !r.queries.tryAcquire() {
		return nil, errOverloaded(domain.RequestID{})
	}
	defer r.queries.release()
	ctx, cancel := context.WithTimeout(ctx, service.CallTimeout)
	defer cancel()
	err := errNoShard()
	retry := newRetry()
	for {
		for _, c := range r.candidates() {
			var reserved idRange
			reserved, err = r.reserveRange(ctx, c, n)
			if err == nil {
				return reserved.list(c.shard), nil
			}
		}
		if !retry.wait(ctx) {
			return nil, domain.AsError(err)
		}
	}
}

func errIDCount(n int) error {
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: fmt.Sprintf("%d ids were requested", n),
		Remedy:  fmt.Sprintf("request 1 to %d ids", maxReservedIDs),
	}
}

// list returns the ids of the range.
func (r idRange) list(shard domain.ShardID) []domain.RequestID {
	ids := make([]domain.RequestID, r.left)
	for i := range ids {
		ids[i] = domain.RequestID{Shard: shard, Epoch: r.epoch, Seq: r.next + uint64(i)}
	}
	return ids
}
