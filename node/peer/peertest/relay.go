// Package peertest provides a TCP relay for tests of failing connections.
package peertest

import (
	"net"
	"sync"
	"sync/atomic"
)

// Relay forwards TCP connections to a target. It can stop forwarding on existing
// connections without closing them; new connections still work.
type Relay struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup
	bytes    atomic.Int64
	accepted atomic.Int64

	mutex sync.Mutex
	conns []*relayedConn
}

// relayedConn is one relayed connection.
type relayedConn struct {
	clientConn, targetConn net.Conn
	// frozenToTarget and frozenToClient are closed when the direction stops
	// forwarding.
	frozenToTarget, frozenToClient chan struct{}
	closed                         chan struct{}
}

// NewRelay starts a relay to target ("ip:port") on 127.0.0.1.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target}
	r.running.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Bytes returns the number of bytes forwarded in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Accepted returns the number of connections that were relayed.
func (r *Relay) Accepted() int64 { return r.accepted.Load() }

func (r *Relay) accept() {
	for {
		clientConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		targetConn, err := net.Dial("tcp", r.target)
		if err != nil {
			clientConn.Close()
			continue
		}
		r.accepted.Add(1)
		r.relay(clientConn, targetConn)
	}
}

func (r *Relay) relay(clientConn, targetConn net.Conn) {
	l := &relayedConn{
		clientConn: clientConn, targetConn: targetConn,
		frozenToTarget: make(chan struct{}),
		frozenToClient: make(chan struct{}),
		closed:         make(chan struct{}),
	}
	r.mutex.Lock()
	r.conns = append(r.conns, l)
	r.mutex.Unlock()
	r.running.Go(func() { r.copy(l, targetConn, clientConn, l.frozenToTarget) })
	r.running.Go(func() { r.copy(l, clientConn, targetConn, l.frozenToClient) })
}

// copy forwards one direction until it fails or is frozen. A frozen direction
// stays open until the connection is closed.
func (r *Relay) copy(l *relayedConn, to, from net.Conn, frozen <-chan struct{}) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-frozen:
			<-l.closed
			return
		default:
		}
		if n > 0 {
			r.bytes.Add(int64(n))
			_, err2 := to.Write(buf[:n])
			if err == nil {
				err = err2
			}
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}

// Freeze stops forwarding in both directions on all existing connections.
func (r *Relay) Freeze() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, l := range r.conns {
		freeze(l.frozenToTarget)
		freeze(l.frozenToClient)
	}
}

// FreezeReplies stops forwarding from the target to the client on all existing
// connections.
func (r *Relay) FreezeReplies() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, l := range r.conns {
		freeze(l.frozenToClient)
	}
}

func freeze(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// CloseConnections closes all existing connections.
func (r *Relay) CloseConnections() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, l := range r.conns {
		l.close()
	}
	r.conns = nil
}

func (l *relayedConn) close() {
	close(l.closed)
	l.clientConn.Close()
	l.targetConn.Close()
}

// Close stops the relay and closes all its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.CloseConnections()
	r.running.Wait()
}
