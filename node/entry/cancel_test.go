package entry

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// assertDoesNotRun waits until a job that was handed in later has run, and checks that no
// task of the given one has started and that the nodes show it as cancelled.
func (c *cluster) assertDoesNotRun(id job.ID, nodes ...*testNode) {
	c.t.Helper()
	later := testJob(9999)
	assert.NilError(c.t, nodes[0].intake.Submit(context.Background(), later))
	for _, n := range nodes {
		n.awaitState(c.t, later.ID, job.StateCompleted)
		n.awaitState(c.t, id, job.StateCancelled)
	}
	for _, task := range []string{".0.0.0", ".0.0.1"} {
		assert.Equal(c.t, c.workers.StartCount(string(id)+task), 0)
	}
}

// deafStore returns no records of the requests while deaf is set.
type deafStore struct {
	platform.Store
	deaf *atomic.Bool
}

func (s deafStore) Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.ReadResult, error) {
	result, err := s.Store.Read(ctx, p, from, wait)
	if p == requestsPartition && s.deaf.Load() {
		return platform.ReadResult{}, platform.ErrRefused
	}
	return result, err
}

// A job is accepted and cancelled while the owner reads nothing, and then the history is
// dropped: the owner reads the newest record of each key, the cancellation first. Guards
// against a job that runs after its cancellation was confirmed.
func TestOwnerThatReadsACancellationBeforeItsJobDoesNotRunIt(t *testing.T) {
	c := newCluster(t, 0)
	store := deafStore{c.store, &atomic.Bool{}}
	c.nodeStore = store
	owner := c.start("n1")
	c.owner()
	c.nodeStore = c.store
	accepting := c.start("n2")
	store.deaf.Store(true)
	ctx, cancelled := context.Background(), testJob(1)
	assert.NilError(t, accepting.intake.Submit(ctx, cancelled))
	assert.NilError(t, accepting.intake.Cancel(ctx, cancelled.ID))
	assert.NilError(t, c.store.AppendAndDropHistory(requestsPartition, platform.KeyedRecord{Key: "other", Value: []byte("v")}))
	store.deaf.Store(false)
	c.waitForLog(0, `"msg":"history dropped"`)
	c.assertDoesNotRun(cancelled.ID, owner, accepting)
	assert.Assert(t, !strings.Contains(owner.log.String(), `"msg":"ownership term ended"`))
}
