package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

// Guards against lost requests and answers that belong to other requests, for
// requests of all kinds sent through every node.
func TestMixedRequests(t *testing.T) {
	c := startCluster(t, options{})
	tr := startTraffic(c, workload{seed: 101, interval: 8 * time.Millisecond, batchEvery: 20, watchEvery: 200, batchMillis: 3000, urgentMillis: 35, count: 1200})
	tr.awaitAll()
	got, _ := tr.finishAndCheck()
	assert.Equal(t, got.failures, 0)
	assert.Equal(t, got.withoutOutcome, 0)
	assert.Equal(t, got.states[domain.KindUrgent][domain.OutcomeUnknown], 0)
	assert.Assert(t, got.states[domain.KindUrgent][domain.OutcomeSucceeded] >= 1000, "%v", got.states)
	assert.Equal(t, got.states[domain.KindBatch][domain.OutcomeSucceeded], 60)
	assert.Equal(t, len(tr.acceptedRequests(domain.KindWatch)), 6)
}
