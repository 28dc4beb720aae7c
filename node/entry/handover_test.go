package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/job"
)

// An owner stops while tasks run on both workers, which respond. Guards against a release
// before the ends of their leases are stored: the tasks of a worker that is lost just then
// would wait as if the owner had granted leases after its release.
func TestPlannedStopStoresWhenAllLeasesEnd(t *testing.T) {
	t.Parallel()
	// The two workers run 8 tasks of testTaskDuration each.
	const perRound, tasks = 16, 160
	c := newCluster(t, 2)
	owner := c.owner()
	long := testJob(1)
	long.Steps = long.Steps[:1]
	long.Steps[0].Count = tasks
	assert.NilError(t, c.nodes[0].intake.Submit(context.Background(), long))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Count(owner.log.String(), `"msg":"started"`) >= 2*perRound {
			return poll.Success()
		}
		return poll.Continue("the second round has not started")
	}, poll.WithDelay(time.Millisecond))
	assert.NilError(t, owner.app.Stop(context.Background()))
	prepared := ""
	for _, line := range strings.Split(owner.log.String(), "\n") {
		if strings.Contains(line, `"msg":"hand-over prepared"`) {
			prepared = line
		}
	}
	assert.Assert(t, strings.Contains(prepared, `"workers_bounded":2`), "%s", prepared)
	for _, n := range c.nodes {
		if n != owner {
			n.awaitState(t, long.ID, job.StateCompleted)
		}
	}
	assert.DeepEqual(t, c.workers.OverlappingTasks(), []string(nil))
}
