package membership

import (
	"cmp"
	"slices"

	"github.com/basilferry/basilferry/core/domain"
)

// nodesIn returns the nodes of one failure domain, ordered by id.
func (c Config) nodesIn(d domain.FailureDomain) []domain.NodeID {
	var ids []domain.NodeID
	for _, n := range c.Nodes {
		if n.Domain == d {
			ids = append(ids, n.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// LocalPeers returns the other nodes of the own domain, ordered by id.
func (s *State) LocalPeers() []domain.NodeID {
	return slices.DeleteFunc(s.config.nodesIn(s.ownDomain), func(id domain.NodeID) bool { return id == s.config.Self })
}

// RemotePeers returns the nodes of other domains that this node pings now: one of
// each of the next FarPeerCount domains after its own in the order of the settings,
// so that the domains form a ring. Nodes that own a ready shard come first,
// because those are the targets of delegated tasks. While a domain has none,
// every second ping goes to another of its nodes; the slots do this in turn, so
// that one of them always keeps to a node that is known to be live.
func (s *State) RemotePeers(now Instant) []domain.NodeID {
	var far []domain.NodeID
	others := s.otherDomains()
	for slot := 0; slot < FarPeerCount && len(others) > 0; slot++ {
		if id, ok := s.chooseFarPeer(now, slot, others, far); ok {
			far = append(far, id)
		}
	}
	return far
}

func (s *State) chooseFarPeer(now Instant, slot int, others []domain.FailureDomain, taken []domain.NodeID) (domain.NodeID, bool) {
	d := others[slot%len(others)]
	live := s.liveNodesIn(now, d, taken)
	if i := slices.IndexFunc(live, s.ownsReadyShard); i >= 0 {
		return live[i], true
	}
	explore := (int(now/FarPingInterval)+slot)%2 == 0
	if explore {
		return s.nextProbe(now, d, taken)
	}
	if len(live) > 0 {
		return live[0], true
	}
	for _, d := range others {
		if live := s.liveNodesIn(now, d, taken); len(live) > 0 {
			return live[0], true
		}
	}
	return s.nextProbe(now, d, taken)
}

// liveNodesIn returns the live nodes of a domain that are not taken, in an order
// that differs between the nodes of this domain.
func (s *State) liveNodesIn(now Instant, d domain.FailureDomain, taken []domain.NodeID) []domain.NodeID {
	nodes := s.config.nodesIn(d)
	var live []domain.NodeID
	for i := range nodes {
		id := nodes[(s.rank()+i)%len(nodes)]
		if s.Live(now, id) && !slices.Contains(taken, id) {
			live = append(live, id)
		}
	}
	return live
}

func (s *State) ownsReadyShard(id domain.NodeID) bool {
	return slices.ContainsFunc(s.peers[id].reply.OwnedShards, func(h ShardReport) bool { return h.Ready })
}

// otherDomains returns the domains that have nodes, from the one after the own
// domain on.
func (s *State) otherDomains() []domain.FailureDomain {
	all := s.config.Domains
	start := slices.Index(all, s.ownDomain)
	var others []domain.FailureDomain
	for step := 1; step < len(all); step++ {
		d := all[(start+step)%len(all)]
		if len(s.config.nodesIn(d)) > 0 {
			others = append(others, d)
		}
	}
	return others
}

// nextProbe returns the node of the domain whose turn it is, live or not.
func (s *State) nextProbe(now Instant, d domain.FailureDomain, taken []domain.NodeID) (domain.NodeID, bool) {
	nodes := s.config.nodesIn(d)
	turn := s.rank() + int(now/(2*FarPingInterval))
	for i := range nodes {
		id := nodes[(turn+i)%len(nodes)]
		if !slices.Contains(taken, id) {
			return id, true
		}
	}
	return "", false
}

// rank is the place of this node among those of its domain.
func (s *State) rank() int {
	return slices.Index(s.config.nodesIn(s.ownDomain), s.config.Self)
}

func compareShards(a, b domain.ShardID) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Index, b.Index))
}
