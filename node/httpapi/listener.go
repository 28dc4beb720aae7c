package httpapi

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// backlogWait is how long a stopping listener waits for another connection from
// the kernel's backlog before it closes. Closing resets the connections that are
// still in the backlog.
const backlogWait = 5 * time.Millisecond

// deadlineListener is a listener that supports a deadline for Accept, such as
// net.TCPListener.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// drainingListener accepts the connections in the backlog before it closes.
type drainingListener struct {
	deadlineListener
	stopping atomic.Bool
}

// Accept implements net.Listener. After stop it returns the connections in the
// backlog, then closes the listener and returns http.ErrServerClosed.
func (d *drainingListener) Accept() (net.Conn, error) {
	c, err := d.deadlineListener.Accept()
	if !d.stopping.Load() || err == nil || !isTimeout(err) {
		return c, err
	}
	// stop sets a deadline to wake up a blocked Accept. Accept again to get the
	// connections that are still in the backlog.
	d.SetDeadline(time.Now().Add(backlogWait))
	c, err = d.deadlineListener.Accept()
	if err == nil {
		return c, nil
	}
	d.Close()
	return nil, http.ErrServerClosed
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// stop makes Accept return the connections in the backlog and then close the
// listener.
func (d *drainingListener) stop() {
	if d.stopping.CompareAndSwap(false, true) {
		d.SetDeadline(time.Now())
	}
}
