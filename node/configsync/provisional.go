package configsync

import (
	"context"
	"slices"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
)

// provisional is a take-out that is not in the log yet because the log service
// is down.
type provisional struct {
	domain           domain.FailureDomain
	operator, reason string
	// base is the version in force on the node that added or reported it.
	base domain.Version
}

// Provisional implements service.Config.
func (s *Sync) Provisional() []domain.FailureDomain {
	s.mu.Lock()
	defer s.mu.Unlock()
	domains := make([]domain.FailureDomain, 0, len(s.provisional))
	for _, p := range s.provisional {
		domains = append(domains, p.domain)
	}
	slices.Sort(domains)
	return domains
}

// AddProvisional implements service.Config.
func (s *Sync) AddProvisional(d domain.FailureDomain, operator, reason string) {
	s.mu.Lock()
	base := s.state.Current().Version
	added := s.addProvisional(provisional{domain: d, operator: operator, reason: reason, base: base})
	s.mu.Unlock()
	if added {
		s.config.Logger.Warn("provisional take-out", "domain", d, "operator", operator, "reason", reason)
		wake(s.wakeProvisional)
		s.notifyChanged()
	}
}

// addProvisional adds a take-out unless it is known or superseded, and reports
// whether it did. s.mu must be held.
func (s *Sync) addProvisional(p provisional) bool {
	known := slices.ContainsFunc(s.provisional, func(o provisional) bool { return o.domain == p.domain })
	if known || s.isSuperseded(p) {
		return false
	}
	s.provisional = append(s.provisional, p)
	return true
}

// isSuperseded reports whether a provisional take-out is no longer needed: the
// domain is already taken out, or a change to the same domain was accepted after
// its base version. Like any change with an outdated base, it is then dropped.
// s.mu must be held.
func (s *Sync) isSuperseded(p provisional) bool {
	if s.state.Current().TakenOut(p.domain) {
		return true
	}
	return slices.ContainsFunc(s.state.History(keptRecords), func(d configlog.Decision) bool {
		return d.Accepted && d.Version > p.base && (refersTo(d.Change.TakeOut, p.domain) || refersTo(d.Change.BringBack, p.domain))
	})
}

func refersTo(field *domain.FailureDomain, d domain.FailureDomain) bool {
	return field != nil && *field == d
}

// dropSuperseded removes the superseded take-outs and reports whether there were
// any. s.mu must be held.
func (s *Sync) dropSuperseded() bool {
	before := len(s.provisional)
	s.provisional = slices.DeleteFunc(s.provisional, s.isSuperseded)
	return len(s.provisional) < before
}

// runProvisional appends provisional take-outs when the log service responds
// again. It also appends those that other nodes reported, because the node that
// added one may have failed. If several nodes append one concurrently, all but
// one are rejected and then read that the domain is taken out.
func (s *Sync) runProvisional(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, provisionalInterval, s.wakeProvisional)
		for _, p := range s.pendingProvisional(ctx) {
			s.proposeTakeOut(ctx, p)
		}
	}
}

// pendingProvisional returns the take-outs to append now. It first reads the
// stream to its end, because a take-out may already be in it.
func (s *Sync) pendingProvisional(ctx context.Context) []provisional {
	s.mu.Lock()
	idle := len(s.provisional) == 0 || !s.logUp
	s.mu.Unlock()
	if idle {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if !s.catchUp(ctx) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.provisional)
}

func (s *Sync) proposeTakeOut(ctx context.Context, p provisional) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	s.mu.Lock()
	superseded, base := s.isSuperseded(p), s.state.Current().Version
	s.mu.Unlock()
	if superseded {
		return
	}
	d, err := s.Propose(ctx, configlog.Change{Base: base, Operator: p.operator, Reason: p.reason, TakeOut: &p.domain})
	if err != nil || !d.Accepted {
		s.config.Logger.Info("provisional take-out is not in force yet", "domain", p.domain, "err", err)
	}
}
