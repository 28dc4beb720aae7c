package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// Guards against replies that are delivered to the wrong call when many calls
// share a connection.
func TestEachCallGetsItsOwnReply(t *testing.T) {
	_, address := startServer(t, &fakeHandler{forward: echo})
	relay := startRelay(t, address)
	c := newTestClient(t, relay.Address())
	ctx := testContext(t)
	var running sync.WaitGroup
	for worker := range uint64(32) {
		running.Go(func() {
			for i := range uint64(50) {
				seq := worker*1000 + i
				payload := bytes.Repeat(fmt.Appendf(nil, "%d,", seq), int(1+seq%700))
				reply, err := c.Forward(ctx, forwardArgs(seq, payload))
				assert.Check(t, err)
				assert.Check(t, bytes.Equal(reply.Outcome.Answer, payload))
			}
		})
	}
	running.Wait()
	assert.Equal(t, relay.Accepted(), int64(1), "calls must share one connection")
}

// Guards against returning an answer that belongs to another request or was
// changed in transit.
func TestInvalidRepliesAreRejected(t *testing.T) {
	cases := map[string]func(*OutcomeReply){
		"other request": func(r *OutcomeReply) { r.Outcome.ID.Seq++ },
		"truncated":     func(r *OutcomeReply) { r.Outcome.Answer = r.Outcome.Answer[:3] },
		"changed":       func(r *OutcomeReply) { r.Outcome.Answer = []byte("other") },
		"emptied":       func(r *OutcomeReply) { r.Outcome.Answer = nil },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, &fakeHandler{forward: func(a ForwardArgs) (OutcomeReply, error) {
				r, err := echo(a)
				corrupt(&r)
				return r, err
			}})
			reply, err := newTestClient(t, address).Forward(testContext(t), forwardArgs(1, []byte("bytes")))
			assert.Assert(t, IsNoReply(err) && !IsNotSent(err), "%v", err)
			assert.Equal(t, domain.KindOf(err), domain.KindOutcomeUnknown)
			assert.Assert(t, reply.Outcome.Answer == nil)
		})
	}
}

// Guards against accepting a reply to a request with a reserved id if its id
// belongs to another shard or was derived from a key.
func TestReplyForReservedIDIsChecked(t *testing.T) {
	s := domain.ShardID{Domain: "larissa"}
	valid := NewOutcomeReply(domain.Outcome{ID: testID(1), Answer: []byte("x")})
	assert.NilError(t, valid.checkReserved(s))
	assert.Assert(t, IsNoReply(valid.checkReserved(domain.ShardID{Domain: "volos"})))
	derived := NewOutcomeReply(domain.Outcome{ID: domain.RequestID{Shard: s, Seq: 4}})
	assert.Assert(t, IsNoReply(derived.checkReserved(s)))
}

// Guards against errors that lose their kind, remedy or request id between nodes.
func TestErrorsKeepTheirFields(t *testing.T) {
	_, address := startServer(t, &fakeHandler{})
	_, err := newTestClient(t, address).Lookup(testContext(t), IDArgs{ID: testID(1)})
	assert.DeepEqual(t, domain.AsError(err), errNotFound)
	assert.Assert(t, !IsNotSent(err) && !IsNoReply(err))
}

// Guards against calls that wait on an open connection whose peer no longer
// responds: they must fail after about PingTimeout, and a new connection must
// work.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	entered := make(chan struct{}, 8)
	_, address := startServer(t, &fakeHandler{
		ping: func(a PingArgs) (PingReply, error) { return a, nil },
		forward: func(a ForwardArgs) (OutcomeReply, error) {
			if a.Delegated {
				return echo(a)
			}
			entered <- struct{}{}
			<-release
			return echo(a)
		},
	})
	for _, pinged := range []bool{false, true} {
		t.Run(fmt.Sprintf("pinged=%t", pinged), func(t *testing.T) {
			relay := startRelay(t, address)
			c := newTestClient(t, relay.Address())
			ctx := testContext(t)
			failed := make(chan error, 4)
			for seq := range uint64(4) {
				go func() {
					_, err := c.Forward(ctx, forwardArgs(seq, nil))
					failed <- err
				}()
				<-entered
			}
			relay.Freeze()
			start := time.Now()
			if pinged {
				_, err := c.Ping(ctx, PingArgs{})
				assert.Assert(t, IsNoReply(err), "%v", err)
			}
			for range 4 {
				err := <-failed
				assert.Assert(t, IsNoReply(err) && !IsNotSent(err), "%v", err)
			}
			took := time.Since(start)
			t.Logf("pending calls failed after %v", took)
			assert.Assert(t, took < 10*PingTimeout)
			next := forwardArgs(9, []byte("again"))
			next.Delegated = true
			reply, err := c.Forward(ctx, next)
			assert.NilError(t, err)
			assert.Equal(t, string(reply.Outcome.Answer), "again")
			assert.Equal(t, relay.Accepted(), int64(2))
		})
	}
}

// Guards against reporting a call as not sent that the peer may have executed,
// and against an unknown outcome for a call that it cannot have executed.
func TestErrorsReportWhetherCallWasSent(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	entered := make(chan struct{}, 1)
	_, address := startServer(t, &fakeHandler{forward: func(a ForwardArgs) (OutcomeReply, error) {
		entered <- struct{}{}
		<-block
		return echo(a)
	}})
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closedListener.Close()
	cases := []struct {
		name    string
		sent    bool
		address string
		act     func(ctx context.Context, c *Client) error
	}{
		{"no listener", false, closedListener.Addr().String(), func(ctx context.Context, c *Client) error {
			_, err := c.Forward(ctx, forwardArgs(1, nil))
			return err
		}},
		{"within the dial backoff", false, closedListener.Addr().String(), func(ctx context.Context, c *Client) error {
			c.Forward(ctx, forwardArgs(1, nil))
			_, err := c.Forward(ctx, forwardArgs(1, nil))
			return err
		}},
		{"the client is closed", false, address, func(ctx context.Context, c *Client) error {
			c.Close()
			_, err := c.Forward(ctx, forwardArgs(1, nil))
			return err
		}},
		{"the context ended before the call", false, address, func(ctx context.Context, c *Client) error {
			ended, cancel := context.WithCancel(ctx)
			cancel()
			_, err := c.Forward(ended, forwardArgs(1, nil))
			return err
		}},
		{"the connection is closed", true, address, func(ctx context.Context, c *Client) error {
			go func() {
				<-entered
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.current.close()
			}()
			_, err := c.Forward(ctx, forwardArgs(1, nil))
			return err
		}},
		{"the context ends after the call is sent", true, address, func(ctx context.Context, c *Client) error {
			left, cancel := context.WithCancel(ctx)
			go func() {
				<-entered
				cancel()
			}()
			_, err := c.Forward(left, forwardArgs(1, nil))
			return err
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.act(testContext(t), newTestClient(t, tc.address))
			assert.Equal(t, IsNotSent(err), !tc.sent, "%v", err)
			assert.Equal(t, IsNoReply(err), tc.sent, "%v", err)
		})
	}
}

// Guards against a call that is written after it was reported as never sent.
func TestAbandonedCallIsNeverWritten(t *testing.T) {
	out := &outgoingCall{}
	assert.Assert(t, out.tryAbandon())
	assert.Assert(t, !out.tryStart())
	out = &outgoingCall{}
	assert.Assert(t, out.tryStart())
	assert.Assert(t, !out.tryAbandon())
}

// Guards against waiting longer than maxDialBackoff after failed dials, and
// against a client that does not reconnect after its peer has restarted.
func TestClientReconnectsToRestartedPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	c := newTestClient(t, address)
	ctx := testContext(t)
	for range 12 {
		c.mutex.Lock()
		wait := time.Until(c.retryAt)
		c.retryAt = time.Time{}
		c.mutex.Unlock()
		assert.Assert(t, wait <= maxDialBackoff)
		_, err := c.Status(ctx)
		assert.Assert(t, IsNotSent(err), "%v", err)
	}
	l, err = net.Listen("tcp", address)
	assert.NilError(t, err)
	s, err := NewServer(&fakeHandler{}, testToken)
	assert.NilError(t, err)
	go s.Serve(l)
	defer s.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := c.Status(ctx); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
}

// Guards against connections from peers with another token or protocol version,
// and against clients that do not complete the hello.
func TestInvalidHelloIsRefused(t *testing.T) {
	_, address := startServer(t, &fakeHandler{})
	wrong := NewClient(address, "another-token")
	defer wrong.Close()
	_, err := wrong.Status(testContext(t))
	assert.Equal(t, domain.KindOf(err), domain.KindUnauthorized)
	assert.Assert(t, IsNotSent(err))

	d := digestToken(testToken)
	version := binary.BigEndian.AppendUint16([]byte(helloMagic), ProtocolVersion+1)
	cases := map[string][]byte{
		"other version": append(version, d[:]...),
		"other magic":   append([]byte("GET / HTTP"), make([]byte, helloBytes)...),
		"short":         []byte(helloMagic),
		"nothing":       nil,
	}
	for name, hello := range cases {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer c.Close()
			_, err = c.Write(hello)
			assert.NilError(t, err)
			assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
			answer, err := io.ReadAll(c)
			if name == "other version" {
				assert.NilError(t, err)
				assert.Equal(t, helloStatus(answer[0]), helloWrongVersion)
				return
			}
			assert.Assert(t, len(answer) == 0, "the server must close the connection")
		})
	}
}

// Guards against messages over the size limit: they must not be sent, and the
// connection must stay usable for later calls.
func TestMessageSizeIsLimited(t *testing.T) {
	big := make([]byte, MaxMessageBytes+1)
	_, address := startServer(t, &fakeHandler{
		forward: echo,
		config: func(ConfigArgs) (ConfigReply, error) {
			return ConfigReply{Records: []platform.Record{{Data: big}}}, nil
		},
	})
	relay := startRelay(t, address)
	c := newTestClient(t, relay.Address())
	ctx := testContext(t)
	for range 2 {
		_, err := c.Forward(ctx, forwardArgs(1, big))
		assert.Equal(t, domain.KindOf(err), domain.KindTooLarge)
		_, err = c.Config(ctx, ConfigArgs{})
		assert.Equal(t, domain.KindOf(err), domain.KindInternal)
		_, err = c.Forward(ctx, forwardArgs(1, big[:domain.MaxPayloadBytes]))
		assert.NilError(t, err)
	}
	assert.Equal(t, relay.Accepted(), int64(1))
}

// Guards against reading a frame whose header states a length above the limit.
func TestServerClosesConnectionOnOversizedFrame(t *testing.T) {
	_, address := startServer(t, &fakeHandler{})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	assert.NilError(t, sendHello(c, digestToken(testToken)))
	_, err = c.Write(binary.BigEndian.AppendUint32(nil, newStreamFlag|(MaxMessageBytes+1)))
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// Guards against a shutdown of the server that interrupts a call in progress.
func TestShutdownAnswersCallsInProgress(t *testing.T) {
	entered := make(chan struct{})
	release := make(chan struct{})
	s, address := startServer(t, &fakeHandler{forward: func(a ForwardArgs) (OutcomeReply, error) {
		close(entered)
		<-release
		return echo(a)
	}})
	c := newTestClient(t, address)
	ctx := testContext(t)
	answered := make(chan error, 1)
	go func() {
		_, err := c.Forward(ctx, forwardArgs(1, nil))
		answered <- err
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if !s.stopping {
			return poll.Continue("the server is not stopping yet")
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
	close(release)
	assert.NilError(t, <-answered)
	assert.NilError(t, <-stopped)
	_, err := c.Status(ctx)
	assert.Assert(t, IsNotSent(err), "%v", err)
}

// Guards against a client that keeps using a connection on which net/rpc has
// stopped reading because a reply could not be decoded.
func TestConnectionWithUndecodableReplyIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	serve := func(body any) {
		c, err := l.Accept()
		assert.Check(t, err)
		assert.Check(t, c.SetDeadline(time.Now().Add(testTimeout)))
		_, err = checkHello(c, digestToken(testToken))
		assert.Check(t, err)
		assert.Check(t, writeHelloReply(c, helloAccepted))
		assert.Check(t, newFrameReader(c).readFrame())
		assert.Check(t, newFrameWriter(c).write(&rpc.Response{}, body))
		io.Copy(io.Discard, c)
		c.Close()
	}
	var serving sync.WaitGroup
	serving.Go(func() { serve("text in place of a StatusReply") })
	c := newTestClient(t, l.Addr().String())
	_, err = c.Status(testContext(t))
	assert.Assert(t, IsNoReply(err), "%v", err)
	serving.Wait()
	serving.Go(func() { serve(StatusReply{}) })
	_, err = c.Status(testContext(t))
	assert.NilError(t, err)
	c.Close()
	serving.Wait()
}
