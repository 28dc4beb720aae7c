package workerclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/platform/wire"
	"github.com/basilferry/basilferry/standin/worker"
	"gotest.tools/v3/assert"
)

func isMismatch(err error, target **MismatchError) bool { return errors.As(err, target) }

// relay forwards TCP connections. freeze stops the forwarding on the existing
// connections; later connections are forwarded.
type relay struct {
	listener net.Listener
	target   string
	// dials is the number of forwarded connections.
	dials  atomic.Int64
	mu     sync.Mutex
	frozen []*atomic.Bool
	conns  []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		r.dials.Add(1)
		frozen := &atomic.Bool{}
		r.mu.Lock()
		r.frozen = append(r.frozen, frozen)
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go forward(in, out, frozen)
		go forward(out, in, frozen)
	}
}

func forward(from, to net.Conn, frozen *atomic.Bool) {
	buffer := make([]byte, 1<<15)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if frozen.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// freeze stops the forwarding on the existing connections without closing them.
func (r *relay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.frozen {
		s.Store(true)
	}
}

// Guards against calls that keep using a connection that delivers no data any
// more.
func TestUnresponsiveConnectionIsRedialled(t *testing.T) {
	f := newFixture(t, true)
	f.attach(epoch)
	r := newRelay(t, f.server.Address().String())
	client := New(r.listener.Addr().String())
	defer client.Close()
	f.client = client
	result := f.startRun(f.request(1, domain.KindUrgent, `{"duration_ms":1000}`))
	r.freeze()
	start := time.Now()
	failed := <-result
	took := time.Since(start)
	assert.Equal(t, domain.KindOf(failed.err), domain.KindUnavailable)
	assert.Assert(t, !IsNotSent(failed.err))
	assert.Assert(t, took > 100*time.Millisecond && took < 5*time.Second, "took %v", took)
	t.Logf("the call on the unresponsive connection failed after %v", took)
	f.clock.Advance(time.Second)
	assert.Equal(t, f.lookup(f.request(1, domain.KindUrgent, "").Task.ID).Attempt, 1)
	assert.Equal(t, r.dials.Load(), int64(2))
}

// Guards against an injected connection fault of the stand-in worker that also
// affects connections that are made after it.
func TestConnectionFaultSparesNewConnections(t *testing.T) {
	f := newFixture(t, true)
	f.attach(epoch)
	f.server.SilenceEstablished()
	_, err := f.client.Attach(f.ctx, platform.AttachRequest{Epoch: epoch, Owner: "n1"})
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
	f.attach(epoch)
}

// Guards against one connection per call, which would exhaust the worker's
// connections.
func TestCallsShareOneConnection(t *testing.T) {
	f := newFixture(t, true)
	f.attach(epoch)
	r := newRelay(t, f.server.Address().String())
	client := New(r.listener.Addr().String())
	defer client.Close()
	id := f.start(f.request(1, domain.KindWatch, "")).Task.ID
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			_, err := client.Lookup(f.ctx, id)
			assert.Check(t, err)
		})
	}
	wg.Wait()
	assert.Equal(t, r.dials.Load(), int64(1))
}

// Guards against reporting "never sent" for a call that may have reached the
// worker (invariant I6 of docs/design.md), and against reporting a failed dial as
// possibly sent.
func TestNotSentIsReportedOnlyIfCertain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := New(ln.Addr().String())
	ln.Close()
	_, err = closed.Lookup(context.Background(), domain.RequestID{})
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
	assert.Assert(t, IsNotSent(err))

	f := newFixture(t, true)
	f.attach(epoch)
	f.worker.SetCallMode(worker.ModeHang)
	ctx, cancel := context.WithTimeout(f.ctx, 50*time.Millisecond)
	defer cancel()
	_, err = f.client.Lookup(ctx, f.request(1, domain.KindUrgent, "").Task.ID)
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
	assert.Assert(t, !IsNotSent(err))

	f.worker.SetCallMode(worker.ModeRefuse)
	_, err = f.client.Lookup(f.ctx, f.request(1, domain.KindUrgent, "").Task.ID)
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
	assert.Assert(t, !IsNotSent(err))
}

// Guards against damaged answers that are accepted as intact (invariant I5).
func TestDamagedAnswerIsDetected(t *testing.T) {
	body := []byte("{}")
	cases := map[wire.Part]func(h http.Header, body []byte) []byte{
		wire.PartLength:    func(_ http.Header, body []byte) []byte { return body[:1] },
		wire.PartChecksum:  func(http.Header, []byte) []byte { return []byte("[]") },
		wire.PartCallID:    func(h http.Header, b []byte) []byte { h.Set(wire.HeaderCallID, "other"); return b },
		wire.PartRequestID: func(h http.Header, b []byte) []byte { h.Set(wire.HeaderRequestID, "other"); return b },
	}
	for part, damage := range cases {
		t.Run(string(part), func(t *testing.T) {
			handler := func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				wire.SetIntegrityHeaders(rw.Header(), wire.IdentityFromHeaders(r.Header), body)
				_, _ = rw.Write(damage(rw.Header(), body))
			}
			srv := httptest.NewUnstartedServer(http.HandlerFunc(handler))
			srv.Config.Protocols = new(http.Protocols)
			srv.Config.Protocols.SetUnencryptedHTTP2(true)
			srv.Start()
			defer srv.Close()
			client := New(srv.Listener.Addr().String())
			defer client.Close()
			_, err := client.Lookup(context.Background(), domain.RequestID{Shard: domain.ShardID{Domain: "a"}})
			var mismatch *MismatchError
			assert.Assert(t, isMismatch(err, &mismatch), "%v", err)
			assert.Equal(t, mismatch.Part, part)
			assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
		})
	}
}
