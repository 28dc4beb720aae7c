package interference

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

const lag = 2 * time.Second

func task(seq uint64, kind domain.Kind, class domain.Class) Task {
	return Task{ID: domain.RequestID{Epoch: 1, Seq: seq}, Kind: kind, Class: class}
}

func report(m *Model, now time.Duration, slowdown float64) {
	m.Observe(now, "w", platform.Usage{ID: task(99, "", "").ID, Class: "urgent", Slowdown: slowdown, Age: lag})
}

// trainedModel returns a model that has learned that one task of class noisy
// slows down class urgent by the given factor. The worker has no records left.
func trainedModel(slowdown float64) *Model {
	m := New()
	m.RecordStart(0, "w", task(1, domain.KindBatch, "noisy"))
	for range 200 {
		report(m, 10*time.Second, slowdown)
	}
	m.ForgetWorker("w")
	return m
}

// Guards against large effects from few samples and against estimates that do
// not converge to the true slowdown.
func TestEffectIsShrunkTowardsZero(t *testing.T) {
	m := New()
	m.RecordStart(0, "w", task(1, domain.KindBatch, "noisy"))
	report(m, lag, 2)
	assert.Assert(t, m.Slowdown("urgent", "noisy") < 1.1)
	got := trainedModel(2).Slowdown("urgent", "noisy")
	assert.Assert(t, got > 1.9 && got <= 2, "%v", got)
	assert.Equal(t, m.Slowdown("urgent", "other"), 1.0)
}

// Guards against attributing a slowdown to a task that started after the
// measured interval, or to one that only ran alongside the cause.
func TestSlowdownIsAttributedToItsCause(t *testing.T) {
	m := New()
	quiet, noisy, late := task(1, domain.KindBatch, "quiet"), task(2, domain.KindBatch, "noisy"), task(3, domain.KindBatch, "late")
	m.RecordStart(0, "w", quiet)
	for round := range 400 {
		now := time.Duration(round+1) * 10 * time.Second
		if round%2 == 0 {
			m.RecordStart(now, "w", noisy)
		} else {
			m.RecordFinish(now, "w", noisy.ID)
		}
		m.RecordStart(now+5*time.Second, "w", late)
		report(m, now+5*time.Second+lag-time.Millisecond, []float64{2, 1}[round%2])
		m.RecordFinish(now+9*time.Second, "w", late.ID)
	}
	assert.Equal(t, m.Slowdown("urgent", "late"), 1.0)
	assert.Assert(t, m.Slowdown("urgent", "noisy") > 1.8)
	assert.Assert(t, m.Slowdown("urgent", "quiet") < 1.1)
}

// Guards against an eviction before the task is fully throttled, and against a
// release of a throttled task while the urgent class that it slows down is present.
func TestThrottlesBeforeEviction(t *testing.T) {
	m := trainedModel(9)
	m.RecordStart(0, "w", task(1, domain.KindBatch, "noisy"))
	m.RecordStart(0, "w", task(2, domain.KindUrgent, "urgent"))
	limits := Limits{Throttle: 1.2, Evict: 1.5}
	var actions []Action
	for now := time.Duration(0); now < 4*lag; now += lag / 4 {
		m.RecordStart(now, "w", task(2, domain.KindUrgent, "urgent"))
		if r := m.React(now, "w", limits); r.Action != None {
			actions = append(actions, r.Action)
			assert.Assert(t, r.Reason != "")
		}
	}
	assert.DeepEqual(t, actions, []Action{Throttle, Throttle, Evict})
}

// Guards against oscillation between throttle and release: a throttled task must
// be released only when the urgent class that it slows down is no longer present.
func TestReleasesOnlyWithoutVictims(t *testing.T) {
	m := trainedModel(1.5)
	m.RecordStart(0, "w", task(1, domain.KindBatch, "noisy"))
	limits := Limits{Throttle: 1.4, Evict: 3}
	m.RecordStart(0, "w", task(2, domain.KindUrgent, "urgent"))
	assert.Equal(t, m.React(0, "w", limits).Action, Throttle)
	for now := lag; now < victimRetention; now += lag {
		assert.Equal(t, m.React(now, "w", limits).Action, None)
	}
	r := m.React(victimRetention+lag, "w", limits)
	assert.Equal(t, r.Action, Release)
	assert.Equal(t, r.Share, 1.0)
	assert.Assert(t, math.Abs(m.Slowdown("urgent", "noisy")-1.5) < 0.1)
}
