package storelog

import (
	"context"
	"errors"
	"time"

	"github.com/basilferry/basilferry/core/platform"
)

// OwnerWriter appends the owner's records to one partition. It uses the owner's
// fencing token as the epoch, so that the store refuses the records of an owner that
// has been replaced. It must be used from one goroutine at a time.
type OwnerWriter struct {
	store     platform.Store
	partition platform.Partition
	producer  platform.Producer
}

// ownerProducerName is the producer name that all owners share, so that the epoch of
// a new owner fences the previous owner.
const ownerProducerName = "owner"

// NewOwnerWriter returns a writer for the owner with the given fencing token.
func NewOwnerWriter(store platform.Store, p platform.Partition, token platform.Token) *OwnerWriter {
	return &OwnerWriter{
		store: store, partition: p,
		producer: platform.Producer{Name: ownerProducerName, Epoch: int64(token), Seq: 1},
	}
}

// AppendClaim appends a claim if the partition still ends at offset at. It does not
// set a producer: the store would treat two claims with the same producer, epoch and
// sequence number as a repeat, and confirm both.
func AppendClaim(ctx context.Context, store platform.Store, p platform.Partition, record platform.KeyedRecord, at int64) error {
	_, err := store.Append(ctx, platform.Append{Partition: p, Records: []platform.KeyedRecord{record}, ExpectedEnd: &at})
	return err
}

// appendRetryDelay is the delay before a failed append of the owner is repeated.
const appendRetryDelay = 60 * time.Millisecond

// errUnresolved: an earlier send of a refused append had no answer. If it is stored after
// all, the store would take the next append for its repetition.
var errUnresolved = errors.New("the store refuses an append for good of which an earlier send had no answer; start a new epoch")

// Append stores the records and returns the partition's end. It repeats a failed
// append until the store confirms it or ctx ends. Any other error than that of ctx and
// ErrInvalid makes the writer unusable. ErrFenced and ErrSequence mean that
// a newer owner has written to the partition, and ErrInvalid that the store never
// accepts these records; others can still be appended.
func (w *OwnerWriter) Append(ctx context.Context, records []platform.KeyedRecord) (int64, error) {
	unresolved := false
	for {
		producer := w.producer
		result, err := w.store.Append(ctx, platform.Append{Partition: w.partition, Records: records, Producer: &producer})
		switch {
		case err == nil:
			w.producer.Seq++
			return result.End, nil
		case errors.Is(err, platform.ErrInvalid) && unresolved:
			return 0, errUnresolved
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrSequence), errors.Is(err, platform.ErrInvalid):
			return 0, err
		}
		unresolved = unresolved || !platform.NothingAppended(err)
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(appendRetryDelay):
		}
	}
}
