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

// LocalPeers returns the other nodes of this node's domain, ordered by id.
func (s *State) LocalPeers() []domain.NodeID {
	return slices.DeleteFunc(s.config.nodesIn(s.ownDomain), func(id domain.NodeID) bool { return id == s.config.Self })
}

// RemotePeers returns the nodes of other domains that this node pings now. It
// chooses one node for each of the RemotePeerCount domains that follow its own
// domain in the order of the settings (wrapping around), so that every domain is
// pinged from others. Nodes that own a ready shard are preferred, because they
// are the targets of delegated tasks (tasks that one domain passes to another).
//
// While no live node of a domain owns a ready shard, the node alternates between
// probing the next node of that domain, live or not, and pinging a live node of
// that domain or, if it has none, of any other domain. The first domain is probed
// in even ping intervals and the second one in odd intervals, so that one of the
// two pings always goes to a live node if there is one.
func (s *State) RemotePeers(now Instant) []domain.NodeID {
	var peers []domain.NodeID
	others := s.otherDomains()
	for slot := 0; slot < RemotePeerCount && len(others) > 0; slot++ {
		if id, ok := s.chooseRemotePeer(now, slot, others, peers); ok {
			peers = append(peers, id)
		}
	}
	return peers
}

// chooseRemotePeer returns the node to ping for one of the RemotePeerCount slots;
// slot is the position of its domain in others. Nodes in chosen are left out.
func (s *State) chooseRemotePeer(now Instant, slot int, others []domain.FailureDomain, chosen []domain.NodeID) (domain.NodeID, bool) {
	d := others[slot%len(others)]
	live := s.liveNodesIn(now, d, chosen)
	if i := slices.IndexFunc(live, s.ownsReadyShard); i >= 0 {
		return live[i], true
	}
	probe := (int(now/RemotePingInterval)+slot)%2 == 0
	if probe {
		return s.nextProbe(now, d, chosen)
	}
	if len(live) > 0 {
		return live[0], true
	}
	for _, d := range others {
		if live := s.liveNodesIn(now, d, chosen); len(live) > 0 {
			return live[0], true
		}
	}
	return s.nextProbe(now, d, chosen)
}

// liveNodesIn returns the live nodes of a domain that are not yet chosen. The
// nodes of this node's domain each get another order, so that they do not all
// ping the same node.
func (s *State) liveNodesIn(now Instant, d domain.FailureDomain, chosen []domain.NodeID) []domain.NodeID {
	nodes := s.config.nodesIn(d)
	var live []domain.NodeID
	for i := range nodes {
		id := nodes[(s.rank()+i)%len(nodes)]
		if s.Live(now, id) && !slices.Contains(chosen, id) {
			live = append(live, id)
		}
	}
	return live
}

func (s *State) ownsReadyShard(id domain.NodeID) bool {
	return slices.ContainsFunc(s.peers[id].reply.OwnedShards, func(r ShardReport) bool { return r.Ready })
}

// otherDomains returns the other domains that have nodes, starting after this
// node's domain and wrapping around.
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

// nextProbe returns a node of the domain that is not yet chosen, live or not. It
// goes through the nodes round robin, one in two ping intervals, because a domain
// is probed in every second interval.
func (s *State) nextProbe(now Instant, d domain.FailureDomain, chosen []domain.NodeID) (domain.NodeID, bool) {
	nodes := s.config.nodesIn(d)
	offset := s.rank() + int(now/(2*RemotePingInterval))
	for i := range nodes {
		id := nodes[(offset+i)%len(nodes)]
		if !slices.Contains(chosen, id) {
			return id, true
		}
	}
	return "", false
}

// rank is the position of this node among the nodes of its domain.
func (s *State) rank() int {
	return slices.Index(s.config.nodesIn(s.ownDomain), s.config.Self)
}

func compareShards(a, b domain.ShardID) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Index, b.Index))
}
