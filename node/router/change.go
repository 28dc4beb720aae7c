package router

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/service"
)

// Configuration implements service.Operations.
func (r *Router) Configuration() domain.Configuration { return r.Config.Current() }

// History implements service.Operations.
func (r *Router) History(limit int) []configlog.Decision { return r.Config.History(limit) }

// Change implements service.Operations. A rejected change is reported in the
// decision, not as an error. A take-out, which drains a failure domain, becomes
// provisional if it cannot be appended to the log.
func (r *Router) Change(ctx context.Context, change configlog.Change, wait time.Duration) (service.ChangeResult, error) {
	if err := r.checkTakeOut(change); err != nil {
		return service.ChangeResult{}, err
	}
	if change.TakeOut != nil && !r.Peers.LogUp() {
		return r.takeOutProvisionally(ctx, change, wait), nil
	}
	decision, err := r.Config.Propose(ctx, change)
	if err != nil && change.TakeOut != nil && isLogFailure(err) {
		return r.takeOutProvisionally(ctx, change, wait), nil
	}
	if err != nil {
		return service.ChangeResult{}, err
	}
	result := service.ChangeResult{Decision: decision}
	if decision.Accepted {
		version := decision.InForce
		result.InForce, result.Missing = r.waitForNodes(ctx, wait, func(reply peer.PingReply) bool {
			return reply.ConfigVersion >= version
		})
	}
	return result, nil
}

// checkTakeOut returns an error for a take-out of a domain that does not exist.
// Nothing else validates a provisional take-out.
func (r *Router) checkTakeOut(change configlog.Change) error {
	if change.TakeOut == nil || slices.Contains(r.Cluster.Domains, *change.TakeOut) {
		return nil
	}
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: "failure domain " + string(*change.TakeOut) + " does not exist",
		Remedy:  "use a failure domain of the settings",
	}
}

// isLogFailure reports whether err means that the log service failed or did not
// answer in time.
func isLogFailure(err error) bool {
	kind := domain.KindOf(err)
	return kind == domain.KindUnavailable || kind == domain.KindOutcomeUnknown ||
		errors.Is(err, context.DeadlineExceeded)
}

// takeOutProvisionally takes a failure domain out without the log service. The pings
// that waitForNodes sends also distribute the take-out to the nodes.
func (r *Router) takeOutProvisionally(ctx context.Context, change configlog.Change, wait time.Duration) service.ChangeResult {
	d := *change.TakeOut
	r.Config.AddProvisional(d, change.Operator, change.Reason)
	result := service.ChangeResult{
		Decision:    configlog.Decision{Change: change, InForce: r.Config.Current().Version},
		Provisional: true,
	}
	result.InForce, result.Missing = r.waitForNodes(ctx, wait, func(reply peer.PingReply) bool {
		if slices.Contains(reply.ProvisionalTakeOuts, d) {
			return true
		}
		// The log service may have become available in the meantime.
		current := r.Config.Current()
		return current.TakenOut(d) && reply.ConfigVersion >= current.Version
	})
	return result
}

// waitForNodes pings all nodes until the condition is true for the reply of each
// node, or wait has passed. It returns the nodes for which it is true and the
// others, each ordered by id.
func (r *Router) waitForNodes(ctx context.Context, wait time.Duration, condition func(peer.PingReply) bool) (inForce, missing []domain.NodeID) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	pending := slices.Clone(r.Peers.Status())
	for {
		done := make([]bool, len(pending))
		forEachNode(ctx, pending, func(ctx context.Context, i int) {
			done[i] = r.checkNode(ctx, pending[i].ID, condition)
		})
		var left []service.NodeStatus
		for i, n := range pending {
			if done[i] {
				inForce = append(inForce, n.ID)
			} else {
				left = append(left, n)
			}
		}
		pending = left
		if len(pending) == 0 || !sleep(ctx, changePollInterval) {
			break
		}
	}
	for _, n := range pending {
		missing = append(missing, n.ID)
	}
	slices.Sort(inForce)
	slices.Sort(missing)
	return inForce, missing
}

// checkNode pings one node and reports whether the condition is true for its
// reply.
func (r *Router) checkNode(ctx context.Context, id domain.NodeID, condition func(peer.PingReply) bool) bool {
	if id == r.Node.ID {
		return condition(r.PingArgs())
	}
	reply, err := r.pingNode(ctx, id)
	return err == nil && condition(reply)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
