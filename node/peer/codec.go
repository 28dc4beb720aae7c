package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// WriteTimeout bounds the write of one message. A peer that does not read for
// this long is treated as failed.
const WriteTimeout = 2 * time.Second

// deadlineWriter sets a deadline for each write.
type deadlineWriter struct{ conn net.Conn }

func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return w.conn.Write(p)
}

// sendState is the state of an outgoing call.
type sendState int32

const (
	// sendQueued: the call waits to be written.
	sendQueued sendState = iota
	// sendStarted: the call is being written, or has been written.
	sendStarted
	// sendFailed: the call was not written completely, so the peer cannot have
	// executed it.
	sendFailed
	// sendAbandoned: the call's context ended before the call was written.
	sendAbandoned
)

// errAbandoned is the error of a call whose context ended before it was written.
var errAbandoned = errors.New("the context of the call ended before the call was written")

// outgoingCall is the argument of a call and its state.
type outgoingCall struct {
	args  any
	state atomic.Int32
}

// tryStart marks the call as started and reports whether it may be written.
func (o *outgoingCall) tryStart() bool {
	return o.state.CompareAndSwap(int32(sendQueued), int32(sendStarted))
}

// tryAbandon abandons the call unless its write has started. It reports whether
// the call is certain not to reach the peer completely.
func (o *outgoingCall) tryAbandon() bool {
	return o.state.CompareAndSwap(int32(sendQueued), int32(sendAbandoned)) || !o.mayBeSent()
}

// mayBeSent reports whether the peer may have received the call.
func (o *outgoingCall) mayBeSent() bool { return sendState(o.state.Load()) == sendStarted }

// clientCodec implements the client's side of the protocol after the hello. The
// arguments of its calls are *outgoingCall.
type clientCodec struct {
	conn net.Conn
	w    *frameWriter
	r    *frameReader
	// onFailure is called when the connection becomes unusable.
	onFailure func()
}

func (c *clientCodec) WriteRequest(req *rpc.Request, body any) error {
	out := body.(*outgoingCall)
	if !out.tryStart() {
		return errAbandoned
	}
	err := c.w.write(req, out.args)
	if err == nil {
		return nil
	}
	out.state.Store(int32(sendFailed))
	if !errors.As(err, new(*unsendableError)) {
		c.onFailure()
	}
	return err
}

func (c *clientCodec) ReadResponseHeader(resp *rpc.Response) error {
	err := c.r.readFrame()
	if err == nil {
		err = c.r.decode(resp)
	}
	if err != nil {
		c.onFailure()
	}
	return err
}

// ReadResponseBody closes the connection on an error, because net/rpc then stops
// reading from it.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.r.decode(body)
	if err != nil {
		c.onFailure()
	}
	return err
}

func (c *clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements the server's side of the protocol after the hello.
type serverCodec struct {
	conn net.Conn
	w    *frameWriter
	r    *frameReader
	// setRequestDeadline sets the deadline for reading the next request, or
	// returns an error if the server accepts no more requests.
	setRequestDeadline func(net.Conn) error
	close              sync.Once
}

func (c *serverCodec) ReadRequestHeader(req *rpc.Request) error {
	if err := c.setRequestDeadline(c.conn); err != nil {
		return err
	}
	if err := c.r.readFrame(); err != nil {
		return err
	}
	return c.r.decode(req)
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.r.decode(body) }

func (c *serverCodec) WriteResponse(resp *rpc.Response, body any) error {
	err := c.w.write(resp, body)
	var unsendable *unsendableError
	if errors.As(err, &unsendable) {
		err = c.writeUnsendable(resp, unsendable)
	}
	if err != nil {
		c.Close()
	}
	return err
}

// writeUnsendable sends an error in place of a reply that cannot be sent. Its
// kind is always KindInternal: the call was executed, so a kind that means that
// nothing was started would be wrong.
func (c *serverCodec) writeUnsendable(resp *rpc.Response, cause *unsendableError) error {
	failed := *resp
	failed.Error = encodeError(&domain.Error{
		Kind:    domain.KindInternal,
		Message: "the reply cannot be sent: " + cause.cause.Message,
		Remedy:  "report this as a defect",
	}).Error()
	return c.w.write(&failed, struct{}{})
}

func (c *serverCodec) Close() error {
	var err error
	c.close.Do(func() { err = c.conn.Close() })
	return err
}
