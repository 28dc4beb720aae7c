package capacity

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// window is how long a harness that runs in real time is measured, after warmUp
// has passed. The quick values apply with Options.Quick.
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

// byteCounter counts the bytes sent and received over connections, without TCP
// and IP headers.
type byteCounter struct{ bytes atomic.Int64 }

// listen returns a listener whose connections are counted.
func (c *byteCounter) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: l, byteCounter: c}, nil
}

type countingListener struct {
	net.Listener
	byteCounter *byteCounter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, byteCounter: l.byteCounter}, nil
}

type countingConn struct {
	net.Conn
	byteCounter *byteCounter
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.byteCounter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.byteCounter.bytes.Add(int64(n))
	return n, err
}

// resourceUse is the processor time in microseconds and the network traffic in
// bytes, per second or per call.
type resourceUse struct{ micros, bytes float64 }

func cpuOf(s resourceUse) float64   { return s.micros }
func bytesOf(s resourceUse) float64 { return s.bytes }

// measureUse returns the use per second of a harness that runs on its own,
// measured over one window after the warm-up.
func (c *byteCounter) measureUse(o Options) resourceUse {
	time.Sleep(o.warmUp())
	cpu, bytes, start := cpuTime(), c.bytes.Load(), time.Now()
	time.Sleep(o.window())
	seconds := time.Since(start).Seconds()
	return resourceUse{
		micros: float64(cpuTime()-cpu) / float64(time.Microsecond) / seconds,
		bytes:  float64(c.bytes.Load()-bytes) / seconds,
	}
}

// runPoissonArrivals calls f at random times with a mean rate until ctx ends.
// Each call has its own goroutine, and all calls have returned when
// runPoissonArrivals returns.
func runPoissonArrivals(ctx context.Context, perSecond float64, f func()) {
	random := rand.New(rand.NewPCG(1, uint64(perSecond)))
	var calls sync.WaitGroup
	defer calls.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if !sleepContext(ctx, time.Until(next)) {
			return
		}
		calls.Go(f)
	}
}

// sleepContext waits for d and returns false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
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
