package e2e

import (
	"time"

	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// progressTimeout bounds the wait for successful requests while a cluster
	// recovers.
	progressTimeout = 30 * time.Second
	// maxServiceGap bounds the time until a shard serves requests again: 1 s
	// until its owner counts as dead, the time to claim ownership and attach to
	// the workers, and 5 s until a client gives up a call that the previous
	// owner had accepted.
	maxServiceGap = 10 * time.Second
)

// waitFixed waits for d, which is how long a fault or an observation lasts. Waits
// for a condition use poll.WaitOn instead.
func waitFixed(d time.Duration) { <-time.After(d) }

// awaitSucceeded waits until n more requests have succeeded.
func (tr *traffic) awaitSucceeded(n int64) {
	tr.t.Helper()
	goal := tr.succeeded.Load() + n
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		if succeeded := tr.succeeded.Load(); succeeded < goal {
			return poll.Continue("%d of %d requests succeeded", succeeded, goal)
		}
		return poll.Success()
	}, poll.WithTimeout(progressTimeout), poll.WithDelay(pollDelay))
}

// awaitServed waits until an urgent request of the shard that was sent after
// the given time succeeds. It returns how long after that time the first such
// answer arrived.
func (tr *traffic) awaitServed(s domain.ShardID, after time.Time) time.Duration {
	tr.t.Helper()
	var took time.Duration
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		at, ok := tr.firstSuccess(s, after)
		if !ok {
			return poll.Continue("no request of shard %s has succeeded since %s", s, after.Format("15:04:05.000"))
		}
		took = at.Sub(after)
		return poll.Success()
	}, poll.WithTimeout(progressTimeout), poll.WithDelay(pollDelay))
	return took
}

// firstSuccess returns when the first answer arrived to an urgent request of the
// shard that was sent after the given time and succeeded. It returns false if
// there is none.
func (tr *traffic) firstSuccess(s domain.ShardID, after time.Time) (time.Time, bool) {
	var first time.Time
	for _, r := range tr.allRequests() {
		o := r.lastOutcome()
		if o.state != domain.OutcomeSucceeded || o.id.Shard != s || r.startedAt.Before(after) || r.task.Kind != domain.KindUrgent {
			continue
		}
		if first.IsZero() || o.receivedAt.Before(first) {
			first = o.receivedAt
		}
	}
	return first, !first.IsZero()
}

// successShare returns the share of the urgent requests started in [from, to)
// that succeeded, and the number of these requests.
func (tr *traffic) successShare(from, to time.Time) (float64, int) {
	succeeded, allRequests := 0, 0
	for _, r := range tr.allRequests() {
		if r.task.Kind != domain.KindUrgent || r.startedAt.Before(from) || !r.startedAt.Before(to) {
			continue
		}
		allRequests++
		if r.lastOutcome().state == domain.OutcomeSucceeded {
			succeeded++
		}
	}
	return float64(succeeded) / float64(max(allRequests, 1)), allRequests
}
