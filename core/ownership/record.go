package ownership

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilferry/basilferry/core/platform"
)

// RecordKind is the kind of an ownership record.
type RecordKind uint8

// Kinds of ownership records.
const (
	// KindClaim makes the writer the owner; its token is the record's offset
	// plus one, so that no token is zero.
	KindClaim RecordKind = iota + 1
	// KindRenewal shows that the owner is alive.
	KindRenewal
	// KindRelease ends the ownership, so that another node claims at once.
	KindRelease
)

// Record is one ownership record.
type Record struct {
	_    struct{} `cbor:",toarray"`
	Kind RecordKind
	// Node is the writer's name, and Boot the life of its process: a process
	// that started again is not the owner that it was before.
	Node        string
	Incarnation uint64
	// Token is that of a renewal or release; 0 in a claim.
	Token platform.Token
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode ownership record: %w", err)
	}
	return data, nil
}

// Decode reads the stored form.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode ownership record: %w", err)
	}
	return r, nil
}

// TokenAt returns the fencing token of a claim at an offset.
func TokenAt(offset int64) platform.Token { return platform.Token(offset + 1) }
