package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/platform"
)

// Guards against a record of the backlog that does not reach the intake of the owner or of
// another node, and against refusals that go on when the record is not renewed.
func TestBacklogRecordReachesAllNodes(t *testing.T) {
	c := newCluster(t, 2)
	c.owner()
	pool := backlog.Pool{ID: dispatch.Pool{Service: "desk"}, Rate: 1, Work: backlog.Histogram{{Work: 1000, OnTime: 1000}}}
	summary := backlog.Summary{Pools: []backlog.Pool{pool}, Queues: []backlog.Queue{{Route: testQueue.Route, MeanWork: 1}}}
	record, err := summary.Encode()
	assert.NilError(t, err)
	c.write(requestsPartition, platform.KeyedRecord{Key: jobview.LoadKey, Value: record})
	number := 0
	for _, refuses := range []bool{true, false} {
		for _, n := range c.nodes {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				number++
				j := testJob(number)
				j.Queue.Priority = 1
				err := domain.AsError(n.intake.Submit(context.Background(), j))
				if (err != nil && err.Kind == domain.KindNotRun && err.RetryAfter > 0) == refuses {
					return poll.Success()
				}
				return poll.Continue("refused: %v", err)
			}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
		}
	}
}
