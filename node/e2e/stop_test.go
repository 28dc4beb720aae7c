package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
)

// Guards against a planned stop that interrupts requests of clients behind a load
// balancer, and against a node that serves an older configuration after its
// restart.
func TestRollingRestart(t *testing.T) {
	skipIfKnownRed(t, "TestRollingRestart")
	c := startCluster(t, options{})
	quota := domain.Quota{Team: "branch-1", Weight: 3}
	version := c.nodes[0].mustChange(t, configlog.Change{Quota: &quota})
	m := faultWorkload(501)
	m.ignoreHealth = false
	tr := startTraffic(c, m)
	tr.awaitSucceeded(150)
	for _, n := range c.nodes {
		assert.Check(t, n.proc.stop(t), "%s did not exit with status 0 after a planned stop", n.ID)
		c.startNode(n)
		c.awaitNode(n)
		for _, seen := range c.nodes {
			got := seen.configuration(t).Version
			assert.Check(t, got >= version, "%s has version %d after the restart of %s", seen.ID, got, n.ID)
		}
		tr.awaitSucceeded(60)
	}
	got, _ := tr.finishAndCheck()
	assert.Equal(t, got.failures, 0, "interrupted calls")
	assert.Equal(t, got.withoutOutcome, 0, "requests without an outcome")
	assert.Equal(t, got.states[domain.KindUrgent][domain.OutcomeUnknown], 0)
	assert.Equal(t, got.states[domain.KindBatch][domain.OutcomeUnknown], 0)
}

// Guards against a planned stop that fails or lasts until its timeout while
// clients that ignore the health check keep sending requests.
func TestStopUnderConstantCalls(t *testing.T) {
	skipIfKnownRed(t, "TestStopUnderConstantCalls")
	c := startCluster(t, options{})
	tr := startTraffic(c, faultWorkload(511))
	tr.awaitSucceeded(100)
	n := c.nodes[0]
	began := time.Now()
	assert.Check(t, n.proc.stop(t), "%s did not exit with status 0 after a planned stop", n.ID)
	took := time.Since(began)
	t.Logf("the planned stop took %s", took)
	assert.Check(t, took < nodeStopTimeout)
	c.startNode(n)
	c.awaitNode(n)
	tr.awaitSucceeded(60)
	got, _ := tr.finishAndCheck()
	assert.Equal(t, got.failures, 0, "interrupted calls")
	assert.Equal(t, got.withoutOutcome, 0, "requests without an outcome")
	assert.Equal(t, got.states[domain.KindUrgent][domain.OutcomeUnknown], 0)
}

// Guards against a planned stop that lasts until its timeout because the health
// checks of load balancers count as requests.
func TestStopUnderHealthChecks(t *testing.T) {
	skipIfKnownRed(t, "TestStopUnderHealthChecks")
	c := startCluster(t, options{})
	startHealthChecks(c, frequentCheckInterval)
	n := c.nodes[0]
	began := time.Now()
	assert.Check(t, n.proc.stop(t), "%s did not exit with status 0 after a planned stop", n.ID)
	took := time.Since(began)
	t.Logf("the planned stop took %s", took)
	assert.Check(t, took < nodeStopTimeout)
}
