package interference

import (
	"fmt"
	"math"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// minShare is the lowest share of its reservation to which a batch task is
	// throttled. If that is not enough, the task is evicted: it is stopped and
	// becomes pending again.
	minShare = 0.25
	// throttleStep is the factor by which each throttle divides the share and
	// each release multiplies it.
	throttleStep = 2
	// releaseMargin is the part of the tolerated slowdown above 1 that the
	// estimate may reach after a release. The gap to the throttle limit prevents
	// oscillation between throttle and release.
	releaseMargin = 0.6
)

// Limits are the estimated slowdowns of an urgent class above which batch tasks
// are throttled and evicted.
type Limits struct {
	Throttle float64
	Evict    float64
}

// Action is what to do with a batch task to limit interference.
type Action int

// Actions on a batch task.
const (
	None     Action = iota
	Throttle        // lower the share
	Release         // raise the share
	Evict
)

// Reaction is the action on one task.
type Reaction struct {
	Action Action
	ID     domain.RequestID
	// Share is the new share for Throttle and Release, in (0, 1].
	Share  float64
	Reason string
}

// React returns the next reaction on a worker and assumes that it is carried
// out. It returns at most one per usage lag, because the reports show the effect
// of the previous one only after that time.
func (m *Model) React(now time.Duration, worker domain.WorkerID, l Limits) Reaction {
	w, ok := m.workers[worker]
	if !ok || w.hasReacted && now-w.lastReaction < w.lag {
		return Reaction{}
	}
	r := m.decide(now, w, l)
	if r.Action != None {
		w.hasReacted = true
		w.lastReaction = now
	}
	return r
}

// decide evicts only if no task can be throttled further and the slowdown is above
// the limit for evictions.
func (m *Model) decide(now time.Duration, w *workerRecord, l Limits) Reaction {
	class, slowdown := m.worstVictim(now, w)
	if slowdown <= l.Throttle {
		return m.release(now, w, l)
	}
	if t := m.worstAggressor(w, class, true); t != nil {
		t.share = max(minShare, t.share/throttleStep)
		return Reaction{Throttle, t.ID, t.share, fmt.Sprintf(
			"colocated tasks slow down class %s by a factor of %.2f, mostly class %s: throttled to %.0f%%", class, slowdown, t.Class, t.share*100)}
	}
	if slowdown <= l.Evict {
		return Reaction{}
	}
	t := m.worstAggressor(w, class, false)
	if t == nil {
		return Reaction{}
	}
	t.evicting = true
	return Reaction{Evict, t.ID, 0, fmt.Sprintf(
		"class %s is slowed down by a factor of %.2f although colocated tasks are throttled: class %s is evicted", class, slowdown, t.Class)}
}

// release raises the share of the most throttled task by throttleStep if the
// estimated slowdown then stays well below the throttle limit.
func (m *Model) release(now time.Duration, w *workerRecord, l Limits) Reaction {
	var lowest *taskRecord
	for i := range w.tasks {
		t := &w.tasks[i]
		if t.isRunning() && !t.evicting && t.share < 1 && (lowest == nil || t.share < lowest.share) {
			lowest = t
		}
	}
	if lowest == nil {
		return Reaction{}
	}
	before := lowest.share
	lowest.share = min(1, before*throttleStep)
	_, slowdown := m.worstVictim(now, w)
	if slowdown > 1+(l.Throttle-1)*releaseMargin {
		lowest.share = before
		return Reaction{}
	}
	return Reaction{Release, lowest.ID, lowest.share, fmt.Sprintf(
		"estimated slowdown of urgent classes is at most %.2f: share raised to %.0f%%", max(slowdown, 1), lowest.share*100)}
}

// worstVictim returns the urgent class on the worker with the largest estimated
// slowdown, and that slowdown.
func (m *Model) worstVictim(now time.Duration, w *workerRecord) (domain.Class, float64) {
	worst, slowdown := domain.Class(""), 1.0
	loads := w.loadsAt(now, domain.RequestID{})
	for _, v := range w.victims {
		if now-v.lastStart > victimRetention {
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
// class. With throttleable it considers only tasks that can be throttled
// further.
func (m *Model) worstAggressor(w *workerRecord, class domain.Class, throttleable bool) *taskRecord {
	var worst *taskRecord
	most := 0.0
	for i := range w.tasks {
		t := &w.tasks[i]
		if !t.isRunning() || t.evicting || t.Kind != domain.KindBatch {
			continue
		}
		if throttleable && t.share <= minShare {
			continue
		}
		if e := t.share * m.Effect(class, t.Class); e > most {
			worst, most = t, e
		}
	}
	return worst
}
