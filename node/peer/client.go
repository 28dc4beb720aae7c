package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// DialTimeout bounds a dial including its hello.
	DialTimeout = 500 * time.Millisecond
	// ClientIdleTimeout is how long a connection may stay idle before the
	// client stops using it.
	ClientIdleTimeout = time.Minute
	// minDialBackoff and maxDialBackoff bound the time after a failed dial
	// during which calls fail immediately.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
)

// Client makes calls to one peer over one connection, which it dials when a
// call needs it. It is safe for concurrent use.
type Client struct {
	address string
	digest  tokenDigest
	ctx     context.Context
	cancel  context.CancelFunc
	dials   sync.WaitGroup

	mutex sync.Mutex
	// current is the latest connection, and dialing the dial in progress; either
	// may be nil.
	current *conn
	dialing *dial
	backoff *backoff.ExponentialBackOff
	// retryAt is the earliest time of the next dial, and lastErr the error of
	// the last one.
	retryAt time.Time
	lastErr error
}

// dial is a dial in progress, shared by the calls that wait for it. conn and
// err are set once done is closed.
type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

var _ Caller = (*Client)(nil)

// NewClient returns a client for the peer at address ("ip:port"). The token is
// the peer token of the settings. No connection is made yet.
func NewClient(address, token string) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		address: address,
		digest:  digestToken(token),
		ctx:     ctx,
		cancel:  cancel,
		backoff: &backoff.ExponentialBackOff{
			InitialInterval:     minDialBackoff,
			RandomizationFactor: backoff.DefaultRandomizationFactor,
			Multiplier:          2,
			MaxInterval:         maxDialBackoff,
		},
	}
}

// Close closes the connection and fails all pending calls. Later calls return
// an error for which IsNotSent is true.
func (c *Client) Close() {
	c.cancel()
	c.dials.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current != nil {
		c.current.close()
		c.current = nil
	}
}

// call makes one call. If the call was not sent because the connection failed
// before, it is made once more over a new connection.
func (c *Client) call(ctx context.Context, method string, args, reply any) error {
	n, err := c.connect(ctx)
	if err != nil {
		return err
	}
	err = n.call(ctx, method, args, reply)
	if !IsNotSent(err) || ctx.Err() != nil {
		return err
	}
	n, err = c.connect(ctx)
	if err != nil {
		return err
	}
	return n.call(ctx, method, args, reply)
}

// ping makes one call and closes the connection if no reply arrives within
// PingTimeout.
func (c *Client) ping(ctx context.Context, args PingArgs, reply *PingReply) error {
	n, err := c.connect(ctx)
	if err != nil {
		return err
	}
	pingCtx, cancel := context.WithTimeout(ctx, PingTimeout)
	defer cancel()
	err = n.call(pingCtx, serviceName+".Ping", args, reply)
	if pingCtx.Err() != nil && ctx.Err() == nil && (IsNoReply(err) || IsNotSent(err)) {
		n.closeUnresponsive()
	}
	return err
}

// connect returns a usable connection. IsNotSent is true for all its errors.
func (c *Client) connect(ctx context.Context) (*conn, error) {
	n, d, err := c.connectionOrDial()
	if d == nil {
		return n, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, newNotSentError("the peer at " + c.address + " was not connected in time: " + ctx.Err().Error())
	}
}

// connectionOrDial returns the current connection, a dial to wait for, or the
// error of the last dial if the next one is not due yet.
func (c *Client) connectionOrDial() (*conn, *dial, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ctx.Err() != nil {
		return nil, nil, newNotSentError("the client of the peer at " + c.address + " is closed")
	}
	if c.current != nil && c.current.usable() {
		return c.current, nil, nil
	}
	if c.dialing != nil {
		return nil, c.dialing, nil
	}
	if c.lastErr != nil && time.Now().Before(c.retryAt) {
		return nil, nil, c.lastErr
	}
	if c.current != nil {
		c.current.close()
		c.current = nil
	}
	c.dialing = &dial{done: make(chan struct{})}
	c.dials.Add(1)
	go c.dial(c.dialing)
	return nil, c.dialing, nil
}

// dial connects in the background, so that a call whose context ends does not
// cancel the dial for other calls.
func (c *Client) dial(d *dial) {
	defer c.dials.Done()
	n, err := c.open()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dialing = nil
	if err != nil {
		c.lastErr = dialError(c.address, err)
		c.retryAt = time.Now().Add(min(c.backoff.NextBackOff(), maxDialBackoff))
		d.err = c.lastErr
	} else {
		c.lastErr = nil
		c.backoff.Reset()
		c.current = n
		d.conn = n
	}
	close(d.done)
}

// open dials and sends the hello within DialTimeout.
func (c *Client) open() (*conn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, DialTimeout)
	defer cancel()
	socket, err := new(net.Dialer).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { socket.Close() })
	err = sendHello(socket, c.digest)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		socket.Close()
		return nil, err
	}
	return newConn(socket), nil
}

// dialError adds the address of the peer and keeps the error kind of a refused
// hello.
func dialError(address string, err error) error {
	typed := domain.AsError(err)
	if typed.Kind == domain.KindInternal {
		return newNotSentError("the peer at " + address + " cannot be reached: " + err.Error())
	}
	return &notSentError{&domain.Error{
		Kind:    typed.Kind,
		Message: "the peer at " + address + " refused the connection: " + typed.Message,
		Remedy:  typed.Remedy,
	}}
}
