package interference

import (
	"fmt"
	"math"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// minShare is the lowest share of its reservation to which a batch task is
	// throttled; a task that needs less is evicted and runs elsewhere.
	minShare = 0.25
	// throttleStep divides the share with each throttle and multiplies it with
	// each release.
	throttleStep = 2
	// releaseMargin is the part of the tolerated slowdown that must not be
	// exceeded after a release. The gap to the throttle limit keeps a task
	// from being throttled and released in turn.
	releaseMargin = 0.6
)

// Limits are the estimated slowdowns of an urgent class at which to react.
type Limits struct {
	Throttle float64
	Evict    float64
}

// Action is what to do with a batch task.
type Action int

// Actions in the order in which they are tried.
const (
	None Action = iota
	Throttle
	Release
	Evict
)

// Reaction is the action on one task.
type Reaction struct {
	Action Action
	ID     domain.RequestID
	// ThrottleShare is the new share for Throttle and Release, in (0, 1].
	Share  float64
	Reason string
}

// React returns the next reaction on a worker and assumes that it is carried
// out. At most one is returned per usage lag, because the effect of the last
// one is not visible earlier.
func (m *Model) React(now time.Duration, worker domain.WorkerID, l Limits) Reaction {
	s, ok := m.workers[worker]
	if !ok || s.hasReacted && now-s.lastReaction < s.lag {
		return Reaction{}
	}
	r := m.decide(now, s, l)
	if r.Action != None {
		s.hasReacted = true
		s.lastReaction = now
	}
	return r
}

func (m *Model) decide(now time.Duration, s *workerRecord, l Limits) Reaction {
	class, slowdown := m.worstVictim(now, s)
	if slowdown <= l.Throttle {
		return m.release(now, s, l)
	}
	if st := m.worstAggressor(s, class, true); st != nil {
		st.share = max(minShare, st.share/throttleStep)
		return Reaction{Throttle, st.ID, st.share, fmt.Sprintf(
			"class %s is slowed down %.2f times by its neighbours, class %s the most: throttled to %.0f%%", class, slowdown, st.Class, st.share*100)}
	}
	if slowdown <= l.Evict {
		return Reaction{}
	}
	st := m.worstAggressor(s, class, false)
	if st == nil {
		return Reaction{}
	}
	st.evicting = true
	return Reaction{Evict, st.ID, 0, fmt.Sprintf(
		"class %s is slowed down %.2f times although its neighbours are throttled: class %s is evicted", class, slowdown, st.Class)}
}

// release doubles the share of the most throttled task if the slowdown stays
// well below the throttle limit then.
func (m *Model) release(now time.Duration, s *workerRecord, l Limits) Reaction {
	var lowest *taskRecord
	for i := range s.tasks {
		st := &s.tasks[i]
		if st.isRunning() && !st.evicting && st.share < 1 && (lowest == nil || st.share < lowest.share) {
			lowest = st
		}
	}
	if lowest == nil {
		return Reaction{}
	}
	before := lowest.share
	lowest.share = min(1, before*throttleStep)
	_, slowdown := m.worstVictim(now, s)
	if slowdown > 1+(l.Throttle-1)*releaseMargin {
		lowest.share = before
		return Reaction{}
	}
	return Reaction{Release, lowest.ID, lowest.share, fmt.Sprintf(
		"urgent classes stay below a slowdown of %.2f: share raised to %.0f%%", max(slowdown, 1), lowest.share*100)}
}

// worstVictim returns the urgent class present with the largest estimated
// slowdown.
func (m *Model) worstVictim(now time.Duration, s *workerRecord) (domain.Class, float64) {
	worst, slowdown := domain.Class(""), 1.0
	loads := s.loadsAt(now, domain.RequestID{})
	for _, v := range s.victims {
		if now-v.last > victimRetention {
			continue
		}
		sum := 0.0
		for _, l := range loads {
			sum += l.amount * m.Effect(v.class, l.class)
		}
		if f := math.Exp(sum); f > slowdown {
			worst, slowdown = v.class, f
		}
	}
	return worst, slowdown
}

// worstAggressor returns the running batch task with the largest effect on the
// class. With throttleable it must not be throttled to the lowest share yet.
func (m *Model) worstAggressor(s *workerRecord, class domain.Class, throttleable bool) *taskRecord {
	var worst *taskRecord
	most := 0.0
	for i := range s.tasks {
		st := &s.tasks[i]
		if !st.isRunning() || st.evicting || st.Kind != domain.KindBatch {
			continue
		}
		if throttleable && st.share <= minShare {
			continue
		}
		if e := st.share * m.Effect(class, st.Class); e > most {
			worst, most = st, e
		}
	}
	return worst
}
