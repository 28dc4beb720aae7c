// Package service defines the interfaces between the parts of an entry node in the
// embedded mode, and what the node does for clients and operators, independent of
// the protocol. Package router implements Requests and Operations, and package
// httpapi serves them over HTTP.
package service

import (
	"context"
	"time"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
)

// SubmitRequest is one request of a client. At most one of Key and Task.ID is set;
// with neither, the node assigns a reserved id.
type SubmitRequest struct {
	// Key is the client's Idempotency-Key.
	Key  string
	Task domain.Task
}

// Requests serves clients. Errors are *domain.Error.
type Requests interface {
	// ReserveIDs returns n unused request ids of one shard; n is between 1 and
	// 1,000. The shard is in the node's own failure domain if one there is ready.
	ReserveIDs(ctx context.Context, n int) ([]domain.RequestID, error)
	// Submit runs an urgent request to its final outcome, and accepts a batch
	// task or watch. An error means that this call started nothing, for example
	// because the request is malformed or the node is overloaded.
	Submit(ctx context.Context, req SubmitRequest) (domain.Outcome, error)
	// Lookup returns the last known outcome of a request.
	Lookup(ctx context.Context, id domain.RequestID) (domain.Outcome, error)
	// Cancel stops a request and returns its outcome.
	Cancel(ctx context.Context, id domain.RequestID) (domain.Outcome, error)
	// RequestIDForKey returns the request id for a client's key.
	RequestIDForKey(key string) domain.RequestID
	// Explain returns the recorded reasons of the decisions about a request,
	// oldest first.
	Explain(ctx context.Context, id domain.RequestID) ([]explain.Entry, error)
}

// NodeStatus describes an entry node as this node sees it.
type NodeStatus struct {
	ID     domain.NodeID        `json:"id"`
	Domain domain.FailureDomain `json:"domain"`
	// Address is the HTTP address "ip:port".
	Address string `json:"address"`
	// Live is true if the node answered within the ping timeout.
	Live bool `json:"live"`
	// ConfigVersion is the version that the node reported as in force.
	ConfigVersion domain.Version   `json:"config_version"`
	Shards        []domain.ShardID `json:"shards"`
	// Isolated is true if the node reaches neither the log service nor another
	// failure domain.
	Isolated bool `json:"isolated"`
	LogUp    bool `json:"log_up"`
}

// WorkerStatus describes a worker as its shard's owner sees it.
type WorkerStatus struct {
	ID       domain.WorkerID      `json:"id"`
	Domain   domain.FailureDomain `json:"domain"`
	Rack     string               `json:"rack"`
	Shard    domain.ShardID       `json:"shard"`
	State    string               `json:"state"`
	Capacity domain.Resources     `json:"capacity"`
	Reserved domain.Resources     `json:"reserved"`
	Tasks    int                  `json:"tasks"`
}

// ChangeResult is the result of a configuration change.
type ChangeResult struct {
	Decision configlog.Decision `json:"decision"`
	// Provisional is true if the log service is down. The take-out then only
	// prevents starts until it can be appended.
	Provisional bool `json:"provisional,omitempty"`
	// InForce lists the nodes that have the version in force, Missing those
	// that have not answered.
	InForce []domain.NodeID `json:"in_force"`
	Missing []domain.NodeID `json:"missing,omitempty"`
}

// Operations serves operators. Errors are *domain.Error.
type Operations interface {
	// Configuration returns the configuration in force on this node.
	Configuration() domain.Configuration
	// History returns the decisions about the latest changes, newest first.
	History(limit int) []configlog.Decision
	// Change appends a change, waits until it is decided, and then up to wait
	// until it is in force on every node that is known.
	Change(ctx context.Context, change configlog.Change, wait time.Duration) (ChangeResult, error)
	// Nodes returns all nodes in the settings, ordered by id.
	Nodes(ctx context.Context) ([]NodeStatus, error)
	// Workers returns the workers of the failure domains that are reachable,
	// ordered by id, and the domains that did not answer.
	Workers(ctx context.Context) (workers []WorkerStatus, missing []domain.FailureDomain, err error)
}
