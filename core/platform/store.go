package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Topic names one topic of the platform's store.
type Topic string

// Partition is one partition of a topic: a sequence of records with one total
// order.
type Partition struct {
	Topic Topic
	Part  int
}

// KeyedRecord is a record of a keyed topic. The store keeps the newest record
// of each key forever and older records for a limited time.
type KeyedRecord struct {
	// Offset is the position in the partition, counted from 0 without gaps, or
	// UnknownOffset.
	Offset int64
	Key    string
	// Value is empty in a record that deletes the key.
	Value []byte
}

// recordOverheadBytes are the lengths of a record and of its key in an append.
const recordOverheadBytes = 5

// EncodedSize returns the size of a record in an append, in bytes.
func EncodedSize(r KeyedRecord) int { return recordOverheadBytes + len(r.Key) + len(r.Value) }

// StoreLimits are the largest sizes that the store accepts, in bytes.
type StoreLimits struct {
	// Record is that of a record without its length, Call that of all records of an
	// append. 0 means no limit.
	Record, Call int
}

// UnknownOffset is the offset of a record that was appended and has not been read.
const UnknownOffset = -1

// Producer identifies a sequence of appends to one partition. It lets the store
// recognize repeated appends and refuse the appends of a writer that has been
// replaced.
type Producer struct {
	Name string
	// Epoch fences writers: the store returns ErrFenced for an append whose epoch
	// is lower than the highest that it has seen.
	Epoch int64
	// Seq is one more than that of the producer's last append in the epoch.
	Seq int64
}

// Append is one call that adds records to a partition, either all or none of
// them.
type Append struct {
	Partition Partition
	Records   []KeyedRecord
	// ExpectedEnd makes the append conditional: it is refused with ErrConflict
	// unless the partition ends at this offset. Nil for an unconditional append.
	ExpectedEnd *int64
	// Producer is nil for an append whose repetition need not be recognized.
	Producer *Producer
}

// AppendResult is the result of an append.
type AppendResult struct {
	// Offset is the offset of the first record.
	Offset int64
	// End is the offset that the next record of the partition will get.
	End int64
}

// ReadResult is the result of a read.
type ReadResult struct {
	Records []KeyedRecord
	// End is the offset that the next record of the partition will get.
	End int64
	// First is the lowest offset that is still retained.
	First    int64
	Transfer Transfer
}

// Transfer describes how a response arrived.
type Transfer struct {
	// Duration is the time from the response's first byte to the last one.
	Duration time.Duration
	// Bytes is the size of the response's body.
	Bytes int
}

// NewestPage is one page of the newest records of the keys of a partition.
type NewestPage struct {
	Records []KeyedRecord
	// More is true if another page follows after the key of the last record.
	More bool
	// End is the end of the partition when the page was read.
	End      int64
	Transfer Transfer
}

// Store is the platform's store. It is linearizable and never loses
// acknowledged records.
//
// Errors: ErrConflict, ErrFenced, ErrSequence, ErrRefused and ErrInvalid mean that
// nothing was appended. After any other error of Append, the records may have been
// appended or may still be appended; repeating the Append with the same
// Producer shows whether they were and does not append them twice.
type Store interface {
	Append(ctx context.Context, a Append) (AppendResult, error)
	// Read returns records starting at offset from. If there are none, it waits
	// up to wait for one. It returns ErrTrimmed if the offset is no longer
	// retained.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (ReadResult, error)
	// ReadNewest returns the newest record of each key, page by page. after is
	// the last key of the previous page; empty for the first page.
	ReadNewest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// Errors of the store.
var (
	// ErrFenced: the store has seen a higher epoch of the producer.
	ErrFenced = errors.New("the store has seen a higher epoch of this producer; stop writing and claim again")
	// ErrConflict: the partition does not end at the expected offset.
	ErrConflict = errors.New("the partition has grown; read it and decide again")
	// ErrSequence: the producer's sequence number is not the next one.
	ErrSequence = errors.New("the sequence number is not the next one; start a new epoch")
	// ErrRefused: the store is busy or down and has appended nothing.
	ErrRefused = errors.New("the store refused the call and did nothing; try again later")
	// ErrInvalid: the store never accepts these records, for example because one of them
	// is too large.
	ErrInvalid = errors.New("the store refuses these records for good; send smaller ones")
	// ErrTrimmed: the requested records are no longer retained.
	ErrTrimmed = errors.New("the records are no longer kept; read the newest record of each key")
)

// CallStage is the stage at which a call failed.
type CallStage string

// Stages of a call.
const (
	// StageConnect: the call had no connection yet, or none that is known to lead to the
	// incarnation that it is meant for. It was not sent.
	StageConnect CallStage = "connect"
	// StageResponse: no byte of the response had arrived.
	StageResponse CallStage = "response"
	// StageBody: a part of the response had arrived.
	StageBody CallStage = "body"
)

// CallError is the error of a call without a complete response.
type CallError struct {
	Stage CallStage
	// Waited is the time since the start of the call.
	Waited time.Duration
	// Reused is true if earlier calls had used the connection, and Idle is how
	// long it had been unused.
	Reused bool
	Idle   time.Duration
	// Age is how long the connection had been open; 0 if that is not known.
	Age time.Duration
	// Incarnation is the only incarnation of a worker that can have received the call; 0 if
	// that is not known.
	Incarnation int64
	// Received is the number of bytes of the body that arrived.
	Received int
	Err      error
}

func (e *CallError) Error() string {
	connection := "new connection"
	if e.Reused {
		connection = fmt.Sprintf("connection reused after %d ms", e.Idle.Milliseconds())
	}
	if e.Stage == StageConnect {
		connection = "no connection"
	}
	return fmt.Sprintf("no complete response after %d ms (stage %s, %s, %d bytes received): %v",
		e.Waited.Milliseconds(), e.Stage, connection, e.Received, e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// NothingAppended reports whether an error of Append means that this call
// certainly did not and will not append the records.
func NothingAppended(err error) bool {
	return errors.Is(err, ErrFenced) || errors.Is(err, ErrConflict) ||
		errors.Is(err, ErrSequence) || errors.Is(err, ErrRefused) || errors.Is(err, ErrInvalid)
}
