package sharing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const target = 150 * time.Millisecond

// Guards against blaming all filling images for what one of them does: two
// images always run together, and only one of them disturbs.
func TestBlameFindsTheOneCulprit(t *testing.T) {
	m := NewModel()
	for range 5 {
		m.Observe("checks", []string{"quiet"}, false)
	}
	for range 3 {
		m.Observe("checks", []string{"quiet", "loud"}, true)
	}
	assert.Assert(t, m.Harmful("loud", "checks"))
	assert.Assert(t, !m.Harmful("quiet", "checks"))
}

// Guards against avoiding a pair because of one peak of the serving task's own
// load.
func TestRarePeakIsNoHarm(t *testing.T) {
	m := NewModel()
	for range 40 {
		m.Observe("checks", []string{"quiet"}, false)
	}
	m.Observe("checks", []string{"quiet"}, true)
	assert.Assert(t, !m.Harmful("quiet", "checks"))
}

// Guards against a filling task that works on beside a serving task that is
// over its target: the rule allows 4 s.
func TestTailOverTargetStopsTheSuspect(t *testing.T) {
	m := NewModel()
	serving := []Serving{{Image: "checks", Tail: 2 * target, Target: target}}
	filling := []Filling{{Image: "loud", Pace: 100, AtWork: time.Second, Movable: true}}
	m.Learn(serving, filling)
	advice := m.Control(serving, filling)
	assert.Equal(t, advice[0].Pace, 0)
	assert.Assert(t, advice[0].Move)
}

// Guards against a harmful image that the model takes for harmless: after two
// seconds over the target all filling tasks stand still.
func TestLongOverTargetStopsAll(t *testing.T) {
	m := NewModel()
	for range 50 {
		m.Observe("checks", []string{"a"}, false)
		m.Observe("checks", []string{"b"}, false)
	}
	m.Observe("checks", []string{"b"}, true)
	serving := []Serving{{Image: "checks", Tail: 2 * target, Target: target, OverFor: allStop}}
	filling := []Filling{{Image: "a", Pace: 100, AtWork: time.Minute}, {Image: "b", Pace: 50, AtWork: time.Minute}}
	for _, a := range m.Control(serving, filling) {
		assert.Equal(t, a.Pace, 0)
	}
}

// Guards against swings: between the two bounds the pace stays as it is.
func TestPaceIsDampedBetweenBounds(t *testing.T) {
	m := NewModel()
	filling := []Filling{{Image: "a", Pace: 50, AtWork: time.Second}}
	between := []Serving{{Image: "checks", Tail: target * 3 / 4, Target: target}}
	assert.Equal(t, m.Control(between, filling)[0].Pace, 50)
	calm := []Serving{{Image: "checks", Tail: target / 4, Target: target}}
	assert.Equal(t, m.Control(calm, filling)[0].Pace, 75)
}

// Guards against learning from a task that has just started: its effect does
// not show in the tail of the last half second yet.
func TestNewcomerTeachesNothing(t *testing.T) {
	m := NewModel()
	serving := []Serving{{Image: "checks", Tail: 2 * target, Target: target}}
	m.Learn(serving, []Filling{{Image: "a", Pace: 100, AtWork: time.Second}, {Image: "b", Pace: 100, AtWork: 0}})
	assert.Assert(t, !m.Harmful("a", "checks"))
}
