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
// decision, not as an error. A take-out that cannot be appended becomes a
// provisional one.
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
		result.InForce, result.Missing = r.waitForNodes(ctx, wait, func(told peer.PingReply) bool {
			return told.ConfigVersion >= version
		})
	}
	return result, nil
}

// checkTakeOut refuses a take-out of a domain that does not exist, because a
// provisional one is checked by nobody else.
func (r *Router) checkTakeOut(change configlog.Change) error {
	if change.TakeOut == nil || slices.Contains(r.Cluster.Domains, *change.TakeOut) {
		return nil
	}
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: "failure domain " + string(*change.TakeOut) + " does not exist",
		Remedy:  "name a domain of the settings",
	}
}

// isLogFailure reports whether the log service did not answer in time.
func isLogFailure(err error) bool {
	kind := domain.KindOf(err)
	return kind == domain.KindUnavailable || kind == domain.KindOutcomeUnknown ||
		errors.Is(err, context.DeadlineExceeded)
}

// takeOutProvisionally stops the starts in a domain without the log service.
// The pings that ask for progress also carry the take-out to the nodes.
func (r *Router) takeOutProvisionally(ctx context.Context, change configlog.Change, wait time.Duration) service.ChangeResult {
	d := *change.TakeOut
	r.Config.AddProvisional(d, change.Operator, change.Reason)
	result := service.ChangeResult{
		Decision:    configlog.Decision{Change: change, InForce: r.Config.Current().Version},
		Provisional: true,
	}
	result.InForce, result.Missing = r.waitForNodes(ctx, wait, func(told peer.PingReply) bool {
		if slices.Contains(told.ProvisionalTakeOuts, d) {
			return true
		}
		// The log service may have answered in the meantime.
		current := r.Config.Current()
		return current.TakenOut(d) && told.ConfigVersion >= current.Version
	})
	return result
}

// waitForNodes asks all nodes until each of them has told what has looks for, or wait
// has passed. It returns the nodes that have and those that have not, ordered
// by id.
func (r *Router) waitForNodes(ctx context.Context, wait time.Duration, has func(peer.PingReply) bool) (in, missing []domain.NodeID) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	pending := slices.Clone(r.Peers.Status())
	for {
		done := make([]bool, len(pending))
		forEachNode(ctx, pending, func(ctx context.Context, i int) {
			done[i] = r.checkNode(ctx, pending[i].ID, has)
		})
		var left []service.NodeStatus
		for i, n := range pending {
			if done[i] {
				in = append(in, n.ID)
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
	slices.Sort(in)
	slices.Sort(missing)
	return in, missing
}

// checkNode asks one node.
func (r *Router) checkNode(ctx context.Context, id domain.NodeID, has func(peer.PingReply) bool) bool {
	if id == r.Node.ID {
		return has(r.PingArgs())
	}
	told, err := r.pingNode(ctx, id)
	return err == nil && has(told)
}

// sleep waits for d. It reports false if ctx ends first.
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
