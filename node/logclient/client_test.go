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

// fixture is a log with a fake clock, and the implementation of platform.Log
// through which a test calls it.
type fixture struct {
	t      *testing.T
	ctx    context.Context
	clock  *clockwork.FakeClock
	log    *logservice.Log
	client platform.Log
}

// eachTransport runs a test against the log in memory and over HTTP.
func eachTransport(t *testing.T, test func(f *fixture)) {
	t.Helper()
	t.Run("memory", func(t *testing.T) {
		f := newFixture(t)
		f.client = f.log
		test(f)
	})
	t.Run("http", func(t *testing.T) {
		f := newFixture(t)
		f.client = f.serve()
		test(f)
	})
}

func newFixture(t *testing.T) *fixture {
	clock := clockwork.NewFakeClock()
	log := logservice.New(logservice.Options{Clock: clock, Retention: time.Hour, Seed: 1})
	return &fixture{t: t, ctx: context.Background(), clock: clock, log: log}
}

func (f *fixture) serve() *Client {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- logservice.Serve(ctx, ln, f.log) }()
	client := New("http://"+ln.Addr().String(), WithCallTimeout(10*time.Second))
	f.t.Cleanup(func() {
		client.Close()
		cancel()
		assert.NilError(f.t, <-done)
	})
	return client
}

func record(id string) platform.Record {
	return platform.Record{ID: id, Type: "t", Data: []byte(`{"x":1}`)}
}

func (f *fixture) append(id string) platform.Offset {
	f.t.Helper()
	offset, err := f.client.Append(f.ctx, "s", record(id))
	assert.NilError(f.t, err)
	return offset
}

func (f *fixture) read(from platform.Offset, limit int) platform.ReadReply {
	f.t.Helper()
	reply, err := f.client.Read(f.ctx, "s", from, limit, 0)
	assert.NilError(f.t, err)
	return reply
}

// Guards against offsets that differ from the order of the appends, and
// against reads that miss acknowledged appends.
func TestReadReturnsAppendsInOrder(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		assert.Equal(f.t, f.read(0, 0).Next, platform.Offset(1))
		for i := 1; i <= 5; i++ {
			assert.Equal(f.t, f.append(fmt.Sprint(i)), platform.Offset(i))
		}
		reply := f.read(2, 3)
		assert.Equal(f.t, len(reply.Records), 3)
		assert.Equal(f.t, reply.Records[0].ID, "2")
		assert.Equal(f.t, string(reply.Records[0].Data), `{"x":1}`)
		assert.Equal(f.t, reply.Next, platform.Offset(6))
		assert.Equal(f.t, reply.Retention, time.Hour)
		_, err := f.client.Append(f.ctx, "s", platform.Record{})
		assert.Equal(f.t, domain.KindOf(err), domain.KindBadRequest)
	})
}

// Guards against records that are kept or dropped at the wrong age, and
// against offsets that restart after all records were dropped.
func TestRecordsAreDroppedAfterRetention(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.append("a")
		f.clock.Advance(time.Minute)
		f.append("b")
		f.clock.Advance(time.Hour)
		reply := f.read(1, 0)
		assert.Equal(f.t, reply.First, platform.Offset(2))
		assert.Equal(f.t, reply.Records[0].ID, "b")
		f.log.SetRetention(time.Second)
		reply = f.read(1, 0)
		assert.Equal(f.t, len(reply.Records), 0)
		assert.Equal(f.t, reply.First, platform.Offset(3))
		assert.Equal(f.t, f.append("c"), platform.Offset(3))
	})
}

// Guards against a long poll that misses an append or never ends.
func TestLongPollEndsOnAppendOrTimeout(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		replies := make(chan platform.ReadReply, 1)
		poll := func() {
			reply, err := f.client.Read(f.ctx, "s", 1, 0, time.Minute)
			assert.Check(f.t, err)
			replies <- reply
		}
		go poll()
		assert.NilError(f.t, f.clock.BlockUntilContext(f.ctx, 1))
		f.clock.Advance(time.Minute)
		assert.Equal(f.t, len((<-replies).Records), 0)
		go poll()
		assert.NilError(f.t, f.clock.BlockUntilContext(f.ctx, 1))
		f.append("a")
		assert.Equal(f.t, len((<-replies).Records), 1)
	})
}

// Guards against calls that succeed during an outage, and against a client that
// does not work again after it.
func TestCallsFailDuringOutageAndRecover(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.log.SetOutage(logservice.ModeRefuse)
		_, err := f.client.Append(f.ctx, "s", record("a"))
		assert.Equal(f.t, domain.KindOf(err), domain.KindUnavailable)
		f.log.SetOutage(logservice.ModeHang)
		ctx, cancel := context.WithTimeout(f.ctx, 50*time.Millisecond)
		defer cancel()
		_, err = f.client.Read(ctx, "s", 1, 0, 0)
		assert.Equal(f.t, domain.KindOf(err), domain.KindUnavailable)
		f.log.SetOutage(logservice.ModePass)
		assert.Equal(f.t, f.append("b"), platform.Offset(1))
	})
}

// Guards against reporting an append whose answer was lost as never sent,
// although the record is in the stream.
func TestLostAnswerIsNotReportedAsNotSent(t *testing.T) {
	eachTransport(t, func(f *fixture) {
		f.log.LoseNextAnswers(1)
		_, err := f.client.Append(f.ctx, "s", record("a"))
		assert.Equal(f.t, domain.KindOf(err), domain.KindUnavailable)
		assert.Assert(f.t, !IsNotSent(err))
		assert.Equal(f.t, f.read(1, 0).Records[0].ID, "a")
	})
}

// Guards against a second append of a record whose first append took effect.
func TestAppendOnceAppendsOnce(t *testing.T) {
	f := newFixture(t)
	client := f.serve()
	f.client = client
	f.append("before")
	f.log.LoseNextAnswers(1)
	offset, err := client.AppendOnce(f.ctx, "s", record("a"))
	assert.NilError(t, err)
	assert.Equal(t, offset, platform.Offset(2))

	f.log.LoseNextAnswers(1)
	_, err = client.Append(f.ctx, "s", record("b"))
	assert.Assert(t, err != nil)
	f.append("after")
	offset, err = client.AppendOnce(f.ctx, "s", record("b"))
	assert.NilError(t, err)
	assert.Equal(t, offset, platform.Offset(3))
	assert.Equal(t, f.read(1, 0).Next, platform.Offset(5))
	assert.Equal(t, len(client.unresolved.minOffsets), 0)
}

// Guards against reporting a failure when only the answer was lost and the
// record is in the stream.
func TestAppendOnceSearchesBeforeFailure(t *testing.T) {
	f := newFixture(t)
	client := f.serve()
	f.log.LoseAnswerShare(1)
	ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
	defer cancel()
	key := appendKey{stream: "s", id: "a"}
	_, err := client.Append(ctx, "s", record("a"))
	assert.Assert(t, err != nil)
	offset, err := client.finalSearch(ctx, key, err)
	assert.NilError(t, err)
	assert.Equal(t, offset, platform.Offset(1))
}

// Guards against AppendOnce reporting "never sent" when an earlier append was
// sent and only the last one was not.
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
		assert.Equal(t, IsNotSent(err), !sent)
	}
}
