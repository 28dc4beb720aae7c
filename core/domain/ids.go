package domain

import (
	"fmt"
	"strconv"
	"strings"
)

// NodeID names an entry node, unique in the system.
type NodeID string

// WorkerID names a worker VM, unique in the system.
type WorkerID string

// FailureDomain names a failure domain, such as "larissa". It contains no '-'
// and no '/', because request ids and stream names are built from it.
type FailureDomain string

// Team names the team that submits and pays for a task.
type Team string

// Class names a group of tasks with similar resource use, such as
// "credit-check". Resource use and interference are estimated for each class.
type Class string

// Epoch orders the owners of one shard. It is the log offset of the record with
// which the owner claimed the shard; zero means "no owner".
type Epoch uint64

// Version orders configurations. It is the log offset of the configuration's
// record; zero means "no configuration read yet".
type Version uint64

// ShardID names one shard of a failure domain. The requests of a failure domain
// are divided among its shards, each of which has at most one owner at a time.
type ShardID struct {
	Domain FailureDomain `json:"domain"`
	Index  int           `json:"index"`
}

// String returns "domain/index".
func (s ShardID) String() string {
	return string(s.Domain) + "/" + strconv.Itoa(s.Index)
}

// RequestID identifies one request and the task that serves it. It names the
// shard that schedules the request, so that a retry through any node reaches
// the same owner.
//
// An id reserved by an owner has the epoch of that owner and a sequence number.
// An id derived from a client's idempotency key has epoch zero and the key's
// hash as its sequence number.
type RequestID struct {
	Shard ShardID
	Epoch Epoch
	Seq   uint64
}

// DerivedFromKey reports whether the id was derived from a client's idempotency
// key.
func (id RequestID) DerivedFromKey() bool { return id.Epoch == 0 }

// IsZero reports whether the id is unset.
func (id RequestID) IsZero() bool { return id == RequestID{} }

// String returns "domain-shard-epoch-sequence" with hexadecimal numbers for
// epoch and sequence.
func (id RequestID) String() string {
	return fmt.Sprintf("%s-%d-%x-%x", id.Shard.Domain, id.Shard.Index, uint64(id.Epoch), id.Seq)
}

// MarshalText implements encoding.TextMarshaler.
func (id RequestID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an *Error of
// kind KindBadRequest for a malformed id.
func (id *RequestID) UnmarshalText(text []byte) error {
	parsed, err := ParseRequestID(string(text))
	if err != nil {
		return err
	}
	*id = parsed
	return nil
}

// ParseRequestID parses the form written by RequestID.String. It returns an
// *Error of kind KindBadRequest for any other text.
func ParseRequestID(text string) (RequestID, error) {
	parts := strings.Split(text, "-")
	if len(parts) != 4 || parts[0] == "" {
		return RequestID{}, badRequestID(text)
	}
	index, err := strconv.Atoi(parts[1])
	if err != nil || index < 0 {
		return RequestID{}, badRequestID(text)
	}
	epoch, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return RequestID{}, badRequestID(text)
	}
	seq, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil {
		return RequestID{}, badRequestID(text)
	}
	id := RequestID{
		Shard: ShardID{Domain: FailureDomain(parts[0]), Index: index},
		Epoch: Epoch(epoch),
		Seq:   seq,
	}
	// Each id must have exactly one text form, because the text is used as a
	// key.
	if id.String() != text {
		return RequestID{}, badRequestID(text)
	}
	return id, nil
}

func badRequestID(text string) *Error {
	return &Error{
		Kind:    KindBadRequest,
		Message: fmt.Sprintf("request id %q is malformed", text),
		Remedy:  "use an id as returned by POST /v1/ids or by an earlier answer",
	}
}
