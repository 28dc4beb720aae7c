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

// cluster consists of two nodes of one failure domain that ping each other.
type cluster struct {
	fixtures map[domain.NodeID]*fixture
	members  map[domain.NodeID]*Members
	// unresponsive holds the nodes that reply to no pings.
	unresponsive map[domain.NodeID]bool
}

func newCluster(t *testing.T, ctx context.Context, l *memLog) *cluster {
	c := &cluster{fixtures: map[domain.NodeID]*fixture{}, members: map[domain.NodeID]*Members{}, unresponsive: map[domain.NodeID]bool{}}
	nodes := []membership.Node{{ID: "n1", Domain: testDomain}, {ID: "n2", Domain: testDomain}}
	for _, n := range nodes {
		config := membership.Config{Self: n.ID, Domains: []domain.FailureDomain{testDomain}, Nodes: nodes}
		m := NewMembers(config, nil, time.Now())
		fx := newFixtureWith(t, l, n.ID, m.OnLogRead)
		c.fixtures[n.ID], c.members[n.ID] = fx, m
		go NewClaimer(fx.Engine, m, func() domain.Version { return 0 }, log.New(io.Discard)).Run(ctx)
	}
	return c
}

// run lets the nodes ping each other every 250 ms for the duration d.
func (c *cluster) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for id, m := range c.members {
			for other, fx := range c.fixtures {
				if other == id || c.unresponsive[other] {
					continue
				}
				reply := peer.PingReply{From: other, Stopping: fx.Stopping()}
				for _, o := range fx.Owned() {
					reply.Owned = append(reply.Owned, peer.OwnedShard(o))
				}
				m.Answered(reply)
			}
		}
	}
}

// Guards against a shard without an owner or with two owners after the owner stops,
// becomes unresponsive or is wrongly suspected to be dead.
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
		// The first node replies again; the shard stays with its new owner.
		c.unresponsive[first] = false
		c.run(5 * time.Second)
		assert.Equal(t, len(c.fixtures[second].Owned()), 1)

		// The second node releases the shard, and the first one claims it.
		assert.NilError(t, c.fixtures[second].Stop(t.Context()))
		c.run(time.Second)
		assert.Equal(t, len(c.fixtures[first].Owned()), 1)
		c.fixtures[first].close(t)
	})
}
