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
	// IsolationTimeout is how long this node's domain counts as connected after
	// the last successful log read or the last answer from another domain.
	IsolationTimeout = 2 * time.Second
	// ClaimInterval is the minimum time between two claims of the same shard by
	// this node.
	ClaimInterval = 2 * time.Second
	// ServingGrace is how long a live owner according to the log may fail to
	// report the shard before it counts as not serving it. It covers the start
	// of the shard's state machine and two lost pings.
	ServingGrace = 2 * time.Second
	// SuccessorDelay is how much longer each further node in the order of
	// preference waits before it claims a shard that needs an owner.
	SuccessorDelay = 3 * time.Second
	// PauseThreshold is the gap between two steps from which this process counts
	// as paused. The driver steps every 100 ms. Answers that arrive during a
	// pause are not processed, so missing ones say nothing about the peers.
	PauseThreshold = 500 * time.Millisecond
	// RemotePeerCount is the number of nodes of other domains that a node pings in
	// each interval.
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

// domainOf returns the failure domain of a node, or "" for an unknown node.
func (c Config) domainOf(id domain.NodeID) domain.FailureDomain {
	for _, n := range c.Nodes {
		if n.ID == id {
			return n.Domain
		}
	}
	return ""
}
