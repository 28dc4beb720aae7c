package dispatcher

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/scheduler"
)

func stored(id string, s ledger.Summary) scheduler.Record {
	return scheduler.Record{Job: job.ID(id), State: append(s.Record(), "tasks"...)}
}

const statusTestID = "0123456789abcdef"

// A job of hundreds of tasks, whose state is stored at each change of a task. Guards
// against a status record for each of them.
func TestStatusIsQueuedOnlyWhenClientsSeeAChange(t *testing.T) {
	q := newStatusQueue()
	active := ledger.Summary{State: job.StateActive, Started: true, Placed: true}
	records := 0
	for range 300 {
		q.addStates([]scheduler.Record{stored(statusTestID, active)})
		records += len(q.take())
	}
	assert.Equal(t, records, 1)
}

// Guards against a client that waits for the next renewal to see the end of its job,
// and against an append for each job that starts.
func TestOnlyFinalStatusesAreUrgent(t *testing.T) {
	for _, c := range []struct {
		state  job.State
		urgent bool
	}{
		{job.StatePending, false}, {job.StateActive, false}, {job.StateCompleted, true}, {job.StateFailed, true}, {job.StateCancelled, true},
	} {
		q := newStatusQueue()
		q.addStates([]scheduler.Record{stored(statusTestID, ledger.Summary{State: c.state, Started: true})})
		assert.Equal(t, q.isUrgent(), c.urgent, "%s", c.state)
		q.take()
		assert.Assert(t, !q.isUrgent())
	}
}

// A state that was taken before its job began is stored afterwards. Guards against clients
// that see the job as pending again.
func TestJobThatHasBegunIsNotShownAsPendingAgain(t *testing.T) {
	q := newStatusQueue()
	q.addBegun([]job.ID{statusTestID})
	q.addStates([]scheduler.Record{stored(statusTestID, ledger.Summary{State: job.StatePending, Started: true, Placed: true})})
	records := q.take()
	assert.Equal(t, len(records), 1)
	summary, err := ledger.DecodeSummary(records[0].Value)
	assert.NilError(t, err)
	assert.Equal(t, summary.State, job.StateActive)
	q.addStates([]scheduler.Record{stored(statusTestID, ledger.Summary{State: job.StateActive, Started: true, Placed: true})})
	assert.Equal(t, len(q.take()), 0)
}

// Guards against a queue that grows with the number of jobs in a term.
func TestForgottenJobsLeaveTheStatusQueue(t *testing.T) {
	q := newStatusQueue()
	for i := range 100 {
		id := fmt.Sprintf("%016x", i)
		q.addStates([]scheduler.Record{stored(id, ledger.Summary{State: job.StateCompleted})})
		q.forget(job.ID(id))
	}
	assert.Equal(t, len(q.queued)+len(q.take()), 0)
}

// Guards against an append of the statuses of all jobs that is over the store's limit.
func TestStatusesOfAllJobsAreTakenInParts(t *testing.T) {
	q := newStatusQueue()
	for i := range maxTakenStatuses + 1 {
		q.addStates([]scheduler.Record{stored(fmt.Sprintf("%016x", i), ledger.Summary{State: job.StateCompleted, Started: true})})
	}
	assert.Equal(t, len(q.take()), maxTakenStatuses)
	assert.Assert(t, q.isUrgent())
	assert.Equal(t, len(q.take()), 1)
	assert.Assert(t, !q.isUrgent())
}
