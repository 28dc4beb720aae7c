package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

// Guards against batch tasks that wait forever and urgent requests that are
// refused because the shard of their id has no worker, although other shards have
// free workers.
func TestShardWithoutWorkers(t *testing.T) {
	skipIfKnownRed(t, "TestShardWithoutWorkers")
	c := startCluster(t, options{shards: []int{0, 0, 0}})
	tr := startTraffic(c, workload{seed: 102, interval: 20 * time.Millisecond, batchEvery: 10, batchMillis: 1000, urgentMillis: 35, count: 100})
	tr.awaitAll()
	got, _ := tr.finishAndCheck()
	assert.Equal(t, got.states[domain.KindUrgent][domain.OutcomeSucceeded], 90)
	assert.Equal(t, got.states[domain.KindBatch][domain.OutcomeSucceeded], 10)
}
