package scheduler

import (
	"time"

	"github.com/basilferry/basilferry/core/fleet"
)

const (
	// maxBestEffortPlanShare is the largest share of time that planning rounds with
	// best-effort tasks may take. Callers of short requests wait for the rest.
	maxBestEffortPlanShare = 0.15
	// maxBestEffortPlanDelay is the longest time that best-effort tasks wait for such
	// a round. Their jobs have about a second to spare.
	maxBestEffortPlanDelay = 250 * time.Millisecond
)

// bestEffortPace decides which planning rounds include best-effort tasks. With many
// of them waiting for capacity, one round rates every worker for many steps. If each
// round did, short requests would wait for it.
type bestEffortPace struct {
	// next is the earliest time of the next round with best-effort tasks.
	next fleet.Instant
	// included is true if the current round includes best-effort tasks, and used if
	// there were any. deferred is true if a round has left some to a later one.
	included, used, deferred bool
}

func (p *bestEffortPace) startRound(now fleet.Instant) {
	p.included, p.used = now >= p.next, false
	if p.included {
		p.deferred = false
	}
}

// admit reports whether the current round includes best-effort tasks. It is called
// for each step with such tasks.
func (p *bestEffortPace) admit() bool {
	p.used = p.used || p.included
	p.deferred = p.deferred || !p.included
	return p.included
}

// isDue reports whether best-effort tasks were left to a round that may take place
// now.
func (p *bestEffortPace) isDue(now fleet.Instant) bool { return p.deferred && now >= p.next }

// finishRound sets the earliest time of the next round with best-effort tasks, after
// a call of Advance that began at the given time and took the given time.
func (p *bestEffortPace) finishRound(began fleet.Instant, took time.Duration) {
	if !p.used {
		return
	}
	p.used = false
	p.next = began + took + min(time.Duration(float64(took)*(1/maxBestEffortPlanShare-1)), maxBestEffortPlanDelay)
}

// ObserveRound records how long the call of Advance at the given time took. The
// driver measures it, because the time depends on the machine.
func (s *Scheduler) ObserveRound(began fleet.Instant, took time.Duration) {
	s.bestEffort.finishRound(began, took)
}
