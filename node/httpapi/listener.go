package httpapi

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// backlogWait is how long a listener that stops waits for a further connection
// in the kernel's backlog. Closing the listener resets those connections.
const backlogWait = 5 * time.Millisecond

// deadlineListener is a listener whose Accept can be bounded, as that of TCP.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// drainingListener accepts what is in the backlog before it closes.
type drainingListener struct {
	deadlineListener
	stopping atomic.Bool
}

// Accept implements net.Listener. It returns http.ErrServerClosed after stop,
// once the backlog is empty and the listener closed.
func (d *drainingListener) Accept() (net.Conn, error) {
	c, err := d.deadlineListener.Accept()
	if !d.stopping.Load() || err == nil || !isTimeout(err) {
		return c, err
	}
	// The deadline that stop set woke a waiting Accept; this one takes what is
	// in the backlog.
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

// stop makes Accept return what is in the backlog and then close the listener.
func (d *drainingListener) stop() {
	if d.stopping.CompareAndSwap(false, true) {
		d.SetDeadline(time.Now())
	}
}
