package router

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/settings"
)

// ownersClients replies to Owners for one node and returns an error for the
// others.
type ownersClients struct {
	peer.Caller
	live  domain.NodeID
	asked []domain.NodeID
}

func (c *ownersClients) Client(id domain.NodeID) (peer.Caller, error) {
	c.asked = append(c.asked, id)
	if id != c.live {
		return nil, &domain.Error{Kind: domain.KindUnavailable}
	}
	return c, nil
}

func (c *ownersClients) Owners(context.Context) (peer.OwnersReply, error) {
	return peer.OwnersReply{Owners: []peer.ShardOwner{{Shard: shardOf("b", 1), Node: "b3"}}}, nil
}

// Guards against requests to another failure domain that do not find the owner
// of the shard, because this node does not ping the owner, and against a new
// lookup call for each request.
func TestRemoteOwnerIsFound(t *testing.T) {
	clients := &ownersClients{live: "b2"}
	r := newRemoteOwners(settings.Cluster{
		Domains: []domain.FailureDomain{"a", "b"},
		Nodes:   []settings.NodeAddress{{ID: "a1", Domain: "a"}, {ID: "b1", Domain: "b"}, {ID: "b2", Domain: "b"}},
	}, clients)
	now := time.Now()
	r.now = func() time.Time { return now }
	for range 3 {
		node, ok := r.findOwner(t.Context(), shardOf("b", 1))
		assert.Assert(t, ok)
		assert.Equal(t, node, domain.NodeID("b3"))
	}
	_, ok := r.findOwner(t.Context(), shardOf("b", 0))
	assert.Assert(t, !ok)
	assert.DeepEqual(t, clients.asked, []domain.NodeID{"b1", "b2"})
	_, ok = r.findOwner(t.Context(), shardOf("nowhere", 0))
	assert.Assert(t, !ok)
}
