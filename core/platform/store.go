package platform

import (
	"context"
	"errors"
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

// KeyedRecord is a record of a keyed topic. The store keeps the newest record of
// each key for good and older ones for a limited time.
type KeyedRecord struct {
	// Offset is the position in the partition, counted from 0 without gaps.
	Offset int64
	Key    string
	// Value is empty for a record that drops the key.
	Value []byte
}

// Producer identifies a sequence of appends to one partition, so that a repeat
// of an append is recognised and appends of a replaced writer are refused.
type Producer struct {
	Name string
	// Epoch fences: an append with an epoch lower than one already seen is
	// refused with ErrFenced.
	Epoch int64
	// Seq is one more than that of the producer's last append of the epoch.
	Seq int64
}

// Append is one call that adds records to a partition, all or none of them.
type Append struct {
	Partition Partition
	Records   []KeyedRecord
	// ExpectedEnd makes the append conditional: it is refused with ErrConflict unless
	// the partition ends at this offset. Nil for an unconditional append.
	ExpectedEnd *int64
	// Producer is nil for an append that need not be recognised.
	Producer *Producer
}

// AppendResult is the answer to an Append.
type AppendResult struct {
	// Offset is the offset of the first record.
	Offset int64
	// End is the offset that the next record of the partition will get.
	End int64
}

// ReadResult is the answer to a read.
type ReadResult struct {
	Records []KeyedRecord
	// End is the offset that the next record of the partition will get.
	End int64
	// First is the lowest offset that is still kept.
	First int64
}

// NewestPage is one page of the newest records of a partition's keys.
type NewestPage struct {
	Records []KeyedRecord
	// More tells that another page follows after the last record's key.
	More bool
	// End is the partition's end at the time of the page.
	End int64
}

// Store is the platform's store. Its answers are linearizable and it loses
// nothing that it has acknowledged.
//
// Errors: ErrConflict, ErrFenced, ErrSequence and ErrRefused mean that nothing
// was appended. Any other error of Append leaves open whether the records were
// or will be appended; the same Append with the same producer settles it.
type Store interface {
	Append(ctx context.Context, a Append) (AppendResult, error)
	// Read returns records from the offset on. If there is none it waits up to
	// wait for one. It returns ErrTrimmed if the offset is no longer kept.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (ReadResult, error)
	// ReadNewest returns the newest record of each key, page by page; after is the
	// last key of the page before and empty at first.
	ReadNewest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// Errors of the store.
var (
	// ErrFenced: a higher epoch of the producer has been seen.
	ErrFenced = errors.New("the store has seen a higher epoch of this producer; stop writing and claim again")
	// ErrConflict: the partition does not end at the offset of the condition.
	ErrConflict = errors.New("the partition has grown; read it and decide again")
	// ErrSequence: the producer's sequence number is not the next one.
	ErrSequence = errors.New("the sequence number is not the next one; start a new epoch")
	// ErrRefused: the store is busy or down and has done nothing.
	ErrRefused = errors.New("the store refused the call and did nothing; try again later")
	// ErrTrimmed: the records are no longer kept.
	ErrTrimmed = errors.New("the records are no longer kept; read the newest record of each key")
)

// NothingAppended reports whether an error of Append surely means that the records
// were not and will not be appended by that call.
func NothingAppended(err error) bool {
	return errors.Is(err, ErrFenced) || errors.Is(err, ErrConflict) ||
		errors.Is(err, ErrSequence) || errors.Is(err, ErrRefused)
}
