package capacity

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// window is how long a line at a real rate is measured, after warmUp.
const (
	window      = 1200 * time.Millisecond
	warmUp      = 500 * time.Millisecond
	quickWindow = 100 * time.Millisecond
	quickWarmUp = 50 * time.Millisecond
)

func (o Options) window() time.Duration {
	if o.Quick {
		return quickWindow
	}
	return window
}

func (o Options) warmUp() time.Duration {
	if o.Quick {
		return quickWarmUp
	}
	return warmUp
}

// counter counts the bytes of connections, without TCP and IP headers.
type counter struct{ bytes atomic.Int64 }

// listen returns a listener whose connections are counted.
func (c *counter) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countedListener{Listener: l, counter: c}, nil
}

type countedListener struct {
	net.Listener
	counter *counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, counter: l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// spent is what one second of a rig took.
type spent struct{ micros, bytes float64 }

func cpuOf(s spent) float64   { return s.micros }
func bytesOf(s spent) float64 { return s.bytes }

// over measures a window after the warm-up of a rig that runs by itself.
func (c *counter) over(o Options) spent {
	time.Sleep(o.warmUp())
	cpu, bytes, start := cpuTime(), c.bytes.Load(), time.Now()
	time.Sleep(o.window())
	seconds := time.Since(start).Seconds()
	return spent{
		micros: float64(cpuTime()-cpu) / float64(time.Microsecond) / seconds,
		bytes:  float64(c.bytes.Load()-bytes) / seconds,
	}
}

// arrivals calls f at random times with a mean rate until ctx ends. Each call
// has its own goroutine, and all have ended when arrivals returns.
func arrivals(ctx context.Context, perSecond float64, f func()) {
	random := rand.New(rand.NewPCG(1, uint64(perSecond)))
	var calls sync.WaitGroup
	defer calls.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if !pause(ctx, time.Until(next)) {
			return
		}
		calls.Go(f)
	}
}

// pause returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
