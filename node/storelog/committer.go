package storelog

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/steady"
)

const (
	// maxGroupRecords bounds the records of one append.
	maxGroupRecords = 64
	// refusedRetryDelay is the pause after the store refused an append.
	refusedRetryDelay = 40 * time.Millisecond
	// refusedTimeout is how long a refused append is repeated before its callers
	// are told that nothing was stored.
	refusedTimeout = 300 * time.Millisecond
	// unresolvedTimeout is how long an append without an answer is repeated before
	// its callers are told that the outcome is unknown. It leaves a client that
	// waits 3 s the time to read the answer.
	unresolvedTimeout = 2200 * time.Millisecond
	// queueLength bounds the requests that wait for a commit.
	queueLength = 4096
)

// Committer appends records of callers' requests in groups. It settles an
// append without an answer before the callers are answered.
type Committer struct {
	store     platform.Store
	partition platform.Partition
	clock     *steady.Clock
	logger    *slog.Logger
	producer  platform.Producer
	queue     chan *commit
}

type commit struct {
	record platform.KeyedRecord
	done   chan error
}

// NewCommitter returns a committer; Run starts it. Name must be new for each
// life of the process.
func NewCommitter(store platform.Store, p platform.Partition, name string, clock *steady.Clock, logger *slog.Logger) *Committer {
	return &Committer{
		store: store, partition: p, clock: clock, logger: logger,
		producer: platform.Producer{Name: name, Epoch: 1, Seq: 1},
		queue:    make(chan *commit, queueLength),
	}
}

// Commit stores one record. It returns an *Error of kind KindNotRun if the
// record is surely not stored, and of kind KindOutcomeUnknown if that could
// not be settled.
func (c *Committer) Commit(ctx context.Context, r platform.KeyedRecord) error {
	item := &commit{record: r, done: make(chan error, 1)}
	select {
	case c.queue <- item:
	default:
		return notStored("too many requests wait for the store")
	}
	select {
	case err := <-item.done:
		return err
	case <-ctx.Done():
		return unknownOutcome()
	}
}

// Run commits until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		select {
		case first := <-c.queue:
			c.commit(ctx, c.group(first))
		case <-ctx.Done():
			return
		}
	}
}

func (c *Committer) group(first *commit) []*commit {
	group := []*commit{first}
	for len(group) < maxGroupRecords {
		select {
		case item := <-c.queue:
			group = append(group, item)
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
	err := c.appendUntilResolved(ctx, records)
	for _, item := range group {
		item.done <- err
	}
}

// appendUntilResolved appends until the outcome is known or the callers cannot wait longer.
func (c *Committer) appendUntilResolved(ctx context.Context, records []platform.KeyedRecord) error {
	began := c.clock.Now()
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
		waited := c.clock.Now() - began
		switch {
		case ctx.Err() != nil || waited > unresolvedTimeout:
			if !unknown {
				return notStored(err.Error())
			}
			c.startNewEpoch(err)
			return unknownOutcome()
		case errors.Is(err, platform.ErrSequence), errors.Is(err, platform.ErrFenced):
			c.startNewEpoch(err)
			return unknownOutcome()
		case !unknown && waited > refusedTimeout:
			return notStored(err.Error())
		}
		time.Sleep(refusedRetryDelay)
	}
}

// append makes one call. Records that could be stored by a late call of an
// abandoned epoch are requests that were answered as unknown, so they may be.
func (c *Committer) append(ctx context.Context, records []platform.KeyedRecord) error {
	producer := c.producer
	_, err := c.store.Append(ctx, platform.Append{Partition: c.partition, Records: records, Producer: &producer})
	return err
}

// startNewEpoch starts a new epoch, whose first append fences what may still be
// under way.
func (c *Committer) startNewEpoch(err error) {
	c.logger.Warn("append not settled", "producer", c.producer.Name, "epoch", c.producer.Epoch, "seq", c.producer.Seq, "err", err)
	c.producer.Epoch++
	c.producer.Seq = 1
}

func notStored(cause string) error {
	return &domain.Error{
		Kind: domain.KindNotRun, Message: "the request was not stored: " + cause,
		Remedy: "send it again after the time given", RetryAfter: time.Second,
	}
}

func unknownOutcome() error {
	return &domain.Error{
		Kind: domain.KindOutcomeUnknown, Message: "the store has not confirmed the request in time",
		Remedy: "send the same request with the same id again",
	}
}
