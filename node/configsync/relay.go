package configsync

import (
	"context"
	"sync"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/peer"
)

// relayOperator is the operator name of a take-out that another node reported,
// because pings do not contain its operator.
const relayOperator = "relayed"

// ObservePing records the configuration version and the provisional take-outs that
// another node reports in a ping or its reply.
func (s *Sync) ObservePing(from peer.PingArgs) {
	s.mu.Lock()
	if from.ConfigVersion > max(s.newestReported.version, s.state.Current().Version) {
		s.newestReported = reportedVersion{node: from.From, version: from.ConfigVersion}
		wake(s.wakeRelay)
	}
	added := false
	for _, d := range from.ProvisionalTakeOuts {
		p := provisional{
			domain: d, operator: relayOperator, base: from.ConfigVersion,
			reason: "provisional take-out reported by node " + string(from.From),
		}
		added = s.addProvisional(p) || added
	}
	s.mu.Unlock()
	if added {
		wake(s.wakeProvisional)
		s.notifyChanged()
	}
}

// runRelay fetches newer versions from other nodes while the log service is down.
func (s *Sync) runRelay(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, relayInterval, s.wakeRelay)
		if from, ok := s.fetchSource(); ok {
			s.fetch(ctx, from)
		}
	}
}

// fetchSource returns the node to fetch a newer version from, if any.
func (s *Sync) fetchSource() (domain.NodeID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reported := s.newestReported
	if s.logUp || reported.version <= s.state.Current().Version {
		return "", false
	}
	// The report is used once. If the node does not respond, the next ping that
	// reports a newer version sets it again.
	s.newestReported = reportedVersion{}
	return reported.node, true
}

// fetchAll fetches from all peers concurrently and adopts the highest version.
func (s *Sync) fetchAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, n := range s.config.Peers() {
		calls.Go(func() { s.fetch(ctx, n) })
	}
	calls.Wait()
}

func (s *Sync) fetch(ctx context.Context, from domain.NodeID) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := s.config.Fetch(ctx, from, s.Current().Version)
	if err != nil {
		s.config.Logger.Debug("configuration could not be fetched from node", "node", from, "err", err)
		return
	}
	s.adopt(reply)
}

// adopt puts a peer's configuration in force if its version is higher. Records
// that directly follow the last applied one are applied, so that their decisions
// are in the history; otherwise only the configuration is adopted.
func (s *Sync) adopt(reply peer.ConfigReply) {
	s.mu.Lock()
	before := s.state.Current().Version
	for _, rec := range reply.Records {
		if rec.Offset == s.next {
			s.applyRecord(rec)
		}
	}
	if reply.Configuration.Version > s.state.Current().Version {
		s.state.Adopt(reply.Configuration)
	}
	dropped := s.dropSuperseded()
	changed := dropped || s.state.Current().Version != before
	s.mu.Unlock()
	if changed {
		s.notifyChanged()
	}
}

// Reply returns the reply to another node's request for the records after a
// version.
func (s *Sync) Reply(args peer.ConfigArgs) peer.ConfigReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := peer.ConfigReply{Configuration: s.state.Current()}
	for _, rec := range s.records {
		if rec.Offset > platform.Offset(args.After) {
			reply.Records = append(reply.Records, rec)
		}
	}
	return reply
}
