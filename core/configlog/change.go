package configlog

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Stream is the log stream of the configuration.
const Stream platform.Stream = "config"

// Types of records in the stream.
const (
	// ChangeType marks a record whose data is a Change.
	ChangeType = "config-change"
	// SnapshotType marks a record whose data is the domain.Configuration in force.
	// It is appended before the records of the changes that led to that
	// configuration expire. The configuration keeps its version.
	SnapshotType = "config-snapshot"
)

// Change is one change of the configuration by an operator. Exactly one of the
// pointer fields is set.
type Change struct {
	// Base is the version that the change is based on. The change is rejected if
	// another version is in force at its place in the stream.
	Base     domain.Version `json:"base"`
	Operator string         `json:"operator"`
	Reason   string         `json:"reason,omitempty"`

	// Preset replaces all values of the preset in force.
	Preset *domain.Preset `json:"preset,omitempty"`
	// TakeOut names a failure domain to take out: it starts no further tasks.
	TakeOut *domain.FailureDomain `json:"take_out,omitempty"`
	// BringBack names a failure domain to return to service.
	BringBack *domain.FailureDomain `json:"bring_back,omitempty"`
	// Quota sets the quota of one team.
	Quota *domain.Quota `json:"quota,omitempty"`
}

// Decision is the result of applying one record, usually a change.
type Decision struct {
	// Version is the offset of the record.
	Version  domain.Version `json:"version"`
	RecordID string         `json:"record_id"`
	// Change is the change in the record, if its data could be decoded.
	Change   Change `json:"change"`
	Accepted bool   `json:"accepted"`
	// Err is why the record was rejected: KindVersionConflict or KindBadRequest;
	// nil for an accepted change and for every well-formed snapshot.
	Err *domain.Error `json:"error,omitempty"`
	// InForce is the version in force at the record's place in the stream, after
	// the decision.
	InForce domain.Version `json:"in_force"`
}
