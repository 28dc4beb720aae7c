package peer

import (
	"github.com/basilferry/basilferry/core/domain"
)

// Pool holds one Client for each peer.
type Pool struct {
	clients map[domain.NodeID]*Client
}

// NewPool returns a pool for peers at the given addresses ("ip:port").
func NewPool(addresses map[domain.NodeID]string, token string) *Pool {
	p := &Pool{clients: make(map[domain.NodeID]*Client, len(addresses))}
	for id, address := range addresses {
		p.clients[id] = NewClient(address, token)
	}
	return p
}

// Client returns the client of a peer. IsNotSent is true for the error that it
// returns if the peer is unknown.
func (p *Pool) Client(id domain.NodeID) (Caller, error) {
	if c, ok := p.clients[id]; ok {
		return c, nil
	}
	return nil, newNotSentError("node " + string(id) + " is not in the settings")
}

// Close closes all clients.
func (p *Pool) Close() {
	for _, c := range p.clients {
		c.Close()
	}
}
