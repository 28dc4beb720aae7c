package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
	"github.com/basilferry/basilferry/standin/logservice"
	"github.com/basilferry/basilferry/standin/vmlist"
	"github.com/basilferry/basilferry/standin/worker"
)

const (
	// maxLateStart is how long after the response to a take-out a start may
	// still occur in the failure domain (invariants I4 and I8).
	maxLateStart = 3 * time.Second
	// observationTime is how long the test then watches for starts that must
	// not occur.
	observationTime = 6 * time.Second
	// maxDrainTime bounds the time until a failure domain that was taken out
	// runs no task.
	maxDrainTime = 20 * time.Second
	vmListLag    = 2 * time.Second
	// maxProvisionalTime bounds the response time of a provisional take-out: up to
	// 5 s to wait for the nodes, and the time to detect that the log service is
	// unavailable.
	maxProvisionalTime = 8 * time.Second
)

// startsBetween returns the attempts that started on one of the workers in
// [from, to).
func startsBetween(attempts []worker.AttemptInterval, on func(domain.WorkerID) bool, from, to time.Time) []worker.AttemptInterval {
	var found []worker.AttemptInterval
	for _, r := range attempts {
		if on(r.Worker) && !r.Start.Before(from) && r.Start.Before(to) {
			found = append(found, r)
		}
	}
	return found
}

// workersIn returns a predicate that selects the workers of a failure domain.
func (c *cluster) workersIn(d domain.FailureDomain) func(domain.WorkerID) bool {
	return func(id domain.WorkerID) bool {
		for _, w := range c.workers {
			if w.id == id {
				return w.domain == d
			}
		}
		return false
	}
}

// Guards against starts in a failure domain that is taken out, against tasks that
// are lost or repeated when they move to another domain, and against requests
// that fail because the shard of their id is in the domain that is taken out.
func TestTakeOutAndBringBack(t *testing.T) {
	skipIfKnownRed(t, "TestTakeOutAndBringBack")
	c := startCluster(t, options{})
	out, in := domains[0], domains[1]
	m := faultWorkload(601)
	m.batchMillis = 8000
	tr := startTraffic(c, m)
	tr.awaitSucceeded(250)
	c.firstNodeIn(in).mustChange(t, configlog.Change{TakeOut: &out})
	inForce := time.Now()
	c.awaitDrained(out, inForce)
	c.checkIDsServed(out, in)
	waitFixed(observationTime)
	back := time.Now()
	c.firstNodeIn(out).mustChange(t, configlog.Change{BringBack: &out})
	c.awaitStart(out, back)
	tr.awaitSucceeded(100)
	got, attempts := tr.finishAndCheck()
	late := startsBetween(attempts, c.workersIn(out), inForce.Add(maxLateStart), back)
	assert.Check(t, len(late) == 0, "starts in %s while it was taken out: %s", out, describeAttempts(late))
	t.Logf("starts in %s within 3 s of the answer: %d", out, len(startsBetween(attempts, c.workersIn(out), inForce, inForce.Add(maxLateStart))))
	assert.Check(t, c.countMovedAttempts(attempts, out, in) > 0, "no batch task moved")
	assert.Equal(t, got.states[domain.KindUrgent][domain.OutcomeUnknown], 0)
}

// awaitDrained waits until no task runs in the failure domain, which was taken out
// at the given time.
func (c *cluster) awaitDrained(d domain.FailureDomain, since time.Time) {
	c.t.Helper()
	in := c.workersIn(d)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, r := range c.history() {
			if in(r.Worker) && r.Stop == nil {
				return poll.Continue("%s runs on %s", r.ID, r.Worker)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(maxDrainTime), poll.WithDelay(pollDelay))
	c.t.Logf("%s runs no task %s after the take-out", d, time.Since(since))
}

// awaitStart waits until a task has started in the failure domain, which was
// brought back at the given time.
func (c *cluster) awaitStart(d domain.FailureDomain, since time.Time) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if starts := startsBetween(c.history(), c.workersIn(d), since, time.Now()); len(starts) > 0 {
			c.t.Logf("first start in %s %s after the bring-back was sent", d, starts[0].Start.Sub(since))
			return poll.Success()
		}
		return poll.Continue("no task has started in %s", d)
	}, poll.WithTimeout(progressTimeout), poll.WithDelay(pollDelay))
}

// checkIDsServed sends a request with an id of the failure domain out, which is
// taken out, through a node of each domain. It checks that the request runs in
// the domain in and can be looked up there.
func (c *cluster) checkIDsServed(out, in domain.FailureDomain) {
	c.t.Helper()
	var ids httpapi.IDsResponse
	assert.NilError(c.t, postJSON(c.firstNodeIn(out).baseURL()+"/v1/ids", struct{}{}, &ids))
	id := ids.IDs[0]
	assert.Equal(c.t, id.Shard.Domain, out)
	task := urgentTask(0, 10)
	task.ID = id
	for _, n := range []*entryNode{c.firstNodeIn(out), c.firstNodeIn(in)} {
		o, err := n.submitWithID(id, task)
		assert.NilError(c.t, err)
		assert.Equal(c.t, o.State, domain.OutcomeSucceeded, "%+v", o)
		assert.Check(c.t, bytes.Equal(o.Answer, worker.ExpectedAnswer(task)), "%q", o.Answer)
		assert.Check(c.t, c.workersIn(in)(o.Worker), "ran on %s", o.Worker)
	}
	seen, err := getJSON[domain.Outcome](c.firstNodeIn(in).baseURL() + "/v1/requests/" + id.String())
	assert.NilError(c.t, err)
	assert.Equal(c.t, seen.State, domain.OutcomeSucceeded)
}

// submitWithID sends a request with an id that was reserved before.
func (n *entryNode) submitWithID(id domain.RequestID, task domain.Task) (domain.Outcome, error) {
	var o domain.Outcome
	payload := string(task.Payload)
	body, err := json.Marshal(httpapi.SubmitBody{
		Kind: task.Kind, Class: task.Class, Team: task.Team,
		DeadlineMS: task.Deadline.Milliseconds(), Resources: task.Resources, Payload: &payload,
	})
	if err != nil {
		return o, err
	}
	req, err := http.NewRequest(http.MethodPost, n.baseURL()+"/v1/requests", bytes.NewReader(body))
	if err != nil {
		return o, err
	}
	req.Header.Set(httpapi.IDHeader, id.String())
	resp, err := controlClient.Do(req)
	if err != nil {
		return o, err
	}
	return o, decodeResponse(resp, &o)
}

// countMovedAttempts counts the attempts in the failure domain to of batch tasks
// that also have an attempt in the failure domain from.
func (c *cluster) countMovedAttempts(attempts []worker.AttemptInterval, from, to domain.FailureDomain) int {
	ranInFrom := map[domain.RequestID]bool{}
	count := 0
	for _, r := range attempts {
		ranInFrom[r.ID] = ranInFrom[r.ID] || (r.Kind == domain.KindBatch && c.workersIn(from)(r.Worker))
	}
	for _, r := range attempts {
		if ranInFrom[r.ID] && c.workersIn(to)(r.Worker) {
			count++
		}
	}
	c.t.Logf("%d attempts of batch tasks moved from %s to %s", count, from, to)
	return count
}

// Guards against starts on a worker after the VM list has marked it as leaving.
func TestLeavingWorker(t *testing.T) {
	skipIfKnownRed(t, "TestLeavingWorker")
	c := startCluster(t, options{vmListLag: vmListLag})
	tr := startTraffic(c, faultWorkload(701))
	tr.awaitSucceeded(200)
	leaving := c.workers[0].id
	on := func(id domain.WorkerID) bool { return id == leaving }
	before := len(startsBetween(c.history(), on, time.Time{}, time.Now()))
	assert.Assert(t, before > 0, "no starts on %s before it was marked", leaving)
	marked := time.Now()
	c.controlVMList(vmlist.Control{Leaving: []domain.WorkerID{leaving}})
	waitFixed(vmListLag + maxLateStart + observationTime)
	_, attempts := tr.finishAndCheck()
	late := startsBetween(attempts, on, marked.Add(vmListLag+maxLateStart), time.Now())
	assert.Check(t, len(late) == 0, "starts on a leaving worker: %s", describeAttempts(late))
	var last time.Duration
	for _, r := range startsBetween(attempts, on, marked, time.Now()) {
		last = max(last, r.Start.Sub(marked))
	}
	t.Logf("%d starts on %s before it was marked, the last %s after the mark (lag %s)", before, leaving, last, vmListLag)
}

// Guards against starts in a failure domain after a provisional take-out, which is
// the only kind of take-out while the log service is unavailable, and against a
// provisional take-out that is lost when the log service is back.
func TestProvisionalTakeOut(t *testing.T) {
	skipIfKnownRed(t, "TestProvisionalTakeOut")
	c := startCluster(t, options{})
	out, in := domains[0], domains[1]
	tr := startTraffic(c, faultWorkload(611))
	tr.awaitSucceeded(150)
	c.controlLog(logservice.Control{Outage: ptr(logservice.ModeHang)})
	waitFixed(outageDetectionTime)
	sent := time.Now()
	status, body, err := c.firstNodeIn(in).change(configlog.Change{
		Base: c.firstNodeIn(in).configuration(t).Version, Operator: "e2e", TakeOut: &out,
	})
	answered := time.Now()
	assert.NilError(t, err)
	t.Logf("answer to the provisional take-out after %s: %+v", answered.Sub(sent), body)
	assert.Equal(t, status, http.StatusAccepted, "%+v", body)
	assert.Assert(t, body.Provisional, "%+v", body)
	assert.Check(t, answered.Sub(sent) < maxProvisionalTime)
	assert.Check(t, len(body.Missing) == 0, "reachable nodes without the provisional take-out: %v", body.Missing)
	waitFixed(maxLateStart + observationTime)
	logBack := time.Now()
	c.controlLog(logservice.Control{Outage: ptr(logservice.ModePass)})
	c.awaitTakenOut(out)
	c.awaitDrained(out, logBack)
	back := time.Now()
	c.firstNodeIn(out).mustChange(t, configlog.Change{BringBack: &out})
	c.awaitStart(out, back)
	tr.awaitSucceeded(100)
	_, attempts := tr.finishAndCheck()
	late := startsBetween(attempts, c.workersIn(out), answered.Add(maxLateStart), back)
	assert.Check(t, len(late) == 0, "starts in %s after the provisional take-out: %s", out, describeAttempts(late))
}

// awaitTakenOut waits until the take-out is in force on every node.
func (c *cluster) awaitTakenOut(d domain.FailureDomain) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, n := range c.nodes {
			if got := n.configuration(c.t); !got.TakenOut(d) {
				return poll.Continue("%s is not taken out on %s: %+v", d, n.ID, got)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(progressTimeout), poll.WithDelay(pollDelay))
}
