package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	// MaxConnections bounds the connections that a server holds. A node has
	// one connection from each peer; the two-year size has fewer than 400
	// nodes.
	MaxConnections = 1024
	// ServerIdleTimeout closes a connection that carries no request for so
	// long. It is longer than ClientIdleTimeout, so that the client stops
	// using the connection first.
	ServerIdleTimeout = 2 * time.Minute
)

// errStopping ends the reading of requests on a planned stop.
var errStopping = errors.New("the server is stopping")

// Server answers the calls of other nodes.
type Server struct {
	rpc    *rpc.Server
	digest tokenDigest

	mutex    sync.Mutex
	stopping bool
	listener net.Listener
	conns    map[net.Conn]struct{}
	serving  sync.WaitGroup
}

// NewServer returns a server that hands calls to h. The token is the peer
// token of the settings.
func NewServer(h Handler, token string) (*Server, error) {
	s := &Server{
		rpc:    rpc.NewServer(),
		digest: digestToken(token),
		conns:  make(map[net.Conn]struct{}),
	}
	if err := s.rpc.RegisterName(serviceName, &methods{h: h}); err != nil {
		return nil, fmt.Errorf("register the peer calls: %w", err)
	}
	if err := s.rpc.RegisterName(probeService, &probeMethods{}); err != nil {
		return nil, fmt.Errorf("register the probe call: %w", err)
	}
	return s, nil
}

// Serve accepts connections until Shutdown or Close, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if !s.setListener(l) {
		return l.Close()
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return s.acceptError(err)
		}
		s.accept(c)
	}
}

func (s *Server) setListener(l net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listener = l
	return !s.stopping
}

func (s *Server) acceptError(err error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return nil
	}
	return fmt.Errorf("accept peer connections: %w", err)
}

// accept serves one connection in the background.
func (s *Server) accept(c net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// Clients up to twice the limit are told that there are too many
	// connections; the others are closed.
	if s.stopping || len(s.conns) >= 2*MaxConnections {
		c.Close()
		return
	}
	full := len(s.conns) >= MaxConnections
	s.conns[c] = struct{}{}
	s.serving.Add(1)
	go s.serve(c, full)
}

func (s *Server) serve(c net.Conn, full bool) {
	defer s.serving.Done()
	defer s.removeConn(c)
	if err := s.exchangeHello(c, full); err != nil {
		return
	}
	s.rpc.ServeCodec(&serverCodec{
		conn:               c,
		w:                  newFrameWriter(deadlineWriter{c}),
		r:                  newFrameReader(c),
		setRequestDeadline: s.setRequestDeadline,
	})
}

// exchangeHello checks the client's hello and tells the client why it is refused.
func (s *Server) exchangeHello(c net.Conn, full bool) error {
	if err := c.SetDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return err
	}
	status, err := checkHello(c, s.digest)
	if err != nil {
		return err
	}
	if status == helloAccepted && full {
		status = helloTooMany
	}
	if err := writeHelloReply(c, status); err != nil {
		return err
	}
	return helloError(status, ProtocolVersion)
}

// setRequestDeadline sets the time limit for the next request. It holds the mutex so that it
// cannot undo the deadline that Shutdown sets.
func (s *Server) setRequestDeadline(c net.Conn) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return errStopping
	}
	return c.SetReadDeadline(time.Now().Add(ServerIdleTimeout))
}

func (s *Server) removeConn(c net.Conn) {
	c.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
}

// Shutdown stops taking calls, waits until the calls in progress are answered,
// and closes all connections. It returns the error of ctx if that ends first;
// Close then ends the rest.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop(func(c net.Conn) { c.SetReadDeadline(time.Unix(1, 0)) })
	done := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all connections at once and waits until the calls in progress
// have returned.
func (s *Server) Close() {
	s.stop(func(c net.Conn) { c.Close() })
	s.serving.Wait()
}

func (s *Server) stop(end func(net.Conn)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		end(c)
	}
}
