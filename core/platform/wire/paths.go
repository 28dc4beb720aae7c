package wire

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Paths of the worker contract. Each call is a POST with a JSON body.
const (
	PathAttach   = "/v1/attach"
	PathRenew    = "/v1/renew"
	PathStart    = "/v1/start"
	PathRun      = "/v1/run"
	PathStop     = "/v1/stop"
	PathThrottle = "/v1/throttle"
	PathLookup   = "/v1/lookup"
)

// Paths of the log service. Each call is a POST with a JSON body.
const (
	PathAppend = "/v1/append"
	PathRead   = "/v1/read"
)

// PathListVMs is the path of VMList.List, a POST with a JSON body.
const PathListVMs = "/v1/vms/list"

// PathControl is the path of the fault controls of a stand-in.
const PathControl = "/control"

// Size limits in bytes.
const (
	// MaxRequestBytes is the maximum size of a request body: a payload of
	// domain.MaxPayloadBytes in base64 with its envelope.
	MaxRequestBytes = 2 << 20
	// MaxReplyBytes is the maximum size of a reply body. Attach replies hold all
	// records of a worker's last ResultRetention, and log reads hold many
	// records.
	MaxReplyBytes = 64 << 20
)

// Empty is the body of a reply without content.
type Empty struct{}

// LookupRequest is the body of Worker.Lookup.
type LookupRequest struct {
	ID domain.RequestID `json:"id"`
}

// AppendRequest is the body of Log.Append.
type AppendRequest struct {
	Stream platform.Stream `json:"stream"`
	Record platform.Record `json:"record"`
}

// AppendReply answers AppendRequest.
type AppendReply struct {
	Offset platform.Offset `json:"offset"`
}

// ReadRequest is the body of Log.Read.
type ReadRequest struct {
	Stream platform.Stream `json:"stream"`
	From   platform.Offset `json:"from"`
	Limit  int             `json:"limit"`
	// WaitNanos is the maximum time to wait for a record, in nanoseconds.
	WaitNanos int64 `json:"wait_ns"`
}

// ListRequest is the body of VMList.List.
type ListRequest struct {
	Domain domain.FailureDomain `json:"domain"`
}

// ListReply answers ListRequest.
type ListReply struct {
	VMs []platform.VM `json:"vms"`
}
