package membership

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Time limits of the membership.
const (
	// PeerTimeout is how long a node counts as live after its last answer.
	PeerTimeout = time.Second
	// IsolationTimeout is how long a domain counts as connected after the last
	// log read or the last answer from another domain.
	IsolationTimeout = 2 * time.Second
	// ClaimInterval is the least time between two claims of the same shard.
	ClaimInterval = 2 * time.Second
	// ServingGrace is how long a live recorded owner may fail to report the shard
	// before it counts as not serving it. It covers the start of the machine
	// and two lost pings.
	ServingGrace = 2 * time.Second
	// SuccessorDelay is how much later each next node in the order of preference
	// claims a shard that nobody claims.
	SuccessorDelay = 3 * time.Second
	// PauseThreshold is the gap between two steps that shows that this process was
	// paused. The driver steps every 100 ms; during a pause no answer was taken.
	PauseThreshold = 500 * time.Millisecond
	// FarPeerCount is the number of nodes of other domains that a node pings.
	FarPeerCount = 2
	// FarPingInterval separates the pings to nodes of other domains.
	FarPingInterval = time.Second
	// FarPeerTimeout is PeerTimeout for nodes of other domains, which are pinged
	// every second.
	FarPeerTimeout = 3 * time.Second
)

// Node is a node in the settings.
type Node struct {
	ID     domain.NodeID
	Domain domain.FailureDomain
}

// Config describes the topology.
type Config struct {
	Self domain.NodeID
	// Domains lists all failure domains in the fixed order of the settings.
	Domains []domain.FailureDomain
	// Nodes lists all nodes.
	Nodes []Node
}

// domainOf returns the failure domain of a node, empty for an unknown one.
func (c Config) domainOf(id domain.NodeID) domain.FailureDomain {
	for _, n := range c.Nodes {
		if n.ID == id {
			return n.Domain
		}
	}
	return ""
}
