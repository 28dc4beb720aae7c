package logclient

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/standin/logservice"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// fixture is a log in virtual time and the contract that a test speaks to.
type fixture struct {
	t      *testing.T
	ctx    context.Context
	clock  *clockwork.FakeClock
	log    *logservice.Log
	client platform.Log
}

func eachTransport(t *testing.T, test func(b *fixture)) {
	t.Helper()
	t.Run("memory", func(t *testing.T) {
		b := newFixture(t)
		b.client = b.log
		test(b)
	})
	t.Run("http", func(t *testing.T) {
		b := newFixture(t)
		b.client = b.serve()
		test(b)
	})
}

func newFixture(t *testing.T) *fixture {
	clock := clockwork.NewFakeClock()
	log := logservice.New(logservice.Options{Clock: clock, Retention: time.Hour, Seed: 1})
	return &fixture{t: t, ctx: context.Background(), clock: clock, log: log}
}

func (b *fixture) serve() *Client {
	b.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- logservice.Serve(ctx, ln, b.log) }()
	client := New("http://"+ln.Addr().String(), WithCallTimeout(10*time.Second))
	b.t.Cleanup(func() {
		client.Close()
		cancel()
		assert.NilError(b.t, <-done)
	})
	return client
}

func record(id string) platform.Record {
	return platform.Record{ID: id, Type: "t", Data: []byte(`{"x":1}`)}
}

func (b *fixture) append(id string) platform.Offset {
	b.t.Helper()
	offset, err := b.client.Append(b.ctx, "s", record(id))
	assert.NilError(b.t, err)
	return offset
}

func (b *fixture) read(from platform.Offset, limit int) platform.ReadReply {
	b.t.Helper()
	reply, err := b.client.Read(b.ctx, "s", from, limit, 0)
	assert.NilError(b.t, err)
	return reply
}

// Guards against offsets that differ from the order of the appends, and
// against reads that miss acknowledged appends.
func TestReadReturnsAppendsInOrder(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		assert.Equal(b.t, b.read(0, 0).Next, platform.Offset(1))
		for i := 1; i <= 5; i++ {
			assert.Equal(b.t, b.append(fmt.Sprint(i)), platform.Offset(i))
		}
		reply := b.read(2, 3)
		assert.Equal(b.t, len(reply.Records), 3)
		assert.Equal(b.t, reply.Records[0].ID, "2")
		assert.Equal(b.t, string(reply.Records[0].Data), `{"x":1}`)
		assert.Equal(b.t, reply.Next, platform.Offset(6))
		assert.Equal(b.t, reply.Retention, time.Hour)
		_, err := b.client.Append(b.ctx, "s", platform.Record{})
		assert.Equal(b.t, domain.KindOf(err), domain.KindBadRequest)
	})
}

// Guards against records that are kept or dropped at the wrong age, and
// against offsets that begin anew after all records were dropped.
func TestRecordsAreDroppedAfterRetention(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.append("a")
		b.clock.Advance(time.Minute)
		b.append("b")
		b.clock.Advance(time.Hour)
		reply := b.read(1, 0)
		assert.Equal(b.t, reply.First, platform.Offset(2))
		assert.Equal(b.t, reply.Records[0].ID, "b")
		b.log.SetRetention(time.Second)
		reply = b.read(1, 0)
		assert.Equal(b.t, len(reply.Records), 0)
		assert.Equal(b.t, reply.First, platform.Offset(3))
		assert.Equal(b.t, b.append("c"), platform.Offset(3))
	})
}

// Guards against a long poll that misses an append or never ends.
func TestLongPollEndsOnAppendOrTimeout(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		replies := make(chan platform.ReadReply, 1)
		poll := func() {
			reply, err := b.client.Read(b.ctx, "s", 1, 0, time.Minute)
			assert.Check(b.t, err)
			replies <- reply
		}
		go poll()
		assert.NilError(b.t, b.clock.BlockUntilContext(b.ctx, 1))
		b.clock.Advance(time.Minute)
		assert.Equal(b.t, len((<-replies).Records), 0)
		go poll()
		assert.NilError(b.t, b.clock.BlockUntilContext(b.ctx, 1))
		b.append("a")
		assert.Equal(b.t, len((<-replies).Records), 1)
	})
}

// Guards against an outage that calls do not notice and one that they do not
// survive.
func TestCallsFailDuringOutageAndRecover(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.log.SetOutage(logservice.ModeRefuse)
		_, err := b.client.Append(b.ctx, "s", record("a"))
		assert.Equal(b.t, domain.KindOf(err), domain.KindUnavailable)
		b.log.SetOutage(logservice.ModeHang)
		ctx, cancel := context.WithTimeout(b.ctx, 50*time.Millisecond)
		defer cancel()
		_, err = b.client.Read(ctx, "s", 1, 0, 0)
		assert.Equal(b.t, domain.KindOf(err), domain.KindUnavailable)
		b.log.SetOutage(logservice.ModePass)
		assert.Equal(b.t, b.append("b"), platform.Offset(1))
	})
}

// Guards against a writer that takes an append whose answer was lost for one
// that failed.
func TestLostAnswerIsNotNotSent(t *testing.T) {
	eachTransport(t, func(b *fixture) {
		b.log.LoseNextAnswers(1)
		_, err := b.client.Append(b.ctx, "s", record("a"))
		assert.Equal(b.t, domain.KindOf(err), domain.KindUnavailable)
		assert.Assert(b.t, !NotSent(err))
		assert.Equal(b.t, b.read(1, 0).Records[0].ID, "a")
	})
}

// Guards against an append that is repeated although it took effect.
func TestAppendOnceAppendsOnce(t *testing.T) {
	b := newFixture(t)
	client := b.serve()
	b.client = client
	b.append("before")
	b.log.LoseNextAnswers(1)
	offset, err := client.AppendOnce(b.ctx, "s", record("a"))
	assert.NilError(t, err)
	assert.Equal(t, offset, platform.Offset(2))

	b.log.LoseNextAnswers(1)
	_, err = client.Append(b.ctx, "s", record("b"))
	assert.Assert(t, err != nil)
	b.append("after")
	offset, err = client.AppendOnce(b.ctx, "s", record("b"))
	assert.NilError(t, err)
	assert.Equal(t, offset, platform.Offset(3))
	assert.Equal(t, b.read(1, 0).Next, platform.Offset(5))
	assert.Equal(t, len(client.unresolved.minOffsets), 0)
}

// Guards against a failure that is reported although the record is in the
// stream because only its answer was lost.
func TestAppendOnceSearchesBeforeFailure(t *testing.T) {
	b := newFixture(t)
	client := b.serve()
	b.log.LoseAnswerShare(1)
	ctx, cancel := context.WithTimeout(b.ctx, 10*time.Second)
	defer cancel()
	key := appendKey{stream: "s", id: "a"}
	_, err := client.Append(ctx, "s", record("a"))
	assert.Assert(t, err != nil)
	offset, err := client.finalSearch(ctx, key, err)
	assert.NilError(t, err)
	assert.Equal(t, offset, platform.Offset(1))
}

// Guards against a "never sent" claim of AppendOnce when an earlier attempt
// was sent and only the last one was not.
func TestAppendOnceNotSentCoversAllSends(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	client := New("http://" + ln.Addr().String())
	defer client.Close()
	ln.Close()
	for _, sent := range []bool{false, true} {
		if sent {
			client.unresolved.add(appendKey{stream: "s", id: "a"}, 1)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err = client.AppendOnce(ctx, "s", record("a"))
		cancel()
		assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
		assert.Equal(t, NotSent(err), !sent)
	}
}
