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

// settleTimeout bounds the end of all accepted tasks after the load.
const settleTimeout = 40 * time.Second

// askers is the number of lookups at once after the load.
const askers = 32

// tally counts what the callers were told and what the workers recorded
// against it.
type tally struct {
	states   map[domain.Kind]map[domain.OutcomeState]int
	failures int
	// silent are requests without any outcome.
	silent int
	// wrong are answers of another request, falseNotRun are requests that ran
	// although their callers were told that they did not, unproved are
	// requests that are said to have ran without a completed run.
	wrong, falseNotRun, unproved []string
	// notOnce are accepted batch tasks without exactly one completed run.
	notOnce []string
}

// settle ends the traffic, waits until accepted tasks ended and unknown
// outcomes had a chance to be settled, and checks the workers' records. It
// returns the counts and the records.
func (tr *traffic) settle() (tally, []worker.AttemptInterval) {
	tr.t.Helper()
	tr.end()
	tr.awaitBatch()
	tr.awaitWatches()
	tr.askAgain()
	runs := tr.c.history()
	a := app.AuditAttempts(runs, capacity)
	got := tr.tally(runs)
	tr.t.Logf("callers: %v, failed calls %d, no outcome %d; workers: %+v", got.states, got.failures, got.silent, a)
	tr.logFailures()
	assert.Check(tr.t, a.OverlappingAttempts == 0, "overlapping runs: %v", overlaps(runs))
	assert.Check(tr.t, a.RepeatedUrgentAttempts == 0, "repeated urgent runs: %v", repeats(runs))
	assert.Check(tr.t, a.OverCapacityStarts == 0, "starts over capacity")
	assert.Check(tr.t, len(got.wrong) == 0, "wrong answers: %v", got.wrong)
	assert.Check(tr.t, len(got.falseNotRun) == 0, "false not run: %v", got.falseNotRun)
	assert.Check(tr.t, len(got.unproved) == 0, "ran without a completed run: %v", got.unproved)
	assert.Check(tr.t, len(got.notOnce) == 0, "accepted tasks not completed exactly once: %v", got.notOnce)
	return got, runs
}

func (tr *traffic) logFailures() {
	shown := 0
	for _, r := range tr.all() {
		if len(r.failures) > 0 && shown < 5 {
			shown++
			tr.t.Logf("request %d (key %q): %v", r.n, r.key, r.failures)
		}
	}
}

// accepted returns the requests of the kind that were accepted.
func (tr *traffic) accepted(k domain.Kind) []*request {
	var list []*request
	for _, r := range tr.all() {
		if r.task.Kind == k && slices.ContainsFunc(r.told, func(o told) bool {
			return o.state == domain.OutcomeAccepted || o.state == domain.OutcomeRunning || o.state == domain.OutcomeSucceeded
		}) {
			list = append(list, r)
		}
	}
	return list
}

// awaitBatch waits until every accepted batch task is said to have ended.
func (tr *traffic) awaitBatch() {
	tr.t.Helper()
	open := tr.accepted(domain.KindBatch)
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		var still []*request
		for i, r := range open {
			o, err := tr.ask(r, i)
			if err == nil && o.State.Final() {
				r.add(o)
				continue
			}
			still = append(still, r)
		}
		open = still
		if len(open) == 0 {
			return poll.Success()
		}
		o, err := tr.ask(open[0], 0)
		return poll.Continue("%d accepted batch tasks have not ended, the first is %+v (error %v): %s",
			len(open), o, err, tr.c.explain(open[0].last().id))
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(2*pollDelay))
}

// explain returns the recorded reasons of the decisions about a request, for
// the message of a failure.
func (c *cluster) explain(id domain.RequestID) string {
	for _, n := range c.nodes {
		got, err := get[httpapi.ExplainResponse](n.base() + "/v1/explain/" + id.String())
		if err == nil {
			return fmt.Sprintf("%+v", got.Entries)
		}
	}
	return "no reasons are known"
}

func (tr *traffic) ask(r *request, from int) (domain.Outcome, error) {
	n := tr.c.nodes[from%len(tr.c.nodes)]
	return tr.caller.Get(context.Background(), n.base(), r.last().id)
}

// awaitWatches waits until every accepted watch has a run that lasts.
func (tr *traffic) awaitWatches() {
	tr.t.Helper()
	watches := tr.accepted(domain.KindWatch)
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		lasting := map[domain.RequestID]bool{}
		for _, run := range tr.c.history() {
			if run.Stop == nil {
				lasting[run.ID] = true
			}
		}
		for _, r := range watches {
			if !lasting[r.last().id] {
				return poll.Continue("watch %s has no run", r.last().id)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(2*pollDelay))
}

// askAgain looks up urgent requests with an unknown outcome, because a later
// "not run" must be true as well. Those with a key are sent again through
// another node, which must not run them twice.
func (tr *traffic) askAgain() {
	var unknown []*request
	for _, r := range tr.all() {
		if r.task.Kind == domain.KindUrgent && r.last().state == domain.OutcomeUnknown {
			unknown = append(unknown, r)
		}
	}
	spread(len(unknown), askers, func(i int) {
		r := unknown[i-1]
		if o, err := tr.ask(r, i); err == nil {
			r.add(o)
		}
		if r.key != "" {
			tr.sendAgain(r, i)
		}
	})
}

func (tr *traffic) sendAgain(r *request, from int) {
	n := tr.c.nodes[from%len(tr.c.nodes)]
	if o, err := tr.caller.Submit(context.Background(), n.base(), r.key, r.task); err == nil {
		r.add(o)
	}
}

func (tr *traffic) tally(runs []worker.AttemptInterval) tally {
	got := tally{states: map[domain.Kind]map[domain.OutcomeState]int{}}
	byID := map[domain.RequestID][]worker.AttemptInterval{}
	for _, run := range runs {
		byID[run.ID] = append(byID[run.ID], run)
	}
	for _, r := range tr.all() {
		got.failures += len(r.failures)
		if len(r.told) == 0 {
			got.silent++
			continue
		}
		if got.states[r.task.Kind] == nil {
			got.states[r.task.Kind] = map[domain.OutcomeState]int{}
		}
		got.states[r.task.Kind][r.last().state]++
		got.check(r, byID[r.last().id])
	}
	return got
}

// check compares what the caller of one request was told with the runs of its
// id.
func (g *tally) check(r *request, runs []worker.AttemptInterval) {
	completed := 0
	for _, run := range runs {
		if run.Completion == worker.CompletionDone {
			completed++
		}
	}
	for _, o := range r.told {
		if o.id != r.last().id {
			g.wrong = append(g.wrong, fmt.Sprintf("request %d has the ids %s and %s", r.n, o.id, r.last().id))
		}
		g.checkTold(r, o, runs, completed)
	}
	if r.task.Kind == domain.KindBatch && completed > 1 {
		g.notOnce = append(g.notOnce, fmt.Sprintf("%s: runs %s", r.last().id, describe(runs)))
	}
	accepted := r.told[0].state == domain.OutcomeAccepted || r.told[0].state == domain.OutcomeRunning
	if r.task.Kind == domain.KindBatch && (accepted || r.last().state == domain.OutcomeSucceeded) && completed != 1 {
		g.notOnce = append(g.notOnce, fmt.Sprintf("%s: told %s, runs %s", r.last().id, r.last().state, describe(runs)))
	}
}

func (g *tally) checkTold(r *request, o told, runs []worker.AttemptInterval, completed int) {
	switch o.state {
	case domain.OutcomeSucceeded:
		task := r.task
		task.ID = o.id
		if !bytes.Equal(o.answer, worker.ExpectedAnswer(task)) {
			g.wrong = append(g.wrong, fmt.Sprintf("request %d (%s) got %q", r.n, o.id, o.answer))
		}
		if completed == 0 {
			g.unproved = append(g.unproved, o.id.String())
		}
	case domain.OutcomeNotRun:
		if len(runs) > 0 {
			g.falseNotRun = append(g.falseNotRun, fmt.Sprintf("%s (%s): %s", o.id, r.task.Kind, describe(runs)))
		}
	}
}

func describe(runs []worker.AttemptInterval) string {
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

// overlaps describes tasks with more than one run, for the message of a
// failure.
func overlaps(runs []worker.AttemptInterval) []string {
	byID := map[domain.RequestID][]worker.AttemptInterval{}
	for _, run := range runs {
		byID[run.ID] = append(byID[run.ID], run)
	}
	var list []string
	for id, of := range byID {
		slices.SortFunc(of, func(x, y worker.AttemptInterval) int { return x.Start.Compare(y.Start) })
		for i := 1; i < len(of); i++ {
			if before := of[i-1].Stop; before == nil || of[i].Start.Before(*before) {
				list = append(list, fmt.Sprintf("%s: %s", id, describe(of)))
				break
			}
		}
	}
	return list
}

func repeats(runs []worker.AttemptInterval) []string {
	byID := map[domain.RequestID][]worker.AttemptInterval{}
	for _, run := range runs {
		if run.Kind == domain.KindUrgent {
			byID[run.ID] = append(byID[run.ID], run)
		}
	}
	var list []string
	for id, of := range byID {
		if len(of) > 1 {
			list = append(list, fmt.Sprintf("%s: %s", id, describe(of)))
		}
	}
	return list
}
