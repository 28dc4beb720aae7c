package fault

import (
	"net"
	"sync"
	"time"
)

// Listener wraps a listener so that its connections can be refused or made
// silent. Modes apply to the connection, so HTTP/2 pings stay unanswered too.
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

// SetMode sets how connections are treated: with Refuse all are closed, new
// ones at once; with Hang all stay open and silent. A positive limit sets Pass
// again after that time.
func (l *Listener) SetMode(m Mode, limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setMode(m)
	if l.revertTimer != nil {
		l.revertTimer.Stop()
		l.revertTimer = nil
	}
	if limit > 0 {
		l.revertTimer = time.AfterFunc(limit, func() { l.SetMode(Pass, 0) })
	}
}

func (l *Listener) setMode(m Mode) {
	l.mode = m
	for c := range l.conns {
		if m == Refuse {
			c.abort()
			continue
		}
		c.setSilent(m == Hang)
	}
}

// SilenceEstablished makes the connections that exist now silent for good. New
// connections work.
func (l *Listener) SilenceEstablished() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silencePermanently()
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
	c.silent = l.mode == Hang
	l.conns[c] = struct{}{}
	return c
}

func (l *Listener) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection whose reads and writes block while it is silent.
type conn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once
	closed    chan struct{}

	mu        sync.Mutex
	silent    bool
	permanent bool
	changed   chan struct{}
}

func (c *conn) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent || c.permanent
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *conn) silencePermanently() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permanent = true
	c.silent = true
}

// awaitUnsilenced blocks while the connection is silent. It returns false if the
// connection was closed.
func (c *conn) awaitUnsilenced() bool {
	for {
		c.mu.Lock()
		silent, changed := c.silent, c.changed
		c.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// Read implements net.Conn. Data that arrives while the connection is silent
// is kept back until it is not.
func (c *conn) Read(p []byte) (int, error) {
	if !c.awaitUnsilenced() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if !c.awaitUnsilenced() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.awaitUnsilenced() {
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
