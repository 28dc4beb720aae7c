package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// PingTimeout is how long a ping or probe may stay unanswered before its
	// connection is closed.
	PingTimeout = time.Second
	// ProbeInterval is how long a call waits for its reply before the
	// connection is probed, and the time between two probes. On a connection
	// without pings, ProbeInterval and PingTimeout together bound the time to
	// detect an unresponsive peer.
	ProbeInterval = 100 * time.Millisecond
)

// conn is one connection to a peer. Calls are multiplexed on it.
type conn struct {
	rpc *rpc.Client
	// ended is closed when the connection can no longer be used.
	ended   chan struct{}
	endOnce sync.Once
	// unresponsive is true if the connection was closed because a ping or probe
	// was not answered.
	unresponsive atomic.Bool
	probing      atomic.Bool
	// lastUsed is when the last call was made, in nanoseconds since the Unix
	// epoch.
	lastUsed atomic.Int64
}

func newConn(c net.Conn) *conn {
	n := &conn{ended: make(chan struct{})}
	n.lastUsed.Store(time.Now().UnixNano())
	n.rpc = rpc.NewClientWithCodec(&clientCodec{
		conn:      c,
		w:         newFrameWriter(deadlineWriter{c}),
		r:         newFrameReader(c),
		onFailure: func() { n.finish(c) },
	})
	return n
}

// finish marks the connection as unusable and closes its socket; net/rpc then fails
// all pending calls.
func (n *conn) finish(c net.Conn) {
	n.endOnce.Do(func() { close(n.ended) })
	c.Close()
}

// close closes the connection; net/rpc then fails all pending calls.
func (n *conn) close() {
	n.endOnce.Do(func() { close(n.ended) })
	n.rpc.Close()
}

// usable reports whether a new call may use the connection.
func (n *conn) usable() bool {
	select {
	case <-n.ended:
		return false
	default:
		return time.Now().UnixNano()-n.lastUsed.Load() < int64(ClientIdleTimeout)
	}
}

// call makes one call and waits for its reply until ctx ends.
func (n *conn) call(ctx context.Context, method string, args, reply any) error {
	n.lastUsed.Store(time.Now().UnixNano())
	out := &outgoingCall{args: args}
	done := n.startCall(method, out, reply)
	timer := time.NewTimer(ProbeInterval)
	defer timer.Stop()
	for {
		select {
		case c := <-done:
			return n.callError(out, c.Error)
		case <-ctx.Done():
			return contextError(ctx, out)
		case <-timer.C:
			n.probe()
			timer.Reset(ProbeInterval)
		}
	}
}

// startCall starts a call in the background, because net/rpc blocks while
// another call is being written.
func (n *conn) startCall(method string, out *outgoingCall, reply any) <-chan *rpc.Call {
	done := make(chan *rpc.Call, 1)
	go n.rpc.Go(method, out, reply, done)
	return done
}

// contextError returns the error of a call whose context ended before its reply
// arrived.
func contextError(ctx context.Context, out *outgoingCall) error {
	if out.tryAbandon() {
		return newNotSentError("the call was not written in time: " + ctx.Err().Error())
	}
	return newNoReplyError("the peer did not answer in time: " + ctx.Err().Error())
}

// callError converts an error of net/rpc into an error of this package.
func (n *conn) callError(out *outgoingCall, err error) error {
	if err == nil {
		return nil
	}
	var serverErr rpc.ServerError
	if errors.As(err, &serverErr) {
		return decodeError(serverErr)
	}
	var unsendable *unsendableError
	if errors.As(err, &unsendable) {
		return domain.AsError(err)
	}
	if !out.mayBeSent() {
		return newNotSentError("the connection failed before the call was written: " + err.Error())
	}
	if n.unresponsive.Load() {
		return newNoReplyError("the connection was closed because a ping was not answered")
	}
	return newNoReplyError("the connection failed before the reply arrived: " + err.Error())
}

// probe sends a call in the background to check that the peer still answers on
// the connection, and closes the connection if not. At most one probe runs at a
// time.
func (n *conn) probe() {
	if !n.probing.CompareAndSwap(false, true) {
		return
	}
	n.lastUsed.Store(time.Now().UnixNano())
	go func() {
		defer n.probing.Store(false)
		done := n.startCall(probeService+".Echo", &outgoingCall{args: Empty{}}, new(Empty))
		timer := time.NewTimer(PingTimeout)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
			n.closeUnresponsive()
		}
	}()
}

// closeUnresponsive closes a connection on which a ping or probe was not answered.
func (n *conn) closeUnresponsive() {
	n.unresponsive.Store(true)
	n.close()
}
