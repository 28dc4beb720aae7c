package e2e

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// pauseDuration is longer than the 4 s lease, so that the sessions of a paused
// owner expire and other nodes claim its shards.
const pauseDuration = 8 * time.Second

// Guards against repeated or overlapping attempts and wrong outcomes when the
// owner of a shard is killed, and against a shard that stays without an owner.
func TestKillOwner(t *testing.T) {
	skipIfKnownRed(t, "TestKillOwner")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(201))
	tr.awaitSucceeded(150)
	for range 2 {
		n, s := c.anyOwnerIn(domains[0])
		at := time.Now()
		n.proc.kill()
		gap := tr.awaitServed(s, at)
		t.Logf("shard %s serves again %s after kill -9 of %s", s, gap, n.ID)
		assert.Check(t, gap < maxServiceGap)
		c.startNode(n)
		c.awaitNode(n)
		tr.awaitSucceeded(100)
	}
	tr.finishAndCheck()
}

// Guards against an owner that acts on outdated state after it was paused for
// longer than the lease, and against a shard that is not served again in time.
func TestPausedOwner(t *testing.T) {
	skipIfKnownRed(t, "TestPausedOwner")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(301))
	tr.awaitSucceeded(150)
	n, s := c.anyOwnerIn(domains[0])
	at := time.Now()
	n.proc.signal(t, syscall.SIGSTOP)
	waitFixed(pauseDuration)
	n.proc.signal(t, syscall.SIGCONT)
	gap := tr.awaitServed(s, at)
	t.Logf("shard %s serves again %s after SIGSTOP of %s", s, gap, n.ID)
	assert.Check(t, gap < maxServiceGap)
	tr.awaitSucceeded(150)
	tr.finishAndCheck()
}

// Guards against a node that restarts immediately and behaves as if it still
// owned its shards.
func TestKillAndImmediateRestart(t *testing.T) {
	skipIfKnownRed(t, "TestKillAndImmediateRestart")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(211))
	tr.awaitSucceeded(150)
	for range 3 {
		n, s := c.anyOwnerIn(domains[0])
		at := time.Now()
		n.proc.kill()
		c.startNode(n)
		t.Logf("shard %s serves again %s after kill -9 and restart of %s", s, tr.awaitServed(s, at), n.ID)
		c.awaitNode(n)
		tr.awaitSucceeded(100)
	}
	tr.finishAndCheck()
}

// Guards against repeated and lost work when all nodes of a failure domain are
// down for longer than the lease, so that its workers stop their tasks.
func TestKillAllNodesOfDomain(t *testing.T) {
	skipIfKnownRed(t, "TestKillAllNodesOfDomain")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(221))
	tr.awaitSucceeded(200)
	for _, n := range c.nodes[:nodesPerDomain] {
		n.proc.kill()
	}
	waitFixed(2 * platform.LeaseDuration)
	back := time.Now()
	for _, n := range c.nodes[:nodesPerDomain] {
		c.startNode(n)
	}
	s := domain.ShardID{Domain: domains[0], Index: 0}
	t.Logf("shard %s serves again %s after the start of its nodes", s, tr.awaitServed(s, back))
	tr.awaitSucceeded(150)
	tr.finishAndCheck()
}
