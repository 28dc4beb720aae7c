package ownership

import (
	"fmt"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilferry/basilferry/core/platform"
)

// RecordKind is the kind of an ownership record.
type RecordKind uint8

// Kinds of ownership records.
const (
	// KindClaim makes the writer the owner. Its fencing token is the record's
	// offset plus one, so that no token is zero.
	KindClaim RecordKind = iota + 1
	// KindRenewal renews the claim of the owner.
	KindRenewal
	// KindRelease ends the ownership, so that another node can claim it
	// immediately.
	KindRelease
)

// Record is one ownership record.
type Record struct {
	_    struct{} `cbor:",toarray"`
	Kind RecordKind
	// Node is the writer's name, and Incarnation identifies its process: a
	// restarted node is not the owner that it was before.
	Node        string
	Incarnation uint64
	// Token is the fencing token of the claim that a renewal or release refers
	// to; 0 in a claim.
	Token platform.Token
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode ownership record: %w", err)
	}
	return data, nil
}

// Decode decodes the stored form of a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode ownership record: %w", err)
	}
	return r, nil
}

// TokenAt returns the fencing token of a claim at an offset.
func TokenAt(offset int64) platform.Token { return platform.Token(offset + 1) }

// EncodeShare returns the stored form of an owner's CPU share.
func EncodeShare(share float64) []byte { return strconv.AppendFloat(nil, share, 'g', -1, 64) }

// DecodeShare decodes the stored form of an owner's CPU share.
func DecodeShare(data []byte) (float64, error) {
	share, err := strconv.ParseFloat(string(data), 64)
	if err != nil {
		return 0, fmt.Errorf("decode CPU share: %w", err)
	}
	if inRange := share >= 0 && share <= maxShare; !inRange { // Also for NaN.
		return 0, fmt.Errorf("decode CPU share: %g is not between 0 and %d", share, maxShare)
	}
	return share, nil
}

// maxShare is the largest CPU share that is accepted, in cores.
const maxShare = 1024
