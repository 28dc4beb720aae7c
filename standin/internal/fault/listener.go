package fault

import (
	"net"
	"sync"
	"time"
)

// Listener wraps a listener so that its connections can be refused or blocked. A
// blocked connection stays open but transfers no data. Modes apply to whole
// connections, so HTTP/2 pings are not answered either.
type Listener struct {
	net.Listener
	mu          sync.Mutex
	mode        Mode
	conns       map[*conn]struct{}
	revertTimer *time.Timer
}

// NewListener wraps ln.
func NewListener(ln net.Listener) *Listener {
	return &Listener{Listener: ln, mode: Pass, conns: map[*conn]struct{}{}}
}

// SetMode sets how connections are handled. Refuse closes all existing connections
// and each new one immediately. Hang keeps all connections open but blocked. If
// duration is positive, the mode changes back to Pass after that time.
func (l *Listener) SetMode(m Mode, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setMode(m)
	if l.revertTimer != nil {
		l.revertTimer.Stop()
		l.revertTimer = nil
	}
	if duration > 0 {
		l.revertTimer = time.AfterFunc(duration, func() { l.SetMode(Pass, 0) })
	}
}

func (l *Listener) setMode(m Mode) {
	l.mode = m
	for c := range l.conns {
		if m == Refuse {
			c.abort()
			continue
		}
		c.setBlocked(m == Hang)
	}
}

// SilenceEstablished blocks the existing connections permanently. New connections are
// not affected.
func (l *Listener) SilenceEstablished() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.blockPermanently()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.wrapConn(raw); c != nil {
			return c, nil
		}
	}
}

func (l *Listener) wrapConn(raw net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == Refuse {
		raw.Close()
		return nil
	}
	c := &conn{Conn: raw, listener: l, closed: make(chan struct{}), changed: make(chan struct{})}
	c.blocked = l.mode == Hang
	l.conns[c] = struct{}{}
	return c
}

func (l *Listener) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection whose reads and writes block while blocked is true.
type conn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once
	closed    chan struct{}

	mu                 sync.Mutex
	blocked            bool
	permanentlyBlocked bool
	changed            chan struct{}
}

func (c *conn) setBlocked(blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = blocked || c.permanentlyBlocked
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *conn) blockPermanently() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permanentlyBlocked = true
	c.blocked = true
}

// awaitUnblocked waits until blocked is false. It returns false if the connection is
// closed first.
func (c *conn) awaitUnblocked() bool {
	for {
		c.mu.Lock()
		blocked, changed := c.blocked, c.changed
		c.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// Read implements net.Conn. Data that arrives while the connection is blocked is
// returned when it is no longer blocked.
func (c *conn) Read(p []byte) (int, error) {
	if !c.awaitUnblocked() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if !c.awaitUnblocked() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.awaitUnblocked() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.removeConn(c)
	return c.abort()
}

func (c *conn) abort() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
