package storelog

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"runtime"
	"sync/atomic"
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

// Guards against two owners with the same fencing token: of two claims at the same
// offset, the store must accept one. If claims shared a producer, the store would
// confirm the second claim as a repeat of the first.
func TestStoreAcceptsOneClaimPerOffset(t *testing.T) {
	s := newFakeStore()
	ctx := context.Background()
	assert.NilError(t, AppendClaim(ctx, s, testPartition, record("o"), 0))
	assert.ErrorIs(t, AppendClaim(ctx, s, testPartition, record("o"), 0), platform.ErrConflict)
}

// Guards against a replaced owner that continues to write job states.
func TestNewEpochFencesPreviousOwner(t *testing.T) {
	s := newFakeStore()
	ctx := context.Background()
	previous, next := NewOwnerWriter(s, testPartition, 3), NewOwnerWriter(s, testPartition, 9)
	_, err := previous.Append(ctx, []platform.KeyedRecord{record("a")})
	assert.NilError(t, err)
	end, err := next.Append(ctx, []platform.KeyedRecord{record("o")})
	assert.NilError(t, err)
	assert.Equal(t, end, int64(2))
	_, err = previous.Append(ctx, []platform.KeyedRecord{record("b")})
	assert.ErrorIs(t, err, platform.ErrFenced)
}

// Guards against a record that is stored twice because the response of its append
// was lost.
func TestOwnerWriterStoresOnceWhenResponseIsLost(t *testing.T) {
	s := newFakeStore()
	s.dropResponses = 2
	w := NewOwnerWriter(s, testPartition, 3)
	_, err := w.Append(context.Background(), []platform.KeyedRecord{record("a")})
	assert.NilError(t, err)
	_, err = w.Append(context.Background(), []platform.KeyedRecord{record("b")})
	assert.NilError(t, err)
	assert.Equal(t, len(s.records[testPartition]), 2)
}

func startCommitter(t *testing.T, s platform.Store) *Committer {
	t.Helper()
	c := NewCommitter(s, testPartition, "node-1", steady.New(), slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// Guards against reporting "not run" for a job that is stored, after the response of
// the append was lost.
func TestCommitterConfirmsStoredRecordWhenResponseIsLost(t *testing.T) {
	s := newFakeStore()
	s.dropResponses = 1
	c := startCommitter(t, s)
	assert.NilError(t, c.Commit(context.Background(), record("j1")))
	assert.Equal(t, len(s.records[testPartition]), 1)
}

// Guards against a client that waits for a store that refuses all appends. Commit
// must report "not run" within a second, and the record must not be stored.
func TestCommitterReportsNotRunWhenStoreRefuses(t *testing.T) {
	s := newFakeStore()
	s.refuse = 1000
	c := startCommitter(t, s)
	start := time.Now()
	err := c.Commit(context.Background(), record("j1"))
	assert.Equal(t, domain.KindOf(err), domain.KindNotRun)
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Equal(t, len(s.records[testPartition]), 0)
}

// Guards against an owner that repeats an append for ever which the store never accepts,
// and that cannot append anything else.
func TestOwnerWriterReturnsWhenStoreRefusesForGood(t *testing.T) {
	s := newFakeStore()
	s.maxValueBytes = 10
	w := NewOwnerWriter(s, testPartition, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := w.Append(ctx, []platform.KeyedRecord{{Key: "large", Value: make([]byte, 11)}})
	assert.ErrorIs(t, err, platform.ErrInvalid)
	_, err = w.Append(ctx, []platform.KeyedRecord{record("a")})
	assert.NilError(t, err)
}

// Guards against requests that are refused because another client's request, which the
// store never accepts, is in the same append.
func TestRequestThatTheStoreRefusesForGoodIsRefusedAlone(t *testing.T) {
	s := newFakeStore()
	s.maxValueBytes = 10
	c := NewCommitter(s, testPartition, "node-1", steady.New(), slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	group := []*commit{{record: record("a")}, {record: platform.KeyedRecord{Key: "large", Value: make([]byte, 11)}}, {record: record("b")}}
	for _, item := range group {
		item.done = make(chan error, 1)
	}
	c.commit(context.Background(), group)
	assert.NilError(t, <-group[0].done)
	assert.Equal(t, domain.KindOf(<-group[1].done), domain.KindNotRun)
	assert.NilError(t, <-group[2].done)
	assert.Equal(t, len(s.records[testPartition]), 2)
}

// Guards against an append that is lost because the store takes it for the repetition of a
// refused one, of which an earlier send without an answer was stored after all; and against
// "not run" for such a request.
func TestRefusalAfterASendWithoutAnswerIsUnresolved(t *testing.T) {
	s := newFakeStore()
	s.maxValueBytes, s.loseNext = 10, true
	large := platform.KeyedRecord{Key: "large", Value: make([]byte, 11)}
	_, err := NewOwnerWriter(s, testPartition, 3).Append(context.Background(), []platform.KeyedRecord{large})
	assert.ErrorIs(t, err, errUnresolved)
	s.loseNext = true
	assert.Equal(t, domain.KindOf(startCommitter(t, s).Commit(context.Background(), large)), domain.KindOutcomeUnknown)
}

// Guards against a group of requests that is over the store's limit for one append.
func TestRequestsAreAppendedWithinTheLimitOfACall(t *testing.T) {
	const limit = 100
	s := newFakeStore()
	c := NewCommitter(s, testPartition, "node-1", steady.New(), slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	c.LimitCalls(limit)
	var group []*commit
	for range 7 {
		item := &commit{record: platform.KeyedRecord{Key: "j", Value: make([]byte, 34)}, done: make(chan error, 1)}
		group = append(group, item)
		c.queue <- item
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	for _, item := range group {
		assert.NilError(t, <-item.done)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.records[testPartition]), len(group))
	assert.Equal(t, s.largestAppend, 80)
}

// silentStore does not answer an append for a while. It has performed it.
type silentStore struct {
	*fakeStore
	silence time.Duration
}

func (s silentStore) Append(ctx context.Context, a platform.Append) (platform.AppendResult, error) {
	time.Sleep(s.silence)
	return s.fakeStore.Append(ctx, a)
}

// Requests arrive while a slow store has an earlier append. Guards against clients that
// wait until their time is over, and learn then that the outcome is unknown, although
// their requests were never sent; and against a request that is stored after it was
// refused.
func TestRequestsBehindAnUnconfirmedAppendAreRefusedAtOnce(t *testing.T) {
	s := silentStore{newFakeStore(), 1500 * time.Millisecond}
	c := startCommitter(t, s)
	first := make(chan error, 1)
	go func() { first <- c.Commit(context.Background(), record("first")) }()
	time.Sleep(50 * time.Millisecond) // The first append is on its way.
	began := time.Now()
	err := c.Commit(context.Background(), record("second"))
	assert.Equal(t, domain.KindOf(err), domain.KindNotRun)
	assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
	assert.NilError(t, <-first)
	assert.NilError(t, c.Commit(context.Background(), record("third")))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records[testPartition] {
		assert.Assert(t, r.Key != "second")
	}
	assert.Equal(t, len(s.records[testPartition]), 2)
}

// Guards against reporting "not run" after an append whose outcome stays unknown.
// The committer must work again once the store responds.
func TestCommitterReportsUnknownOutcome(t *testing.T) {
	s := newFakeStore()
	s.dropResponses = 1000
	c := startCommitter(t, s)
	err := c.Commit(context.Background(), record("j1"))
	assert.Equal(t, domain.KindOf(err), domain.KindOutcomeUnknown)
	s.mu.Lock()
	s.dropResponses = 0
	s.mu.Unlock()
	assert.NilError(t, c.Commit(context.Background(), record("j2")))
}

// Guards against returning a state to a client that is as old as the pause between
// two reads.
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
		// ReadNewest of the fake store returns no records. The follower must have
		// called it before the first record is appended, or it skips the record.
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

// An owner that appends every few milliseconds. Guards against an owner that reads back
// what it has written, and against a follower that skips the records of others.
func TestFollowerDoesNotReadWhatItsOwnerHasApplied(t *testing.T) {
	s := newFakeStore()
	applied, caughtUp := make(chan string, 100), make(chan struct{}, 100)
	f := NewFollower(FollowerConfig{
		Store: s, Partition: testPartition, Clock: steady.New(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Apply: func(r platform.KeyedRecord) { applied <- r.Key },
		Pause: func() time.Duration { return time.Hour }, OnCaughtUp: func(int64) { caughtUp <- struct{}{} },
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go f.Run(ctx)
	// After the newest records and one empty read, the follower pauses.
	for range 2 {
		<-caughtUp
	}
	w := NewOwnerWriter(s, testPartition, 1)
	for range 10 {
		end, err := w.Append(ctx, []platform.KeyedRecord{record("own"), record("own")})
		assert.NilError(t, err)
		f.SkipTo(end)
	}
	f.SkipTo(3) // An earlier offset has no effect.
	_, err := NewOwnerWriter(s, testPartition, 2).Append(ctx, []platform.KeyedRecord{record("next owner")})
	assert.NilError(t, err)
	for len(applied) == 0 && ctx.Err() == nil {
		f.Refresh(ctx, 10*time.Millisecond)
	}
	assert.Equal(t, <-applied, "next owner")
	assert.Equal(t, len(applied), 0)
}

// heldStore holds the responses of reads that may wait for records, and counts the other
// reads.
type heldStore struct {
	*fakeStore
	// held receives a value when a response is ready, which is returned after a value
	// is sent to release.
	held, release chan struct{}
	endReads      atomic.Int64
	// refuses makes all reads fail.
	refuses atomic.Bool
}

func newHeldStore() *heldStore {
	return &heldStore{fakeStore: newFakeStore(), held: make(chan struct{}), release: make(chan struct{})}
}

func (s *heldStore) Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.ReadResult, error) {
	if wait == 0 {
		s.endReads.Add(1)
	}
	if s.refuses.Load() {
		return platform.ReadResult{}, platform.ErrRefused
	}
	result, err := s.fakeStore.Read(ctx, p, from, wait)
	if wait == 0 {
		return result, err
	}
	select {
	case s.held <- struct{}{}:
	case <-ctx.Done():
		return platform.ReadResult{}, ctx.Err()
	}
	select {
	case <-s.release:
		return result, err
	case <-ctx.Done():
		return platform.ReadResult{}, ctx.Err()
	}
}

func startFollower(t *testing.T, s platform.Store, apply func(platform.KeyedRecord)) *Follower {
	t.Helper()
	return startFollowerOn(t, s, steady.New(), apply)
}

func startFollowerOn(t *testing.T, s platform.Store, clock *steady.Clock, apply func(platform.KeyedRecord)) *Follower {
	t.Helper()
	f := NewFollower(FollowerConfig{
		Store: s, Partition: testPartition, Clock: clock, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Apply: apply,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// A record is appended while the response of an earlier read, without the record, is on
// its way. Guards against taking that read, which completes after the append, as proof that
// all records have been read.
func TestCatchUpIsNotSatisfiedByAReadSentBeforeTheAppend(t *testing.T) {
	s := newHeldStore()
	var applied atomic.Bool
	f := startFollower(t, s, func(platform.KeyedRecord) { applied.Store(true) })
	<-s.held
	_, err := NewOwnerWriter(s, testPartition, 1).Append(context.Background(), []platform.KeyedRecord{record("accepted")})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	caughtUp := make(chan error, 1)
	go func() { caughtUp <- f.CatchUp(ctx) }()
	for s.endReads.Load() == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	s.release <- struct{}{}
	<-s.held // The follower has counted the first read as complete.
	_, ok := f.LastRead()
	assert.Assert(t, ok && !applied.Load())
	select {
	case err := <-caughtUp:
		t.Fatalf("CatchUp returned %v before the record was applied", err)
	case <-time.After(50 * time.Millisecond):
	}
	s.release <- struct{}{}
	assert.NilError(t, <-caughtUp)
	assert.Assert(t, applied.Load())
}

// Guards against clients whose requests add to the load of a store that does not respond,
// and against reporting to them that all records have been read.
func TestCatchUpSendsNothingToAStoreThatRefuses(t *testing.T) {
	s := newHeldStore()
	f := startFollower(t, s, func(platform.KeyedRecord) {})
	<-s.held
	s.refuses.Store(true)
	s.release <- struct{}{}
	for f.failedReads.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	for range 20 {
		go func() { _ = f.CatchUp(ctx) }()
	}
	assert.Assert(t, errors.Is(f.CatchUp(ctx), context.DeadlineExceeded))
	assert.Equal(t, s.endReads.Load(), int64(0))
	s.refuses.Store(false)
	<-s.held
	s.release <- struct{}{}
	recovered, cancelRecovered := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancelRecovered()
	assert.NilError(t, f.CatchUp(recovered))
}

// Guards against a call that shares a read which had already started, and which may miss
// what was appended since; and against a read for each of the calls that wait.
func TestEndReadIsSharedOnlyBeforeItStarts(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	var reads int64
	read := func() (int64, error) {
		reads++
		started <- struct{}{}
		<-proceed
		return reads, nil
	}
	var r endReader
	first := r.request(read)
	<-started
	second, third := r.request(read), r.request(read)
	assert.Assert(t, first != second)
	assert.Assert(t, second == third)
	for _, want := range []*endRead{first, second} {
		if want == second {
			<-started
		}
		proceed <- struct{}{}
		<-want.done
	}
	assert.Equal(t, first.end, int64(1))
	assert.Equal(t, second.end, int64(2))
}

// pagedStore has two pages of newest records. It notes when each was requested.
type pagedStore struct {
	*heldStore
	clock *steady.Clock
	asked []time.Duration
}

func (s *pagedStore) ReadNewest(_ context.Context, _ platform.Partition, after string) (platform.NewestPage, error) {
	s.asked = append(s.asked, s.clock.Now())
	return platform.NewestPage{Records: []platform.KeyedRecord{record("k" + after)}, More: after == ""}, nil
}

// Guards against an age of the configuration that counts from a later time than the first
// request: a key may be removed between two pages, or while a read waits for records.
func TestLastSentIsWhenACompleteReadWasSent(t *testing.T) {
	s := &pagedStore{heldStore: newHeldStore(), clock: steady.New()}
	f := startFollowerOn(t, s, s.clock, func(platform.KeyedRecord) {})
	<-s.held
	loaded, ok := f.LastSent()
	assert.Assert(t, ok && len(s.asked) == 2 && loaded <= s.asked[0], "%v, asked %v", loaded, s.asked)
	reading := s.clock.Now()
	for s.clock.Now() <= reading+maxResponseAge { // The response arrives later than LastRead assumes.
		runtime.Gosched()
	}
	s.release <- struct{}{}
	<-s.held
	sent, _ := f.LastSent()
	assert.Assert(t, loaded < sent && sent <= reading, "%v, %v, %v", loaded, sent, reading)
}
