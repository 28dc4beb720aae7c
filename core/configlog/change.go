package configlog

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Stream is the log stream of the configuration.
const Stream platform.Stream = "config"

// Types of records on the stream.
const (
	// ChangeType marks a record whose data is a Change.
	ChangeType = "config-change"
	// SnapshotType marks a record whose data is a domain.Configuration that was
	// in force and is appended again before its records expire. It keeps its
	// original version.
	SnapshotType = "config-snapshot"
)

// Change is one change that an operator makes. Exactly one of the pointer
// fields is set.
type Change struct {
	// Base is the version that the change was made for. It is rejected if
	// another version is in force at its place in the stream.
	Base     domain.Version `json:"base"`
	Operator string         `json:"operator"`
	Reason   string         `json:"reason,omitempty"`

	// Preset puts a complete preset in force.
	Preset *domain.Preset `json:"preset,omitempty"`
	// TakeOut takes a failure domain out.
	TakeOut *domain.FailureDomain `json:"take_out,omitempty"`
	// BringBack returns a failure domain to service.
	BringBack *domain.FailureDomain `json:"bring_back,omitempty"`
	// Quota sets the quota of one team.
	Quota *domain.Quota `json:"quota,omitempty"`
}

// Decision is what became of one change.
type Decision struct {
	// Version is the offset of the change's record.
	Version  domain.Version `json:"version"`
	RecordID string         `json:"record_id"`
	Change   Change         `json:"change"`
	Accepted bool           `json:"accepted"`
	// Err tells why the change was rejected: KindVersionConflict or
	// KindBadRequest; nil if it was accepted.
	Err *domain.Error `json:"error,omitempty"`
	// InForce is the version in force after the decision.
	InForce domain.Version `json:"in_force"`
}
