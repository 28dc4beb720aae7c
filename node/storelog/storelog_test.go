package storelog

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/steady"
)

var testPartition = platform.Partition{Topic: "t"}

func record(key string) platform.KeyedRecord {
	return platform.KeyedRecord{Key: key, Value: []byte("v")}
}

// Guards against two owners with one token: claims of two nodes at one offset,
// of which the store must take one (hunt on kmk-ferry, hunt-b93e-15, TWICE
// 1899: with a shared producer the second claim passed as a repeat of the
// first).
func TestStoreTakesOneClaimPerOffset(t *testing.T) {
	s := newFakeStore()
	ctx := context.Background()
	assert.NilError(t, AppendClaim(ctx, s, testPartition, record("o"), 0))
	assert.ErrorIs(t, AppendClaim(ctx, s, testPartition, record("o"), 0), platform.ErrConflict)
}

// Guards against a former owner that goes on writing states.
func TestNewEpochFencesPreviousOwner(t *testing.T) {
	s := newFakeStore()
	ctx := context.Background()
	former, next := NewOwnerWriter(s, testPartition, 3), NewOwnerWriter(s, testPartition, 9)
	_, err := former.Append(ctx, []platform.KeyedRecord{record("a")})
	assert.NilError(t, err)
	end, err := next.Append(ctx, []platform.KeyedRecord{record("o")})
	assert.NilError(t, err)
	assert.Equal(t, end, int64(2))
	_, err = former.Append(ctx, []platform.KeyedRecord{record("b")})
	assert.ErrorIs(t, err, platform.ErrFenced)
}

// Guards against a record that is stored twice because its answer was lost.
func TestOwnerWriterStoresOnceWhenAnswerIsLost(t *testing.T) {
	s := newFakeStore()
	s.loseAnswers = 2
	w := NewOwnerWriter(s, testPartition, 3)
	_, err := w.Append(context.Background(), []platform.KeyedRecord{record("a")})
	assert.NilError(t, err)
	_, err = w.Append(context.Background(), []platform.KeyedRecord{record("b")})
	assert.NilError(t, err)
	assert.Equal(t, len(s.records[testPartition]), 2)
}

func startCommitter(t *testing.T, s *fakeStore) *Committer {
	t.Helper()
	c := NewCommitter(s, testPartition, "node-1", steady.New(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// Guards against telling a caller "not run" for a job that is stored: the
// answer of the append is lost.
func TestCommitterConfirmsStoredRecordWhenAnswerIsLost(t *testing.T) {
	s := newFakeStore()
	s.loseAnswers = 1
	c := startCommitter(t, s)
	assert.NilError(t, c.Commit(context.Background(), record("j1")))
	assert.Equal(t, len(s.records[testPartition]), 1)
}

// Guards against a caller that waits for a store that refuses: it is told "not
// run" soon, and truly so.
func TestCommitterReportsNotRunWhenStoreRefuses(t *testing.T) {
	s := newFakeStore()
	s.refuse = 1000
	c := startCommitter(t, s)
	began := time.Now()
	err := c.Commit(context.Background(), record("j1"))
	assert.Equal(t, domain.KindOf(err), domain.KindNotRun)
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, len(s.records[testPartition]), 0)
}

// Guards against "not run" after an append whose outcome never became known.
func TestCommitterReportsUnknownOutcome(t *testing.T) {
	s := newFakeStore()
	s.loseAnswers = 1000
	c := startCommitter(t, s)
	err := c.Commit(context.Background(), record("j1"))
	assert.Equal(t, domain.KindOf(err), domain.KindOutcomeUnknown)
	s.mu.Lock()
	s.loseAnswers = 0
	s.mu.Unlock()
	assert.NilError(t, c.Commit(context.Background(), record("j2")))
}

// Guards against an answer to a caller that is as old as the pause between two
// reads.
func TestRefreshEndsThePauseOfAFollower(t *testing.T) {
	s := newFakeStore()
	applied := make(chan string, 10)
	f := NewFollower(FollowerConfig{
		Store: s, Partition: testPartition, Clock: steady.New(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Apply: func(r platform.KeyedRecord) { applied <- r.Key },
		Pause: func() time.Duration { return time.Hour },
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go f.Run(ctx)
	for f.End() < 0 && ctx.Err() == nil {
		// The fake has no newest records, so the follower must read before the
		// first one is there.
		f.Refresh(ctx, time.Millisecond)
	}
	w := NewOwnerWriter(s, testPartition, 1)
	for _, key := range []string{"first", "second"} {
		_, err := w.Append(ctx, []platform.KeyedRecord{record(key)})
		assert.NilError(t, err)
		for len(applied) == 0 && ctx.Err() == nil {
			f.Refresh(ctx, 10*time.Millisecond)
		}
		assert.NilError(t, ctx.Err())
		assert.Equal(t, <-applied, key)
	}
}
