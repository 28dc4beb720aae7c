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
	// MaxConnections is the maximum number of open connections of a server. A
	// node has one connection from each peer; deployments are planned for fewer
	// than 400 nodes within two years.
	MaxConnections = 1024
	// ServerIdleTimeout is how long a connection may stay without requests
	// before the server closes it. It is longer than ClientIdleTimeout, so that
	// the client stops using the connection first.
	ServerIdleTimeout = 2 * time.Minute
)

// errStopping makes net/rpc stop reading requests when the server stops.
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

// NewServer returns a server that passes calls to h. The token is the peer
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

// accept serves one connection in the background, or closes it if there are too many
// or the server is stopping.
func (s *Server) accept(c net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// Above the limit, clients receive the reply that there are too many
	// connections. Above twice the limit, connections are closed without a reply.
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

// exchangeHello checks the client's hello and replies with its status.
func (s *Server) exchangeHello(c net.Conn, full bool) error {
	if err := c.SetDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return err
	}
	status, err := checkHello(c, s.digest)
	if err != nil {
		return err
	}
	if status == helloAccepted && full {
		status = helloTooManyConnections
	}
	if err := writeHelloReply(c, status); err != nil {
		return err
	}
	return helloError(status, ProtocolVersion)
}

// setRequestDeadline sets the deadline for reading the next request. It holds
// the mutex so that it cannot overwrite the deadline that Shutdown sets.
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

// Shutdown stops accepting calls, waits until the calls in progress are answered,
// and closes all connections. If ctx ends first, it returns the error of ctx;
// Close then closes the remaining connections.
func (s *Server) Shutdown(ctx context.Context) error {
	// A deadline in the past ends the wait for the next request on a connection.
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

// Close closes all connections immediately and waits until the calls in progress
// have returned.
func (s *Server) Close() {
	s.stop(func(c net.Conn) { c.Close() })
	s.serving.Wait()
}

func (s *Server) stop(closeConn func(net.Conn)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		closeConn(c)
	}
}
