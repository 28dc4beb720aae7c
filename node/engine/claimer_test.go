package engine

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/ring"
	"github.com/basilferry/basilferry/node/peer"
)

// cluster is two nodes of one domain that ping each other.
type cluster struct {
	fixtures map[domain.NodeID]*fixture
	members  map[domain.NodeID]*Members
	// unresponsive nodes answer no pings.
	unresponsive map[domain.NodeID]bool
}

func newCluster(t *testing.T, ctx context.Context, l *memLog) *cluster {
	c := &cluster{fixtures: map[domain.NodeID]*fixture{}, members: map[domain.NodeID]*Members{}, unresponsive: map[domain.NodeID]bool{}}
	nodes := []membership.Node{{ID: "n1", Domain: testDomain}, {ID: "n2", Domain: testDomain}}
	for _, n := range nodes {
		config := membership.Config{Self: n.ID, Domains: []domain.FailureDomain{testDomain}, Nodes: nodes}
		m := NewMembers(config, nil, time.Now())
		g := newFixtureWith(t, l, n.ID, m.OnLogRead)
		c.fixtures[n.ID], c.members[n.ID] = g, m
		go NewClaimer(g.Engine, m, func() domain.Version { return 0 }, log.New(io.Discard)).Run(ctx)
	}
	return c
}

// run lets time pass with a ping every 250 ms.
func (c *cluster) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for id, m := range c.members {
			for other, g := range c.fixtures {
				if other == id || c.unresponsive[other] {
					continue
				}
				reply := peer.PingReply{From: other, Stopping: g.Stopping()}
				for _, o := range g.Owned() {
					reply.Owned = append(reply.Owned, peer.OwnedShard(o))
				}
				m.Answered(reply)
			}
		}
	}
}

// Guards against a shard without an owner, or with two, when the owner stops,
// is suspected wrongly or does not answer any more.
func TestClaimerMovesShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCluster(t, ctx, newMemLog())
		first, _ := ring.PreferredOwner(testShard, []domain.NodeID{"n1", "n2"})
		second := domain.NodeID("n1")
		if first == "n1" {
			second = "n2"
		}
		defer c.fixtures[second].close(t)
		c.run(time.Second)
		assert.Equal(t, len(c.fixtures[first].Owned()), 1)
		owner, ok := c.members[second].Owner(testShard)
		assert.Assert(t, ok && owner == first)

		c.unresponsive[first] = true
		c.run(2 * time.Second)
		assert.Equal(t, len(c.fixtures[first].Owned()), 0)
		assert.Equal(t, len(c.fixtures[second].Owned()), 1)
		// Suspicion ends: the shard stays where it is served.
		c.unresponsive[first] = false
		c.run(5 * time.Second)
		assert.Equal(t, len(c.fixtures[second].Owned()), 1)

		// The second node hands over, and the first one takes it.
		assert.NilError(t, c.fixtures[second].Stop(t.Context()))
		c.run(time.Second)
		assert.Equal(t, len(c.fixtures[first].Owned()), 1)
		c.fixtures[first].close(t)
	})
}
