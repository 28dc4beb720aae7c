package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/platform"
)

// Guards against claims on workers whose attempts end later than others, because an
// attempt that is late, long-running or known to be slow seems to end soon.
func TestRemainingTimeOfAnAttempt(t *testing.T) {
	const now = time.Minute
	w := fleet.New().RegisterWorker(platform.RegistryEntry{ID: "w1"})
	short := &job.Step{Count: 1, Estimate: 2 * time.Second}
	started := func(ago time.Duration) *fleet.Attempt {
		return &fleet.Attempt{Step: short, PlacedAt: now - ago - 100*time.Millisecond, StartedAt: now - ago}
	}
	withProgress := started(3 * time.Second)
	recordProgress(withProgress, 10, now-2*time.Second)
	recordProgress(withProgress, 50, now)
	stopped := started(time.Second)
	stopped.StopWanted = true
	unknown := func(ago time.Duration) *fleet.Attempt {
		r := started(ago)
		r.Step = &job.Step{Count: 1}
		return r
	}
	for name, c := range map[string]struct {
		attempt   *fleet.Attempt
		remaining time.Duration
		ends      bool
	}{
		"unknown, just started": {attempt: unknown(0), remaining: minUnknownDuration, ends: true},
		"unknown, running":      {attempt: unknown(5 * time.Second), remaining: 5 * time.Second, ends: true},
		"not started yet":       {attempt: &fleet.Attempt{Step: short, PlacedAt: now}, remaining: 2 * time.Second, ends: true},
		"earlier than expected": {attempt: started(500 * time.Millisecond), remaining: 1500 * time.Millisecond, ends: true},
		"late":                  {attempt: started(5 * time.Second), remaining: 3 * time.Second, ends: true},
		"with progress":         {attempt: withProgress, remaining: 2500 * time.Millisecond, ends: true},
		"stopped":               {attempt: stopped, remaining: restartCost, ends: true},
		"long-running":          {attempt: &fleet.Attempt{Step: &job.Step{LongRunning: true}, PlacedAt: now}},
		"of an unknown job":     {attempt: &fleet.Attempt{PlacedAt: now}},
	} {
		t.Run(name, func(t *testing.T) {
			expected := time.Duration(0)
			if c.attempt.Step != nil {
				expected = c.attempt.Step.Estimate
			}
			remaining, ends := remainingTime(w, c.attempt, expected, now)
			assert.Equal(t, ends, c.ends)
			assert.Equal(t, remaining, c.remaining)
		})
	}
}
