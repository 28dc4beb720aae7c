package router

import (
	"context"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/service"
)

// Delegate implements service.Delegator. It hands a task of a shard of this node
// to the owner of the target shard. It retries only while the target certainly
// has not accepted the task. A lost answer is returned as an error; the
// delegating shard then repeats the call.
func (r *Router) Delegate(ctx context.Context, target domain.ShardID, req shard.Submitted) (domain.Outcome, error) {
	req.Delegated = true
	budget := req.Budget
	if budget <= 0 {
		budget = service.CallTimeout
	}
	answerCtx, cancelAnswerCtx := context.WithTimeout(ctx, budget+answerGracePeriod)
	defer cancelAnswerCtx()
	sendCtx, cancelSendCtx := context.WithTimeout(answerCtx, budget)
	defer cancelSendCtx()
	retry := newRetry()
	for {
		left := remaining(sendCtx)
		if req.Task.Kind == domain.KindUrgent {
			req.Budget = left
		}
		out, err := r.forward(answerCtx, target, req, left)
		if !notHandled(err) {
			return out, err
		}
		if !retry.wait(sendCtx) {
			return domain.Outcome{}, errNotDelegated(req.Task.ID, target, err)
		}
	}
}

func errNotDelegated(id domain.RequestID, target domain.ShardID, cause error) error {
	return &domain.Error{
		Kind:      domain.KindUnavailable,
		Message:   "shard " + target.String() + " did not accept the task: " + domain.AsError(cause).Message,
		Remedy:    "delegate it again, or to another shard",
		RequestID: id.String(),
	}
}
