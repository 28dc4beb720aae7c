package storelog

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/guard"
	"github.com/basilferry/basilferry/node/steady"
)

const (
	// maxGroupRecords is the maximum number of records in one append.
	maxGroupRecords = 64
	// commitRetryDelay is the delay before a failed append is repeated.
	commitRetryDelay = 40 * time.Millisecond
	// refusedTimeout is how long a refused append is repeated before Commit reports
	// that nothing was stored.
	refusedTimeout = 300 * time.Millisecond
	// unresolvedTimeout is how long an append without a response is repeated before
	// Commit reports that the outcome is unknown. It leaves a client with a timeout
	// of 3 s enough time to receive the response.
	unresolvedTimeout = 2200 * time.Millisecond
	// queueLength is the maximum number of records that wait for a commit.
	queueLength = 4096
	// maxQueueWait is how long a record may wait before it is part of an append. A record
	// waits this long only while an earlier append is not confirmed.
	maxQueueWait = 250 * time.Millisecond
)

// Committer appends the records of client requests in groups. It tries to resolve
// an append without a response before it reports the outcome.
type Committer struct {
	store     platform.Store
	partition platform.Partition
	clock     *steady.Clock
	logger    *slog.Logger
	producer  platform.Producer
	queue     chan *commit
	guard     *guard.Guard
	// maxCallBytes is the largest size of an append; 0 for no limit.
	maxCallBytes int
	// next is a taken record that did not fit into the last group; nil if there is none.
	next *commit
}

type commit struct {
	record platform.KeyedRecord
	done   chan error
	// taken is set once, either by the committer, which then appends the record, or by
	// the caller, which gives up.
	taken atomic.Bool
}

// withdraw reports whether the record was withdrawn before it became part of an append.
// It is then certainly not stored.
func (c *commit) withdraw() bool { return c.take() }

// take reports whether the record has not been taken before.
func (c *commit) take() bool { return c.taken.CompareAndSwap(false, true) }

// NewCommitter returns a committer. Run must be called to start it. The name is the
// producer's name in the store. It must be different each time the process starts,
// because the epoch and the sequence number start from 1.
func NewCommitter(store platform.Store, p platform.Partition, name string, clock *steady.Clock, logger *slog.Logger, g *guard.Guard) *Committer {
	return &Committer{
		store: store, partition: p, clock: clock, logger: logger, guard: g,
		producer: platform.Producer{Name: name, Epoch: 1, Seq: 1},
		queue:    make(chan *commit, queueLength),
	}
}

// LimitCalls sets the largest size of an append in bytes; 0 for no limit. A single larger
// record is appended all the same. It must be called before Run.
func (c *Committer) LimitCalls(bytes int) { c.maxCallBytes = bytes }

// Commit stores one record. It returns an *Error of kind KindNotRun if the record
// is certainly not stored, and of kind KindOutcomeUnknown if it may be stored.
func (c *Committer) Commit(ctx context.Context, r platform.KeyedRecord) error {
	item := &commit{record: r, done: make(chan error, 1)}
	select {
	case c.queue <- item:
	default:
		return notStored("too many requests are waiting for the store")
	}
	queued := time.NewTimer(maxQueueWait)
	defer queued.Stop()
	for {
		select {
		case err := <-item.done:
			return err
		case <-queued.C:
			if item.withdraw() {
				return notStored("the store has not confirmed earlier requests yet")
			}
		case <-ctx.Done():
			if item.withdraw() {
				return notStored("the client's time is over")
			}
			return unknownOutcome()
		}
	}
}

// Run appends queued records until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		if c.next != nil {
			first := c.next
			c.next = nil
			c.commit(ctx, c.group([]*commit{first}))
			continue
		}
		select {
		case first := <-c.queue:
			if first.take() {
				c.commit(ctx, c.group([]*commit{first}))
			}
		case <-ctx.Done():
			return
		}
	}
}

var errPanicked = errors.New("an unexpected error ended the append")

// group adds the records that wait to a group of one, without the withdrawn ones.
func (c *Committer) group(group []*commit) []*commit {
	size := platform.EncodedSize(group[0].record)
	for len(group) < maxGroupRecords {
		select {
		case next := <-c.queue:
			if !next.take() {
				continue
			}
			size += platform.EncodedSize(next.record)
			if c.maxCallBytes > 0 && size > c.maxCallBytes {
				c.next = next
				return group
			}
			group = append(group, next)
		default:
			return group
		}
	}
	return group
}

func (c *Committer) commit(ctx context.Context, group []*commit) {
	records := make([]platform.KeyedRecord, len(group))
	for i, item := range group {
		records[i] = item.record
	}
	var err error
	if c.guard.Do("commit", func() { err = c.appendUntilResolved(ctx, records) }) != nil {
		c.startNewEpoch(errPanicked)
		err = unknownOutcome()
	}
	if errors.Is(err, platform.ErrInvalid) && len(group) > 1 {
		for i := range group {
			c.commit(ctx, group[i:i+1])
		}
		return
	}
	if errors.Is(err, platform.ErrInvalid) {
		c.logger.Error("the store refuses a request for good", "key", records[0].Key, "bytes", len(records[0].Key)+len(records[0].Value), "err", err)
		err = refusedForGood()
	}
	for _, item := range group {
		item.done <- err
	}
}

// appendUntilResolved repeats the append until the outcome is known or the clients
// cannot wait any longer. ErrInvalid means that nothing was appended.
func (c *Committer) appendUntilResolved(ctx context.Context, records []platform.KeyedRecord) error {
	start := c.clock.Now()
	unknown := false
	for {
		err := c.append(ctx, records)
		if err == nil {
			c.producer.Seq++
			return nil
		}
		if !platform.NothingAppended(err) {
			unknown = true
		}
		waited := c.clock.Now() - start
		switch {
		case errors.Is(err, platform.ErrInvalid) && !unknown:
			return err
		case ctx.Err() != nil || waited > unresolvedTimeout:
			if !unknown {
				return notStored(err.Error())
			}
			c.startNewEpoch(err)
			return unknownOutcome()
		case errors.Is(err, platform.ErrSequence), errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrInvalid):
			c.startNewEpoch(err)
			return unknownOutcome()
		case !unknown && waited > refusedTimeout:
			return notStored(err.Error())
		}
		time.Sleep(commitRetryDelay)
	}
}

// append sends the append once. A delayed call of an earlier epoch may still store
// its records. That is allowed, because Commit has reported their outcome as
// unknown.
func (c *Committer) append(ctx context.Context, records []platform.KeyedRecord) error {
	producer := c.producer
	_, err := c.store.Append(ctx, platform.Append{Partition: c.partition, Records: records, Producer: &producer})
	return err
}

// startNewEpoch gives up an unresolved append and starts a new epoch. The first
// append of the epoch fences calls that may still be in progress.
func (c *Committer) startNewEpoch(err error) {
	c.logger.Warn("append unresolved", "producer", c.producer.Name, "epoch", c.producer.Epoch, "seq", c.producer.Seq, "err", err)
	c.producer.Epoch++
	c.producer.Seq = 1
}

func notStored(cause string) error {
	return &domain.Error{
		Kind: domain.KindNotRun, Message: "the request was not stored: " + cause,
		Remedy: "send the request again after the given time", RetryAfter: time.Second,
	}
}

// refusedForGood is the error for a request that the store never accepts.
func refusedForGood() error {
	return &domain.Error{
		Kind: domain.KindNotRun, Message: "the store does not accept a record of this size", Remedy: "send a smaller job, or several",
	}
}

func unknownOutcome() error {
	return &domain.Error{
		Kind: domain.KindOutcomeUnknown, Message: "the store did not confirm the request in time",
		Remedy: "send the same request with the same id again",
	}
}
