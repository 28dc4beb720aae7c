package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer/peertest"
)

// testToken is the peer token of all test servers.
const testToken = "test-token"

// testTimeout bounds operations that normally take far less time. It is long
// enough for a busy computer.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHandler answers Ping, Forward and Config with its functions. Lookup returns
// errNotFound.
type fakeHandler struct {
	Handler
	ping    func(PingArgs) (PingReply, error)
	forward func(ForwardArgs) (OutcomeReply, error)
	config  func(ConfigArgs) (ConfigReply, error)
}

func (h *fakeHandler) Ping(args PingArgs) (PingReply, error)          { return h.ping(args) }
func (h *fakeHandler) Forward(args ForwardArgs) (OutcomeReply, error) { return h.forward(args) }
func (h *fakeHandler) Config(args ConfigArgs) (ConfigReply, error)    { return h.config(args) }
func (h *fakeHandler) Lookup(IDArgs) (OutcomeReply, error)            { return OutcomeReply{}, errNotFound }
func (h *fakeHandler) Owners() (OwnersReply, error)                   { return OwnersReply{}, nil }
func (h *fakeHandler) Status() (StatusReply, error)                   { return StatusReply{}, nil }

var errNotFound = &domain.Error{Kind: domain.KindNotFound, Message: "none", Remedy: "look elsewhere", RequestID: "a-0-1-1"}

// startServer serves h until the test ends and returns the server and its
// address.
func startServer(t testing.TB, h Handler) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, err := NewServer(h, testToken)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		assert.NilError(t, <-done)
	})
	return s, l.Addr().String()
}

func startRelay(t testing.TB, target string) *peertest.Relay {
	t.Helper()
	r, err := peertest.NewRelay(target)
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func newTestClient(t testing.TB, address string) *Client {
	t.Helper()
	c := NewClient(address, testToken)
	t.Cleanup(c.Close)
	return c
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func testID(seq uint64) domain.RequestID {
	return domain.RequestID{Shard: domain.ShardID{Domain: "larissa"}, Epoch: 7, Seq: seq}
}

func forwardArgs(seq uint64, payload []byte) ForwardArgs {
	id := testID(seq)
	return ForwardArgs{Shard: id.Shard, Task: domain.Task{ID: id, Payload: payload}}
}

// echo answers each request with its payload.
func echo(args ForwardArgs) (OutcomeReply, error) {
	return NewOutcomeReply(domain.Outcome{ID: args.Task.ID, State: domain.OutcomeSucceeded, Answer: args.Task.Payload}), nil
}
