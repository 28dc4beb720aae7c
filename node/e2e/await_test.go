package e2e

import (
	"time"

	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// progressTimeout bounds the wait for answers while a cluster recovers.
	progressTimeout = 30 * time.Second
	// maxServiceGap bounds the time until a shard serves again: 1 s until its
	// owner counts as dead, the claim and the attach, and the callers' time-out
	// of a request that the old owner held.
	maxServiceGap = 10 * time.Second
)

// hold lets a fault last for d. The length is part of the test, not a wait for
// something to happen.
func hold(d time.Duration) { <-time.After(d) }

// awaitRan waits until n more requests ran.
func (tr *traffic) awaitRan(n int64) {
	tr.t.Helper()
	goal := tr.ran.Load() + n
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		if ran := tr.ran.Load(); ran < goal {
			return poll.Continue("%d of %d requests ran", ran, goal)
		}
		return poll.Success()
	}, poll.WithTimeout(progressTimeout), poll.WithDelay(pollDelay))
}

// awaitServed waits until an urgent request of the shard that began after the
// given time ran, and returns how long after that time its answer came.
func (tr *traffic) awaitServed(s domain.ShardID, after time.Time) time.Duration {
	tr.t.Helper()
	var took time.Duration
	poll.WaitOn(tr.t, func(poll.LogT) poll.Result {
		at, ok := tr.firstRan(s, after)
		if !ok {
			return poll.Continue("no request of shard %s ran since %s", s, after.Format("15:04:05.000"))
		}
		took = at.Sub(after)
		return poll.Success()
	}, poll.WithTimeout(progressTimeout), poll.WithDelay(pollDelay))
	return took
}

func (tr *traffic) firstRan(s domain.ShardID, after time.Time) (time.Time, bool) {
	var first time.Time
	for _, r := range tr.all() {
		o := r.last()
		if o.state != domain.OutcomeSucceeded || o.id.Shard != s || r.began.Before(after) || r.task.Kind != domain.KindUrgent {
			continue
		}
		if first.IsZero() || o.at.Before(first) {
			first = o.at
		}
	}
	return first, !first.IsZero()
}

// share returns the share of urgent requests begun in [from, to) that ran, and
// their number.
func (tr *traffic) share(from, to time.Time) (float64, int) {
	ran, all := 0, 0
	for _, r := range tr.all() {
		if r.task.Kind != domain.KindUrgent || r.began.Before(from) || !r.began.Before(to) {
			continue
		}
		all++
		if r.last().state == domain.OutcomeSucceeded {
			ran++
		}
	}
	return float64(ran) / float64(max(all, 1)), all
}
