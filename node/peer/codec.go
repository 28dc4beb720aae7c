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
// so long has failed.
const WriteTimeout = 2 * time.Second

// deadlineWriter gives each write a time limit.
type deadlineWriter struct{ conn net.Conn }

func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return w.conn.Write(p)
}

// sendState is how far an outgoing call has come.
type sendState int32

const (
	// sendQueued: the call waits for its turn.
	sendQueued sendState = iota
	// sendStarted: the call is written, or has been.
	sendStarted
	// sendFailed: the call was not written completely, so the peer cannot have
	// carried it out.
	sendFailed
	// sendAbandoned: the caller left before the call was written.
	sendAbandoned
)

// errAbandoned is the error of a call whose caller left before it was written.
var errAbandoned = errors.New("the caller left before the call was written")

// outgoingCall is a call's argument and how far the call has come.
type outgoingCall struct {
	args  any
	state atomic.Int32
}

// tryStart reports whether the call may be written.
func (o *outgoingCall) tryStart() bool {
	return o.state.CompareAndSwap(int32(sendQueued), int32(sendStarted))
}

// tryAbandon reports whether the call will surely not be written.
func (o *outgoingCall) tryAbandon() bool {
	return o.state.CompareAndSwap(int32(sendQueued), int32(sendAbandoned)) || !o.mayBeSent()
}

// mayBeSent reports whether the peer may have received the call.
func (o *outgoingCall) mayBeSent() bool { return sendState(o.state.Load()) == sendStarted }

// clientCodec is the client's side of the protocol after the hello. Arguments
// are *outgoing.
type clientCodec struct {
	conn net.Conn
	w    *frameWriter
	r    *frameReader
	// onFailure is called when the connection can no longer be used.
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

// ReadResponseBody ends the connection on an error, because net/rpc stops
// reading then.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.r.decode(body)
	if err != nil {
		c.onFailure()
	}
	return err
}

func (c *clientCodec) Close() error { return c.conn.Close() }

// serverCodec is the server's side of the protocol after the hello.
type serverCodec struct {
	conn net.Conn
	w    *frameWriter
	r    *frameReader
	// setRequestDeadline sets the time limit for the next request, or returns an error if no
	// further request is taken.
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

// writeUnsendable answers in place of a reply that cannot be sent. The kind is
// always KindInternal: the call was carried out, so a kind that tells that
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
