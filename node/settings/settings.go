// Package settings reads and checks the settings file of an entry node: JSON
// with comments.
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

// Node names this process.
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

// NodeAddress is where a node is reached.
type NodeAddress struct {
	ID          domain.NodeID        `json:"id"`
	Domain      domain.FailureDomain `json:"domain"`
	PeerAddress string               `json:"peer_address"`
	HTTPAddress string               `json:"http_address"`
}

// Platform gives the platform's services as "http://ip:port".
type Platform struct {
	LogURL    string `json:"log_url"`
	VMListURL string `json:"vm_list_url"`
}

// Limits bounds what callers can ask for.
type Limits struct {
	// MaxBodyBytes bounds an HTTP request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxDeadline bounds the deadline of an urgent request.
	MaxDeadline Duration `json:"max_deadline"`
	// MaxInFlight bounds the requests that the node holds at once.
	MaxInFlight int `json:"max_in_flight"`
	// StopTimeout bounds a planned stop.
	StopTimeout Duration `json:"stop_timeout"`
}

// Security protects the listeners.
type Security struct {
	// OperatorToken is needed for operator calls; empty for none.
	OperatorToken string `json:"operator_token,omitempty"`
	// PeerToken is shared by all nodes; a peer connection without it is closed.
	PeerToken string `json:"peer_token,omitempty"`
}

// Log chooses the log output of the process.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
}

// SLO is a service-level objective of one kind of task.
type SLO struct {
	Kind domain.Kind `json:"kind"`
	// Target is the share of good events, in (0, 1).
	Target float64 `json:"target"`
	// Latency is the bound on a good urgent answer or a batch start; zero
	// counts the outcome only.
	Latency Duration `json:"latency"`
}

// Embedded describes the stand-ins and the load of the embedded mode.
type Embedded struct {
	WorkersPerDomain int              `json:"workers_per_domain"`
	WorkersPerRack   int              `json:"workers_per_rack"`
	NodesPerDomain   int              `json:"nodes_per_domain"`
	Worker           domain.Resources `json:"worker"`
	// UrgentPerSecond is the mean arrival rate of urgent requests.
	UrgentPerSecond float64 `json:"urgent_per_second"`
	BatchTasks      int     `json:"batch_tasks"`
	Watches         int     `json:"watches"`
	// Duration is how long requests are sent.
	Duration Duration `json:"duration"`
	// Seed makes the load repeatable.
	Seed uint64 `json:"seed"`
}
