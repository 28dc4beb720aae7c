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

// finishTimeout bounds the end of all accepted tasks after the load.
const finishTimeout = 40 * time.Second

// lookupClients is the number of lookups at once after the load.
const lookupClients = 32

// auditResult counts what the callers were told and what the workers recorded
// against it.
type auditResult struct {
	states   map[domain.Kind]map[domain.OutcomeState]int
	failures int
	// withoutOutcome are requests without any outcome.
	withoutOutcome int
	// wrongAnswers are answers of another request, falseNotRun are requests that ran
	// although their callers were told that they did not, unproved are
	// requests that are said to have ran without a completed run.
	wrongAnswers, falseNotRun, unconfirmed []string
	// notCompletedOnce are accepted batch tasks without exactly one completed run.
	notCompletedOnce []string
}

// finishAndCheck ends the traffic, waits until accepted tasks ended and unknown
// outcomes had a chance to be settled, and checks the workers' records. It
// returns the counts and the records.
func (tr *traffic) finishAndCheck() (auditResult, []worker.AttemptInterval) {
	tr.t.Helper()
	tr.stop()
	tr.awaitBatchTasks()
	tr.awaitWatches()
	tr.recheckUnknown()
	runs := tr.c.history()
	a := app.AuditAttempts(runs, workerCapacity)
	got := tr.auditResult(runs)
	tr.t.Logf("callers: %v, failed calls %d, no outcome %d; workers: %+v", got.states, got.failures, got.withoutOutcome, a)
	tr.logFailures()
	assert.Check(tr.t, a.OverlappingAttempts == 0, "overlapping runs: %v", overlappingAttempts(runs))
	assert.Check(tr.t, a.RepeatedUrgentAttempts == 0, "repeated urgent runs: %v", repeatedAttempts(runs))
	assert.Check(tr.t, a.OverCapacityStarts == 0, "starts over capacity")
	assert.Check(tr.t, len(got.wrongAnswers) == 0, "wrong answers: %v", got.wrongAnswers)
	assert.Check(tr.t, len(got.falseNotRun) == 0, "false not run: %v", got.falseNotRun)
	assert.Check(tr.t, len(got.unconfirmed) == 0, "ran without a completed run: %v", got.unconfirmed)
	assert.Check(tr.t, len(got.notCompletedOnce) == 0, "accepted tasks not completed exactly once: %v", got.notCompletedOnce)
	return got, runs
}

func (tr *traffic) logFailures() {
	shown := 0
	for _, r := range tr.allRequests() {
		if len(r.failures) > 0 && shown < 5 {
			shown++
			tr.t.Logf("request %d (key %q): %v", r.n, r.key, r.failures)
		}
	}
}

// acceptedRequests returns the requests of the kind that were accepted.
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

// awaitBatchTasks waits until every accepted batch task is said to have ended.
func (tr *traffic) awaitBatchTasks() {
	tr.t.Helper()
	open := tr.acceptedRequests(domain.KindBatch)
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		var still []*request
		for i, r := range open {
			o, err := tr.lookUp(r, i)
			if err == nil && o.State.Final() {
				r.addOutcome(o)
				continue
			}
			still = append(still, r)
		}
		open = still
		if len(open) == 0 {
			return poll.Success()
		}
		o, err := tr.lookUp(open[0], 0)
		return poll.Continue("%d accepted batch tasks have not ended, the first is %+v (error %v): %s",
			len(open), o, err, tr.c.explain(open[0].lastOutcome().id))
	}, poll.WithTimeout(finishTimeout), poll.WithDelay(2*pollDelay))
}

// explain returns the recorded reasons of the decisions about a request, for
// the message of a failure.
func (c *cluster) explain(id domain.RequestID) string {
	for _, n := range c.nodes {
		got, err := getJSON[httpapi.ExplainResponse](n.baseURL() + "/v1/explain/" + id.String())
		if err == nil {
			return fmt.Sprintf("%+v", got.Entries)
		}
	}
	return "no reasons are known"
}

func (tr *traffic) lookUp(r *request, from int) (domain.Outcome, error) {
	n := tr.c.nodes[from%len(tr.c.nodes)]
	return tr.client.Get(context.Background(), n.baseURL(), r.lastOutcome().id)
}

// awaitWatches waits until every accepted watch has a run that lasts.
func (tr *traffic) awaitWatches() {
	tr.t.Helper()
	watches := tr.acceptedRequests(domain.KindWatch)
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		lasting := map[domain.RequestID]bool{}
		for _, run := range tr.c.history() {
			if run.Stop == nil {
				lasting[run.ID] = true
			}
		}
		for _, r := range watches {
			if !lasting[r.lastOutcome().id] {
				return poll.Continue("watch %s has no run", r.lastOutcome().id)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(finishTimeout), poll.WithDelay(2*pollDelay))
}

// recheckUnknown looks up urgent requests with an unknown outcome, because a later
// "not run" must be true as well. Those with a key are sent again through
// another node, which must not run them twice.
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

func (tr *traffic) resend(r *request, from int) {
	n := tr.c.nodes[from%len(tr.c.nodes)]
	if o, err := tr.client.Submit(context.Background(), n.baseURL(), r.key, r.task); err == nil {
		r.addOutcome(o)
	}
}

func (tr *traffic) auditResult(runs []worker.AttemptInterval) auditResult {
	got := auditResult{states: map[domain.Kind]map[domain.OutcomeState]int{}}
	byID := map[domain.RequestID][]worker.AttemptInterval{}
	for _, run := range runs {
		byID[run.ID] = append(byID[run.ID], run)
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

// checkRequest compares what the caller of one request was told with the runs of its
// id.
func (g *auditResult) checkRequest(r *request, runs []worker.AttemptInterval) {
	completed := 0
	for _, run := range runs {
		if run.Completion == worker.CompletionDone {
			completed++
		}
	}
	for _, o := range r.outcome {
		if o.id != r.lastOutcome().id {
			g.wrongAnswers = append(g.wrongAnswers, fmt.Sprintf("request %d has the ids %s and %s", r.n, o.id, r.lastOutcome().id))
		}
		g.checkOutcome(r, o, runs, completed)
	}
	if r.task.Kind == domain.KindBatch && completed > 1 {
		g.notCompletedOnce = append(g.notCompletedOnce, fmt.Sprintf("%s: runs %s", r.lastOutcome().id, describeAttempts(runs)))
	}
	accepted := r.outcome[0].state == domain.OutcomeAccepted || r.outcome[0].state == domain.OutcomeRunning
	if r.task.Kind == domain.KindBatch && (accepted || r.lastOutcome().state == domain.OutcomeSucceeded) && completed != 1 {
		g.notCompletedOnce = append(g.notCompletedOnce, fmt.Sprintf("%s: told %s, runs %s", r.lastOutcome().id, r.lastOutcome().state, describeAttempts(runs)))
	}
}

func (g *auditResult) checkOutcome(r *request, o outcome, runs []worker.AttemptInterval, completed int) {
	switch o.state {
	case domain.OutcomeSucceeded:
		task := r.task
		task.ID = o.id
		if !bytes.Equal(o.answer, worker.ExpectedAnswer(task)) {
			g.wrongAnswers = append(g.wrongAnswers, fmt.Sprintf("request %d (%s) got %q", r.n, o.id, o.answer))
		}
		if completed == 0 {
			g.unconfirmed = append(g.unconfirmed, o.id.String())
		}
	case domain.OutcomeNotRun:
		if len(runs) > 0 {
			g.falseNotRun = append(g.falseNotRun, fmt.Sprintf("%s (%s): %s", o.id, r.task.Kind, describeAttempts(runs)))
		}
	}
}

func describeAttempts(runs []worker.AttemptInterval) string {
	text := ""
	for _, run := range runs {
		stop := "runs"
		if run.Stop != nil {
			stop = run.Stop.Format("05.000")
		}
		text += fmt.Sprintf("[%s attempt %d %s-%s %s]", run.Worker, run.Attempt, run.Start.Format("15:04:05.000"), stop, run.Completion)
	}
	return text
}

// overlappingAttempts describes tasks with more than one run, for the message of a
// failure.
func overlappingAttempts(runs []worker.AttemptInterval) []string {
	byID := map[domain.RequestID][]worker.AttemptInterval{}
	for _, run := range runs {
		byID[run.ID] = append(byID[run.ID], run)
	}
	var list []string
	for id, of := range byID {
		slices.SortFunc(of, func(x, y worker.AttemptInterval) int { return x.Start.Compare(y.Start) })
		for i := 1; i < len(of); i++ {
			if before := of[i-1].Stop; before == nil || of[i].Start.Before(*before) {
				list = append(list, fmt.Sprintf("%s: %s", id, describeAttempts(of)))
				break
			}
		}
	}
	return list
}

func repeatedAttempts(runs []worker.AttemptInterval) []string {
	byID := map[domain.RequestID][]worker.AttemptInterval{}
	for _, run := range runs {
		if run.Kind == domain.KindUrgent {
			byID[run.ID] = append(byID[run.ID], run)
		}
	}
	var list []string
	for id, of := range byID {
		if len(of) > 1 {
			list = append(list, fmt.Sprintf("%s: %s", id, describeAttempts(of)))
		}
	}
	return list
}
