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

// maxConfigBytes bounds the records in one ConfigReply. The reader asks again
// for the rest.
const maxConfigBytes = 1 << 20

// handler implements peer.Handler. It is a type of its own because peers and
// callers use the same method names.
type handler struct{ r *Router }

var _ peer.Handler = handler{}

// Handler returns what this node does for its peers.
func (r *Router) Handler() peer.Handler { return handler{r: r} }

// Ping implements peer.Handler.
func (h handler) Ping(args peer.PingArgs) (peer.PingReply, error) {
	h.r.Observe(args)
	if h.r.Pinged != nil {
		h.r.Pinged(args)
	}
	return h.r.PingArgs(), nil
}

// Observe takes over what another node told of itself, in a ping or in the
// reply to one.
func (r *Router) Observe(args peer.PingArgs) { r.loads.observe(args, time.Now()) }

// Forward implements peer.Handler. It never passes the request on to a third
// node: if the shard is not here, the caller looks the owner up again.
func (h handler) Forward(args peer.ForwardArgs) (peer.OutcomeReply, error) {
	r := h.r
	if err := r.checkForward(args); err != nil {
		return peer.OutcomeReply{}, err
	}
	if !r.forwards.enter() {
		return peer.OutcomeReply{}, errOverloaded(args.Task.ID)
	}
	defer r.forwards.leave()
	if args.Budget <= 0 {
		return h.expired(args)
	}
	if args.Draw {
		epoch, first, err := r.Shards.Draw(args.Shard, 1)
		if err != nil {
			return peer.OutcomeReply{}, err
		}
		args.Task.ID = domain.RequestID{Shard: args.Shard, Epoch: epoch, Seq: first}
	}
	out, err := r.serve(args)
	return sealed(out, err)
}

// checkForward returns an error for arguments that do not fit together.
func (r *Router) checkForward(args peer.ForwardArgs) error {
	fits := args.Draw && args.Task.ID.IsZero() ||
		!args.Draw && !args.Task.ID.IsZero() && (args.Delegated || args.Task.ID.Shard == args.Shard)
	if fits {
		return args.Task.Validate()
	}
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: fmt.Sprintf("request %s was forwarded to shard %s", args.Task.ID, args.Shard),
		Remedy:  "report this as a defect",
	}
}

// serve runs a forwarded request on a shard of this node.
func (r *Router) serve(args peer.ForwardArgs) (domain.Outcome, error) {
	req := shard.Submitted{
		Task:       args.Task,
		Delegated:  args.Delegated,
		Attempt:    args.Attempt,
		Checkpoint: args.Checkpoint,
		Moves:      args.Moves,
	}
	limit := min(args.Budget, service.CallTimeout)
	if args.Task.Kind == domain.KindUrgent {
		limit = r.urgentBudget(args.Budget)
		req.Budget = limit
	}
	// Shorter than the caller's wait, so that an outcome of this node arrives
	// before the caller gives up.
	ctx, cancel := context.WithTimeout(r.ctx, limit+answerGrace/2)
	defer cancel()
	return r.submitHere(ctx, args.Shard, req)
}

func (r *Router) urgentBudget(budget time.Duration) time.Duration {
	if limit := time.Duration(r.Limits.MaxDeadline); limit > 0 {
		return min(budget, limit)
	}
	return budget
}

// expired answers a request whose budget is used up. This copy is dropped, but
// an earlier copy may have been taken, so the shard's record decides. A drawn
// id does not exist yet, and a delegated request is known to the shard that
// delegates it, so nothing was started for these.
func (h handler) expired(args peer.ForwardArgs) (peer.OutcomeReply, error) {
	if args.Draw || args.Delegated {
		return peer.OutcomeReply{}, &domain.Error{
			Kind:    domain.KindUnavailable,
			Message: "the time for the request was used up before it reached shard " + args.Shard.String(),
			Remedy:  "send the request again with a later deadline",
		}
	}
	return h.Lookup(peer.IDArgs{ID: args.Task.ID})
}

// Lookup implements peer.Handler.
func (h handler) Lookup(args peer.IDArgs) (peer.OutcomeReply, error) {
	return h.ask(args, h.r.Shards.Lookup)
}

// Cancel implements peer.Handler.
func (h handler) Cancel(args peer.IDArgs) (peer.OutcomeReply, error) {
	return h.ask(args, h.r.Shards.Cancel)
}

// ask puts a question to a shard of this node.
func (h handler) ask(args peer.IDArgs,
	once func(context.Context, domain.ShardID, domain.RequestID) (domain.Outcome, error),
) (peer.OutcomeReply, error) {
	if !h.r.queries.enter() {
		return peer.OutcomeReply{}, errOverloaded(args.ID)
	}
	defer h.r.queries.leave()
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
	out, err := once(ctx, at, args.ID)
	out, err = sameID(args.ID, out, err)
	return sealed(out, err)
}

func sealed(out domain.Outcome, err error) (peer.OutcomeReply, error) {
	if err != nil {
		return peer.OutcomeReply{}, err
	}
	return peer.Seal(out), nil
}

// Draw implements peer.Handler.
func (h handler) Draw(args peer.DrawArgs) (peer.DrawReply, error) {
	if args.Count < 1 || args.Count > maxDraw {
		return peer.DrawReply{}, errDrawCount(args.Count)
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
