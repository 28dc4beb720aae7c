package e2e

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// pauseLength is longer than the lease of 4 s, so that the sessions of a
// paused owner expire and its shards get another owner.
const pauseLength = 8 * time.Second

// Guards against repeats, overlaps and false reports when the owner of a shard
// is lost with its memory, and against a shard that stays without an owner.
func TestKillOwner(t *testing.T) {
	knownRed(t, "TestKillOwner")
	c := startCluster(t, options{})
	tr := startTraffic(c, usualMix(201))
	tr.awaitRan(150)
	for range 2 {
		n, s := c.owner(domains[0])
		at := time.Now()
		n.proc.kill()
		gap := tr.awaitServed(s, at)
		t.Logf("shard %s serves again %s after kill -9 of %s", s, gap, n.ID)
		assert.Check(t, gap < maxServiceGap)
		c.start(n)
		c.awaitNode(n)
		tr.awaitRan(100)
	}
	tr.settle()
}

// Guards against an owner that acts on its old view after it was stopped for
// longer than the lease.
func TestPausedOwner(t *testing.T) {
	knownRed(t, "TestPausedOwner")
	c := startCluster(t, options{})
	tr := startTraffic(c, usualMix(301))
	tr.awaitRan(150)
	n, s := c.owner(domains[0])
	at := time.Now()
	n.proc.signal(t, syscall.SIGSTOP)
	hold(pauseLength)
	n.proc.signal(t, syscall.SIGCONT)
	gap := tr.awaitServed(s, at)
	t.Logf("shard %s serves again %s after SIGSTOP of %s", s, gap, n.ID)
	assert.Check(t, gap < maxServiceGap)
	tr.awaitRan(150)
	tr.settle()
}

// Guards against a node that starts again at once and takes itself for the
// owner that it was.
func TestKillAndRestartAtOnce(t *testing.T) {
	knownRed(t, "TestKillAndRestartAtOnce")
	c := startCluster(t, options{})
	tr := startTraffic(c, usualMix(211))
	tr.awaitRan(150)
	for range 3 {
		n, s := c.owner(domains[0])
		at := time.Now()
		n.proc.kill()
		c.start(n)
		t.Logf("shard %s serves again %s after kill -9 and restart of %s", s, tr.awaitServed(s, at), n.ID)
		c.awaitNode(n)
		tr.awaitRan(100)
	}
	tr.settle()
}

// Guards against repeats and losses when all nodes of a failure domain are lost
// for longer than the lease, so that its workers stop their tasks.
func TestKillAllNodesOfDomain(t *testing.T) {
	knownRed(t, "TestKillAllNodesOfDomain")
	c := startCluster(t, options{})
	tr := startTraffic(c, usualMix(221))
	tr.awaitRan(200)
	for _, n := range c.nodes[:nodesPerDomain] {
		n.proc.kill()
	}
	hold(2 * platform.LeaseDuration)
	back := time.Now()
	for _, n := range c.nodes[:nodesPerDomain] {
		c.start(n)
	}
	s := domain.ShardID{Domain: domains[0], Index: 0}
	t.Logf("shard %s serves again %s after the start of its nodes", s, tr.awaitServed(s, back))
	tr.awaitRan(150)
	tr.settle()
}
