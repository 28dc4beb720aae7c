// Package settings reads and validates the settings file of an entry node,
// which is JSON with comments.
package settings

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Duration is a time.Duration that is written as text, for example "250ms".
type Duration time.Duration

// Settings are the settings of one entry node.
type Settings struct {
	Node     Node      `json:"node"`
	Cluster  Cluster   `json:"cluster"`
	Platform Platform  `json:"platform"`
	Limits   Limits    `json:"limits"`
	Security Security  `json:"security"`
	Log      Log       `json:"log"`
	SLOs     []SLO     `json:"objectives"`
	Embedded *Embedded `json:"embedded,omitempty"`
}

// Node identifies this entry node.
type Node struct {
	ID     domain.NodeID        `json:"id"`
	Domain domain.FailureDomain `json:"domain"`
	// HTTPAddress and PeerAddress are "ip:port".
	HTTPAddress string `json:"http_address"`
	PeerAddress string `json:"peer_address"`
}

// Cluster describes all entry nodes. It is the same on every node.
type Cluster struct {
	// Domains lists all failure domains in a fixed order.
	Domains         []domain.FailureDomain `json:"domains"`
	ShardsPerDomain int                    `json:"shards_per_domain"`
	Nodes           []NodeAddress          `json:"nodes"`
}

// NodeAddress is an entry node with its addresses.
type NodeAddress struct {
	ID          domain.NodeID        `json:"id"`
	Domain      domain.FailureDomain `json:"domain"`
	PeerAddress string               `json:"peer_address"`
	HTTPAddress string               `json:"http_address"`
}

// Platform has the URLs of the platform's services, in the form
// "http://ip:port".
type Platform struct {
	LogURL    string `json:"log_url"`
	VMListURL string `json:"vm_list_url"`
}

// Limits bounds the requests of clients and the duration of a planned stop.
type Limits struct {
	// MaxBodyBytes bounds an HTTP request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxDeadline bounds the deadline of an urgent request.
	MaxDeadline Duration `json:"max_deadline"`
	// MaxInFlight bounds the requests that the node handles concurrently.
	MaxInFlight int `json:"max_in_flight"`
	// StopTimeout bounds the duration of a planned stop.
	StopTimeout Duration `json:"stop_timeout"`
}

// Security has the tokens that protect the listeners.
type Security struct {
	// OperatorToken is required for operator calls; empty if none is required.
	OperatorToken string `json:"operator_token,omitempty"`
	// PeerToken is shared by all nodes; a peer connection without it is closed.
	PeerToken string `json:"peer_token,omitempty"`
}

// Log configures the log output of the process.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
}

// SLO is the service-level objective of one kind of task.
type SLO struct {
	Kind domain.Kind `json:"kind"`
	// Target is the share of good events, in (0, 1).
	Target float64 `json:"target"`
	// Latency is the time within which an urgent request must be answered, or a
	// batch task started, to count as good. If it is zero, only the outcome
	// counts.
	Latency Duration `json:"latency"`
}

// Embedded configures the embedded mode, in which the platform and its load are
// simulated in the process.
type Embedded struct {
	WorkersPerDomain int              `json:"workers_per_domain"`
	WorkersPerRack   int              `json:"workers_per_rack"`
	NodesPerDomain   int              `json:"nodes_per_domain"`
	Worker           domain.Resources `json:"worker"`
	// UrgentPerSecond is the mean arrival rate of urgent requests.
	UrgentPerSecond float64 `json:"urgent_per_second"`
	BatchTasks      int     `json:"batch_tasks"`
	Watches         int     `json:"watches"`
	// Duration is how long the load is generated.
	Duration Duration `json:"duration"`
	// Seed is the seed of the random load; the same seed gives the same load.
	Seed uint64 `json:"seed"`
}
