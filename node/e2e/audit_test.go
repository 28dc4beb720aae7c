package e2e

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/app"
	"github.com/basilferry/basilferry/node/httpapi"
	"github.com/basilferry/basilferry/standin/worker"
)

// finishTimeout bounds how long accepted tasks take to finish after the traffic
// stops.
const finishTimeout = 40 * time.Second

// lookupClients is the number of concurrent lookups after the traffic stops.
const lookupClients = 32

// auditResult is the result of the comparison of the outcomes that clients
// received with the attempts that the workers recorded.
type auditResult struct {
	// states counts requests by kind and state of their latest outcome.
	states map[domain.Kind]map[domain.OutcomeState]int
	// failures counts the failures of all requests; see request.failures.
	failures int
	// withoutOutcome counts requests for which no call returned an outcome.
	withoutOutcome int
	// wrongAnswers describes wrong answers, and requests that got several ids.
	// falseNotRun describes requests that ran although the client was told that
	// they did not. unconfirmed lists requests reported as succeeded without a
	// completed attempt.
	wrongAnswers, falseNotRun, unconfirmed []string
	// notCompletedOnce describes batch tasks with several completed attempts, and
	// accepted ones with none.
	notCompletedOnce []string
}

// finishAndCheck stops the traffic, waits until all accepted batch tasks have
// finished and all accepted watches run, looks up unknown outcomes again, and
// checks the attempts that the workers recorded. It returns the result and the
// attempts.
func (tr *traffic) finishAndCheck() (auditResult, []worker.AttemptInterval) {
	tr.t.Helper()
	tr.stop()
	tr.awaitBatchTasks()
	tr.awaitWatches()
	tr.recheckUnknown()
	attempts := tr.c.history()
	audit := app.AuditAttempts(attempts, workerCapacity)
	got := tr.auditResult(attempts)
	tr.t.Logf("clients: %v, failed calls %d, no outcome %d; workers: %+v", got.states, got.failures, got.withoutOutcome, audit)
	tr.logFailures()
	assert.Check(tr.t, audit.OverlappingAttempts == 0, "overlapping attempts: %v", overlappingAttempts(attempts))
	assert.Check(tr.t, audit.RepeatedUrgentAttempts == 0, "repeated urgent attempts: %v", repeatedAttempts(attempts))
	assert.Check(tr.t, audit.OverCapacityStarts == 0, "starts beyond the capacity of a worker")
	assert.Check(tr.t, len(got.wrongAnswers) == 0, "wrong answers: %v", got.wrongAnswers)
	assert.Check(tr.t, len(got.falseNotRun) == 0, "reported as not run although they ran: %v", got.falseNotRun)
	assert.Check(tr.t, len(got.unconfirmed) == 0, "reported as succeeded without a completed attempt: %v", got.unconfirmed)
	assert.Check(tr.t, len(got.notCompletedOnce) == 0, "accepted tasks not completed exactly once: %v", got.notCompletedOnce)
	return got, attempts
}

// logFailures logs the failed calls of up to five requests.
func (tr *traffic) logFailures() {
	shown := 0
	for _, r := range tr.allRequests() {
		if len(r.failures) > 0 && shown < 5 {
			shown++
			tr.t.Logf("request %d (key %q): %v", r.n, r.key, r.failures)
		}
	}
}

// acceptedRequests returns the requests of the kind with an outcome that shows
// that they were accepted.
func (tr *traffic) acceptedRequests(k domain.Kind) []*request {
	var list []*request
	for _, r := range tr.allRequests() {
		if r.task.Kind == k && slices.ContainsFunc(r.outcome, func(o outcome) bool {
			return o.state == domain.OutcomeAccepted || o.state == domain.OutcomeRunning || o.state == domain.OutcomeSucceeded
		}) {
			list = append(list, r)
		}
	}
	return list
}

// awaitBatchTasks looks up every accepted batch task until its outcome is final,
// and adds that outcome to the request.
func (tr *traffic) awaitBatchTasks() {
	tr.t.Helper()
	pending := tr.acceptedRequests(domain.KindBatch)
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		var unfinished []*request
		for i, r := range pending {
			o, err := tr.lookUp(r, i)
			if err == nil && o.State.Final() {
				r.addOutcome(o)
				continue
			}
			unfinished = append(unfinished, r)
		}
		pending = unfinished
		if len(pending) == 0 {
			return poll.Success()
		}
		o, err := tr.lookUp(pending[0], 0)
		return poll.Continue("%d accepted batch tasks have not finished; the first is %+v (error %v): %s",
			len(pending), o, err, tr.c.explain(pending[0].lastOutcome().id))
	}, poll.WithTimeout(finishTimeout), poll.WithDelay(2*pollDelay))
}

// explain returns the recorded reasons of the decisions about a request, for
// failure messages.
func (c *cluster) explain(id domain.RequestID) string {
	for _, n := range c.nodes {
		got, err := getJSON[httpapi.ExplainResponse](n.baseURL() + "/v1/explain/" + id.String())
		if err == nil {
			return fmt.Sprintf("%+v", got.Entries)
		}
	}
	return "no reasons recorded"
}

// lookUp looks up the latest id of the request through the node with the index
// from, modulo the number of nodes.
func (tr *traffic) lookUp(r *request, from int) (domain.Outcome, error) {
	n := tr.c.nodes[from%len(tr.c.nodes)]
	return tr.client.Get(context.Background(), n.baseURL(), r.lastOutcome().id)
}

// awaitWatches waits until every accepted watch has a running attempt.
func (tr *traffic) awaitWatches() {
	tr.t.Helper()
	watches := tr.acceptedRequests(domain.KindWatch)
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		running := map[domain.RequestID]bool{}
		for _, attempt := range tr.c.history() {
			if attempt.Stop == nil {
				running[attempt.ID] = true
			}
		}
		for _, r := range watches {
			if !running[r.lastOutcome().id] {
				return poll.Continue("watch %s has no running attempt", r.lastOutcome().id)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(finishTimeout), poll.WithDelay(2*pollDelay))
}

// recheckUnknown looks up urgent requests whose latest outcome is unknown,
// because a later "not run" must be true as well. Requests with an idempotency
// key are also sent again, which must not run them twice.
func (tr *traffic) recheckUnknown() {
	var unknown []*request
	for _, r := range tr.allRequests() {
		if r.task.Kind == domain.KindUrgent && r.lastOutcome().state == domain.OutcomeUnknown {
			unknown = append(unknown, r)
		}
	}
	forEachConcurrently(len(unknown), lookupClients, func(i int) {
		r := unknown[i-1]
		if o, err := tr.lookUp(r, i); err == nil {
			r.addOutcome(o)
		}
		if r.key != "" {
			tr.resend(r, i)
		}
	})
}

// resend sends the request again with its key, through the node with the index
// from, modulo the number of nodes.
func (tr *traffic) resend(r *request, from int) {
	n := tr.c.nodes[from%len(tr.c.nodes)]
	if o, err := tr.client.Submit(context.Background(), n.baseURL(), r.key, r.task); err == nil {
		r.addOutcome(o)
	}
}

// auditResult compares the outcomes of all requests with the attempts.
func (tr *traffic) auditResult(attempts []worker.AttemptInterval) auditResult {
	got := auditResult{states: map[domain.Kind]map[domain.OutcomeState]int{}}
	byID := map[domain.RequestID][]worker.AttemptInterval{}
	for _, attempt := range attempts {
		byID[attempt.ID] = append(byID[attempt.ID], attempt)
	}
	for _, r := range tr.allRequests() {
		got.failures += len(r.failures)
		if len(r.outcome) == 0 {
			got.withoutOutcome++
			continue
		}
		if got.states[r.task.Kind] == nil {
			got.states[r.task.Kind] = map[domain.OutcomeState]int{}
		}
		got.states[r.task.Kind][r.lastOutcome().state]++
		got.checkRequest(r, byID[r.lastOutcome().id])
	}
	return got
}

// checkRequest compares the outcomes that the client of one request received
// with the attempts of its id.
func (a *auditResult) checkRequest(r *request, attempts []worker.AttemptInterval) {
	completed := 0
	for _, attempt := range attempts {
		if attempt.Completion == worker.CompletionDone {
			completed++
		}
	}
	for _, o := range r.outcome {
		if o.id != r.lastOutcome().id {
			a.wrongAnswers = append(a.wrongAnswers, fmt.Sprintf("request %d has the ids %s and %s", r.n, o.id, r.lastOutcome().id))
		}
		a.checkOutcome(r, o, attempts, completed)
	}
	if r.task.Kind == domain.KindBatch && completed > 1 {
		a.notCompletedOnce = append(a.notCompletedOnce, fmt.Sprintf("%s: attempts %s", r.lastOutcome().id, describeAttempts(attempts)))
	}
	accepted := r.outcome[0].state == domain.OutcomeAccepted || r.outcome[0].state == domain.OutcomeRunning
	if r.task.Kind == domain.KindBatch && (accepted || r.lastOutcome().state == domain.OutcomeSucceeded) && completed != 1 {
		a.notCompletedOnce = append(a.notCompletedOnce, fmt.Sprintf("%s: reported as %s, attempts %s", r.lastOutcome().id, r.lastOutcome().state, describeAttempts(attempts)))
	}
}

// checkOutcome compares one outcome of a request with the attempts of its id, of
// which the given number completed.
func (a *auditResult) checkOutcome(r *request, o outcome, attempts []worker.AttemptInterval, completed int) {
	switch o.state {
	case domain.OutcomeSucceeded:
		task := r.task
		task.ID = o.id
		if !bytes.Equal(o.answer, worker.ExpectedAnswer(task)) {
			a.wrongAnswers = append(a.wrongAnswers, fmt.Sprintf("request %d (%s) got %q", r.n, o.id, o.answer))
		}
		if completed == 0 {
			a.unconfirmed = append(a.unconfirmed, o.id.String())
		}
	case domain.OutcomeNotRun:
		if len(attempts) > 0 {
			a.falseNotRun = append(a.falseNotRun, fmt.Sprintf("%s (%s): %s", o.id, r.task.Kind, describeAttempts(attempts)))
		}
	}
}

func describeAttempts(attempts []worker.AttemptInterval) string {
	text := ""
	for _, attempt := range attempts {
		stop := "running"
		if attempt.Stop != nil {
			stop = attempt.Stop.Format("05.000")
		}
		text += fmt.Sprintf("[%s attempt %d %s-%s %s]", attempt.Worker, attempt.Attempt, attempt.Start.Format("15:04:05.000"), stop, attempt.Completion)
	}
	return text
}

// overlappingAttempts describes the tasks with overlapping attempts, for
// failure messages.
func overlappingAttempts(attempts []worker.AttemptInterval) []string {
	byID := map[domain.RequestID][]worker.AttemptInterval{}
	for _, attempt := range attempts {
		byID[attempt.ID] = append(byID[attempt.ID], attempt)
	}
	var list []string
	for id, ofTask := range byID {
		slices.SortFunc(ofTask, func(x, y worker.AttemptInterval) int { return x.Start.Compare(y.Start) })
		for i := 1; i < len(ofTask); i++ {
			if before := ofTask[i-1].Stop; before == nil || ofTask[i].Start.Before(*before) {
				list = append(list, fmt.Sprintf("%s: %s", id, describeAttempts(ofTask)))
				break
			}
		}
	}
	return list
}

// repeatedAttempts describes the urgent requests with more than one attempt,
// for failure messages.
func repeatedAttempts(attempts []worker.AttemptInterval) []string {
	byID := map[domain.RequestID][]worker.AttemptInterval{}
	for _, attempt := range attempts {
		if attempt.Kind == domain.KindUrgent {
			byID[attempt.ID] = append(byID[attempt.ID], attempt)
		}
	}
	var list []string
	for id, ofTask := range byID {
		if len(ofTask) > 1 {
			list = append(list, fmt.Sprintf("%s: %s", id, describeAttempts(ofTask)))
		}
	}
	return list
}
