package sharing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const target = 150 * time.Millisecond

func fill(image string, pace int) Filling {
	return Filling{Image: image, Pace: pace, Cores: 2, Used: 2 * float64(pace) / fullPace, Movable: true}
}

func tail(share float64) []Serving {
	return []Serving{{Image: "checks", Tail: time.Duration(share * float64(target)), Target: target}}
}

// learn shows the model looks at workers with random neighbours, of which only
// "loud" lifts the tail: one core of it by a whole target.
func learn(looks int) *Model {
	m := NewModel()
	random := rand.New(rand.NewPCG(1, 2))
	for range looks {
		filling := []Filling{fill("quiet", 100)}
		share := 0.2 + 0.3*random.Float64()
		if random.IntN(3) == 0 {
			filling = append(filling, fill("loud", 100))
			share += 2
		}
		if random.IntN(2) == 0 {
			filling = append(filling, fill("calm", 100))
		}
		m.Learn(tail(share), filling, time.Second)
	}
	return m
}

// Guards against blaming all filling images for what one of them does: the
// quiet one runs beside the loud one each time.
func TestRegressionFindsTheOneCulprit(t *testing.T) {
	m := learn(100)
	assert.Assert(t, m.Harmful("loud", "checks", 2))
	assert.Assert(t, m.Harmless("quiet", "checks", 2))
	assert.Assert(t, m.Harmless("calm", "checks", 2))
	assert.Assert(t, !m.Fits(tail(0.3), nil, "loud", 2))
	assert.Assert(t, m.Fits(tail(0.3), []Filling{fill("quiet", 100)}, "calm", 2))
}

// Guards against a filling task that works on beside a serving task that is
// over its target: the rule allows 4 s. Of an unknown image the pace is taken
// away; a known culprit also moves.
func TestTailOverTargetStopsTheSuspect(t *testing.T) {
	advice := NewModel().Control(tail(2), []Filling{fill("new", 100)})
	assert.DeepEqual(t, advice, []Advice{{Pace: 0}})
	advice = learn(100).Control(tail(2), []Filling{fill("quiet", 100), fill("loud", 100)})
	assert.DeepEqual(t, advice, []Advice{{Pace: 100}, {Pace: 0, Move: true}})
}

// Guards against a harmful image that the model takes for harmless: after two
// seconds over the target all filling tasks stand still.
func TestLongOverTargetStopsAll(t *testing.T) {
	m := learn(100)
	serving := tail(2)
	serving[0].OverFor = allStop
	for _, a := range m.Control(serving, []Filling{fill("quiet", 100), fill("calm", 50)}) {
		assert.Equal(t, a.Pace, 0)
	}
}

// Guards against swings: between the two bounds the pace stays as it is, and a
// harmful image speeds up in small steps.
func TestPaceIsDampedBetweenBounds(t *testing.T) {
	m := learn(100)
	assert.Equal(t, m.Control(tail(0.75), []Filling{fill("loud", 50)})[0].Pace, 50)
	assert.Equal(t, m.Control(tail(0.2), []Filling{fill("loud", 50)})[0].Pace, 50+slowStep)
	assert.Equal(t, m.Control(tail(0.2), []Filling{fill("new", 50)})[0].Pace, 100)
}

// Guards against slowing a filling task down for a peak of the serving task's
// own load.
func TestHarmlessImageKeepsFullSpeed(t *testing.T) {
	advice := learn(100).Control(tail(1.2), []Filling{fill("quiet", 100)})
	assert.Equal(t, advice[0].Pace, 100)
}

// Guards against learning from tasks that have just changed: their effect does
// not show in the tail of the last half second yet.
func TestUnsettledLookTeachesNothing(t *testing.T) {
	m := NewModel()
	for range 50 {
		m.Learn(tail(3), []Filling{fill("a", 100)}, settled/2)
	}
	assert.Assert(t, !m.Harmful("a", "checks", 2))
}
