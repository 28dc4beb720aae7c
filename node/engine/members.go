package engine

import (
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/service"
)

// Members makes a membership.State safe for concurrent use by the ping loop, the
// follower and the claimer. It implements service.Peers.
type Members struct {
	addresses map[domain.NodeID]string
	start     time.Time
	// wake wakes the claimer when there are claims to append.
	wake chan struct{}

	mu    sync.Mutex
	state *membership.State
	// claims are requested but not yet taken by the claimer.
	claims []membership.Claim
}

var _ service.Peers = (*Members)(nil)

// NewMembers returns the membership of a node that starts now. addresses holds the
// HTTP address "ip:port" of each node; start is the zero point of the node's
// Instants.
func NewMembers(c membership.Config, addresses map[domain.NodeID]string, start time.Time) *Members {
	return &Members{
		addresses: addresses,
		start:     start,
		wake:      make(chan struct{}, 1),
		state:     membership.New(c, time.Since(start)),
	}
}

func (m *Members) step(ev membership.Event) {
	m.mu.Lock()
	claims := m.state.Step(time.Since(m.start), ev)
	m.claims = append(m.claims, claims...)
	m.mu.Unlock()
	if len(claims) == 0 {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// takeClaims returns the claims to append and removes them from m.
func (m *Members) takeClaims() []membership.Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	claims := m.claims
	m.claims = nil
	return claims
}

// Answered records a peer's reply to a ping.
func (m *Members) Answered(reply peer.PingReply) {
	ev := membership.Answered{From: reply.From, ConfigVersion: reply.ConfigVersion, Stopping: reply.Stopping}
	for _, o := range reply.Owned {
		ev.OwnedShards = append(ev.OwnedShards, membership.ShardReport(o))
	}
	m.step(ev)
}

// OnLogRead records the result of a log read. It is meant for Config.OnLogRead.
func (m *Members) OnLogRead(read LogRead) {
	m.step(membership.LogRead{
		OK: read.OK, SentAt: read.SentAt, AtEnd: read.AtEnd, Owners: read.Owners, OwnedShards: shardReports(read.Owned),
	})
}

// updateOwned records which shards this node owns.
func (m *Members) updateOwned(owned []service.OwnedShard, version domain.Version, stopping bool) {
	m.step(membership.SelfReport{ConfigVersion: version, Stopping: stopping, OwnedShards: shardReports(owned)})
}

func shardReports(owned []service.OwnedShard) []membership.ShardReport {
	var reports []membership.ShardReport
	for _, o := range owned {
		reports = append(reports, membership.ShardReport(o))
	}
	return reports
}

// withState calls f with the state and the current time while it holds the lock.
func withState[T any](m *Members, f func(s *membership.State, now membership.Instant) T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return f(m.state, time.Since(m.start))
}

// RemotePeers returns the nodes of other failure domains that this node pings now.
func (m *Members) RemotePeers() []domain.NodeID {
	return withState(m, (*membership.State).RemotePeers)
}

// LocalPeers returns the other nodes of this node's failure domain.
func (m *Members) LocalPeers() []domain.NodeID {
	return withState(m, func(s *membership.State, _ membership.Instant) []domain.NodeID { return s.LocalPeers() })
}

// Owner implements service.Peers.
func (m *Members) Owner(id domain.ShardID) (owner domain.NodeID, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Owner(time.Since(m.start), id)
}

// LiveInDomain implements service.Peers.
func (m *Members) LiveInDomain() []domain.NodeID {
	return withState(m, (*membership.State).LiveInDomain)
}

// ReachableShards implements service.Peers.
func (m *Members) ReachableShards() []domain.ShardID {
	return withState(m, (*membership.State).ReachableShards)
}

// Isolated implements service.Peers.
func (m *Members) Isolated() bool { return withState(m, (*membership.State).Isolated) }

// LogUp implements service.Peers.
func (m *Members) LogUp() bool { return withState(m, (*membership.State).LogUp) }

// Status implements service.Peers. Isolated and LogUp are set only for this node,
// because ping replies do not contain them.
func (m *Members) Status() []service.NodeStatus {
	views := withState(m, (*membership.State).Views)
	isolated, logUp := m.Isolated(), m.LogUp()
	statuses := make([]service.NodeStatus, 0, len(views))
	for _, v := range views {
		s := service.NodeStatus{
			ID: v.Node.ID, Domain: v.Node.Domain, Address: m.addresses[v.Node.ID],
			Live: v.Live, ConfigVersion: v.Report.ConfigVersion,
		}
		if v.Self {
			s.Isolated, s.LogUp = isolated, logUp
		}
		for _, h := range v.Report.OwnedShards {
			s.Shards = append(s.Shards, h.Shard)
		}
		statuses = append(statuses, s)
	}
	return statuses
}
