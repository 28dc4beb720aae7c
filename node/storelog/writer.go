package storelog

import (
	"context"
	"errors"
	"time"

	"github.com/basilferry/basilferry/core/platform"
)

// OwnerWriter appends the owner's records to one partition. Its epoch is the
// owner's fencing token, so that the store refuses the records of an owner
// that was replaced. It is used from one goroutine at a time.
type OwnerWriter struct {
	store     platform.Store
	partition platform.Partition
	producer  platform.Producer
}

// ownerProducerName is the producer name that all owners share, so that the epoch
// of a new one fences the former one.
const ownerProducerName = "owner"

// NewOwnerWriter returns a writer for the token.
func NewOwnerWriter(store platform.Store, p platform.Partition, token platform.Token) *OwnerWriter {
	return &OwnerWriter{
		store: store, partition: p,
		producer: platform.Producer{Name: ownerProducerName, Epoch: int64(token), Seq: 1},
	}
}

// AppendClaim appends a claim if the partition still ends at the offset at. It names
// no producer: the store takes two claims with one producer, epoch and sequence
// number for one, and would confirm both.
func AppendClaim(ctx context.Context, store platform.Store, p platform.Partition, record platform.KeyedRecord, at int64) error {
	_, err := store.Append(ctx, platform.Append{Partition: p, Records: []platform.KeyedRecord{record}, ExpectedEnd: &at})
	return err
}

// appendRetryDelay is the pause before an append of the owner is repeated.
const appendRetryDelay = 60 * time.Millisecond

// Append stores the records. It repeats an append without an answer until the
// store has recognised it or ctx ends, and returns the partition's end.
// ErrFenced and ErrSequence mean that another owner has taken over.
func (w *OwnerWriter) Append(ctx context.Context, records []platform.KeyedRecord) (int64, error) {
	for {
		producer := w.producer
		done, err := w.store.Append(ctx, platform.Append{Partition: w.partition, Records: records, Producer: &producer})
		switch {
		case err == nil:
			w.producer.Seq++
			return done.End, nil
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrSequence):
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(appendRetryDelay):
		}
	}
}
