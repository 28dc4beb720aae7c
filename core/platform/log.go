package platform

import (
	"context"
	"time"
)

// Stream names one stream of the log service, for example "config".
type Stream string

// Offset is the position of a record in its stream. The first record has offset
// 1; offsets increase and are never reused.
type Offset uint64

// Record is one record of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	// ID is chosen by the writer. A repeated append has the same ID, so that
	// readers can drop the duplicate.
	ID string `json:"id"`
	// Type names the format of Data.
	Type string `json:"type"`
	// Data is JSON.
	Data []byte `json:"data"`
	// AppendedAt is the log service's wall clock time of the append.
	AppendedAt time.Time `json:"appended_at"`
}

// ReadReply holds records in offset order.
type ReadReply struct {
	Records []Record `json:"records"`
	// First is the lowest offset that is still retained. Next is the offset that
	// the next append will get.
	First Offset `json:"first"`
	Next  Offset `json:"next"`
	// Retention is how long records are retained.
	Retention time.Duration `json:"retention_ns"`
}

// Log is the contract of the log service. Each stream has one total order. A
// read that is issued after an append was acknowledged sees that record.
//
// After an error from Append, the record may or may not have been appended.
type Log interface {
	// Append appends one record. It ignores Offset and AppendedAt of rec.
	Append(ctx context.Context, stream Stream, rec Record) (Offset, error)
	// Read returns at most limit records, starting at offset from. If there are
	// none, it waits up to wait for one before it returns an empty reply.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (ReadReply, error)
}
