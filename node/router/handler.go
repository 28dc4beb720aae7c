package router

import (
	"context"
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/service"
)

// maxConfigBytes bounds the records in one ConfigReply. Beyond them, the reader gets
// the configuration in force without its history.
const maxConfigBytes = 1 << 20

// handler implements peer.Handler. It is a separate type because methods that
// serve peers and methods that serve clients have the same names.
type handler struct{ r *Router }

var _ peer.Handler = handler{}

// Handler returns the handler of calls from peers.
func (r *Router) Handler() peer.Handler { return handler{r: r} }

// Ping implements peer.Handler.
func (h handler) Ping(args peer.PingArgs) (peer.PingReply, error) {
	h.r.RecordPing(args)
	if h.r.OnPing != nil {
		h.r.OnPing(args)
	}
	return h.r.PingArgs(), nil
}

// RecordPing stores the state that another node sent in a ping or in the reply
// to one.
func (r *Router) RecordPing(args peer.PingArgs) { r.loads.record(args, time.Now()) }

// Forward implements peer.Handler. It never forwards the request to a third
// node: if this node does not own the shard, the sender looks the owner up again.
func (h handler) Forward(args peer.ForwardArgs) (peer.OutcomeReply, error) {
	r := h.r
	if err := r.checkForward(args); err != nil {
		return peer.OutcomeReply{}, err
	}
	if !r.forwards.tryAcquire() {
		return peer.OutcomeReply{}, errOverloaded(args.Task.ID)
	}
	defer r.forwards.release()
	if args.Budget <= 0 {
		return h.answerExpired(args)
	}
	if args.Draw {
		epoch, first, err := r.Shards.Draw(args.Shard, 1)
		if err != nil {
			return peer.OutcomeReply{}, err
		}
		args.Task.ID = domain.RequestID{Shard: args.Shard, Epoch: epoch, Seq: first}
	}
	out, err := r.submitForwarded(args)
	return toOutcomeReply(out, err)
}

// checkForward returns an error for arguments that contradict each other.
func (r *Router) checkForward(args peer.ForwardArgs) error {
	valid := args.Draw && args.Task.ID.IsZero() ||
		!args.Draw && !args.Task.ID.IsZero() && (args.Delegated || args.Task.ID.Shard == args.Shard)
	if valid {
		return args.Task.Validate()
	}
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: fmt.Sprintf("request %s was forwarded to shard %s", args.Task.ID, args.Shard),
		Remedy:  "report this as a defect",
	}
}

// submitForwarded submits a forwarded request to a shard of this node.
func (r *Router) submitForwarded(args peer.ForwardArgs) (domain.Outcome, error) {
	req := shard.Submitted{
		Task:       args.Task,
		Delegated:  args.Delegated,
		Attempt:    args.Attempt,
		Checkpoint: args.Checkpoint,
		Moves:      args.Moves,
	}
	limit := min(args.Budget, service.CallTimeout)
	if args.Task.Kind == domain.KindUrgent {
		limit = r.limitUrgentBudget(args.Budget)
		req.Budget = limit
	}
	// The sender waits answerGracePeriod longer than the budget. This limit is
	// shorter, so that the outcome arrives before the sender gives up.
	ctx, cancel := context.WithTimeout(r.ctx, limit+answerGracePeriod/2)
	defer cancel()
	return r.submitLocally(ctx, args.Shard, req)
}

func (r *Router) limitUrgentBudget(budget time.Duration) time.Duration {
	if limit := time.Duration(r.Limits.MaxDeadline); limit > 0 {
		return min(budget, limit)
	}
	return budget
}

// answerExpired answers a request whose time budget is used up. This copy is not
// submitted, but an earlier copy may have been, so the answer is what the shard
// has recorded. An id that is still to be reserved does not exist yet, and the
// state of a delegated request is known to the shard that delegates it; these get an
// error, which means that this copy started nothing.
func (h handler) answerExpired(args peer.ForwardArgs) (peer.OutcomeReply, error) {
	if args.Draw || args.Delegated {
		return peer.OutcomeReply{}, &domain.Error{
			Kind:    domain.KindUnavailable,
			Message: "the time budget of the request was used up before it reached shard " + args.Shard.String(),
			Remedy:  "send the request again with a later deadline",
		}
	}
	return h.Lookup(peer.IDArgs{ID: args.Task.ID})
}

// Lookup implements peer.Handler.
func (h handler) Lookup(args peer.IDArgs) (peer.OutcomeReply, error) {
	return h.query(args, h.r.Shards.Lookup)
}

// Cancel implements peer.Handler.
func (h handler) Cancel(args peer.IDArgs) (peer.OutcomeReply, error) {
	return h.query(args, h.r.Shards.Cancel)
}

// query calls a shard of this node and checks that the answer is about the id.
func (h handler) query(args peer.IDArgs,
	call func(context.Context, domain.ShardID, domain.RequestID) (domain.Outcome, error),
) (peer.OutcomeReply, error) {
	if !h.r.queries.tryAcquire() {
		return peer.OutcomeReply{}, errOverloaded(args.ID)
	}
	defer h.r.queries.release()
	limit := service.CallTimeout
	if args.Budget > 0 {
		limit = min(limit, args.Budget)
	}
	ctx, cancel := context.WithTimeout(h.r.ctx, limit)
	defer cancel()
	at := args.ID.Shard
	if args.Shard != nil {
		at = *args.Shard
	}
	out, err := call(ctx, at, args.ID)
	out, err = checkOutcomeID(args.ID, out, err)
	return toOutcomeReply(out, err)
}

// toOutcomeReply returns the reply to a peer, with the length and checksum of the
// answer, or the error.
func toOutcomeReply(out domain.Outcome, err error) (peer.OutcomeReply, error) {
	if err != nil {
		return peer.OutcomeReply{}, err
	}
	return peer.NewOutcomeReply(out), nil
}

// Draw implements peer.Handler.
func (h handler) Draw(args peer.DrawArgs) (peer.DrawReply, error) {
	if args.Count < 1 || args.Count > maxReservedIDs {
		return peer.DrawReply{}, errIDCount(args.Count)
	}
	epoch, first, err := h.r.Shards.Draw(args.Shard, args.Count)
	return peer.DrawReply{Epoch: epoch, First: first}, err
}

// Explain implements peer.Handler.
func (h handler) Explain(args peer.IDArgs) (peer.ExplainReply, error) {
	return peer.ExplainReply{Entries: h.r.Shards.Explain(args.ID)}, nil
}

// Workers implements peer.Handler.
func (h handler) Workers() (peer.WorkersReply, error) {
	return peer.WorkersReply{Workers: h.r.Shards.Workers()}, nil
}

// Status implements peer.Handler.
func (h handler) Status() (peer.StatusReply, error) {
	return peer.StatusReply{Status: h.r.ownStatus()}, nil
}

// Config implements peer.Handler.
func (h handler) Config(args peer.ConfigArgs) (peer.ConfigReply, error) {
	reply := peer.ConfigReply{Configuration: h.r.Config.Current()}
	if h.r.Records != nil {
		reply.Records = limitRecords(h.r.Records(args.After))
	}
	return reply, nil
}

// limitRecords returns the first records up to maxConfigBytes, at least one.
func limitRecords(records []platform.Record) []platform.Record {
	size := 0
	for i, rec := range records {
		size += len(rec.Data)
		if i > 0 && size > maxConfigBytes {
			return records[:i]
		}
	}
	return records
}
