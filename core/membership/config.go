package membership

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Timeouts, intervals and counts of the membership protocol.
const (
	// PeerTimeout is how long a node counts as live after its last answer to a
	// ping.
	PeerTimeout = time.Second
	// IsolationTimeout is how long this node counts its domain as connected after
	// it issued the last successful log read or received the last answer from
	// another domain.
	IsolationTimeout = 2 * time.Second
	// ClaimInterval is the minimum time between two claims of the same shard by
	// this node.
	ClaimInterval = 2 * time.Second
	// ServingGrace is how long the owner that the log names may be live without
	// reporting the shard before it counts as not serving it. It covers the start
	// of the shard's state machine and two lost pings.
	ServingGrace = 2 * time.Second
	// SuccessorDelay is how much longer each further node in the order of
	// preference waits before it claims a shard that needs an owner.
	SuccessorDelay = 3 * time.Second
	// PauseThreshold is the time between two calls of State.Step at or above which
	// this process counts as having been paused. The driver calls Step at least
	// every 100 ms. A paused process handles no answers, so missing answers then
	// say nothing about the peers.
	PauseThreshold = 500 * time.Millisecond
	// RemotePeerCount is the maximum number of nodes of other domains that a node
	// pings in each RemotePingInterval.
	RemotePeerCount = 2
	// RemotePingInterval is the time between pings to nodes of other domains.
	RemotePingInterval = time.Second
	// RemotePeerTimeout is PeerTimeout for nodes of other domains. It is longer
	// because they are pinged only once per RemotePingInterval.
	RemotePeerTimeout = 3 * time.Second
)

// Node is a node listed in the settings.
type Node struct {
	ID     domain.NodeID
	Domain domain.FailureDomain
}

// Config describes the topology as one node sees it.
type Config struct {
	// Self is the node that keeps this state.
	Self domain.NodeID
	// Domains lists all failure domains in the fixed order of the settings.
	Domains []domain.FailureDomain
	// Nodes lists all nodes.
	Nodes []Node
}

// domainOf returns the failure domain of a node, or "" for a node that is not in
// the settings.
func (c Config) domainOf(id domain.NodeID) domain.FailureDomain {
	for _, n := range c.Nodes {
		if n.ID == id {
			return n.Domain
		}
	}
	return ""
}
