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
// "loud" adds pressure: 0.25 for each core.
func learn(looks int) *Model {
	m := NewModel()
	random := rand.New(rand.NewPCG(1, 2))
	for range looks {
		filling := []Filling{fill("quiet", 100)}
		pressure := 0.1 + 0.3*random.Float64()
		if random.IntN(3) == 0 {
			filling = append(filling, fill("loud", 100))
			pressure += 0.5
		}
		if random.IntN(2) == 0 {
			filling = append(filling, fill("calm", 100))
		}
		m.Learn(tail(floor/(1-pressure)), filling, time.Second)
	}
	return m
}

// floor is the tail of an idle worker in the tests, in multiples of the target.
const floor = 0.2

// Guards against blaming all filling images for what one of them does: the
// quiet one runs beside the loud one each time.
func TestRegressionFindsTheOneCulprit(t *testing.T) {
	m := learn(200)
	assert.Assert(t, !m.Harmless(fill("loud", 100), "checks"))
	assert.Assert(t, m.Harmless(fill("quiet", 100), "checks"))
	assert.Assert(t, m.Harmless(fill("calm", 100), "checks"))
	assert.Equal(t, m.Speed(tail(0.3), []Filling{fill("quiet", 100)}, fill("calm", 100)), 1.0)
	// Room for a pressure of about 0.5 in the mean is left, and one loud task
	// takes it all.
	assert.Assert(t, m.Speed(tail(0.3), []Filling{fill("loud", 100)}, fill("loud", 100)) < 0.3)
}

// Guards against a filling task that works on beside a serving task that is
// over its target: the rule allows 4 s.
func TestTailOverTargetStopsTheSuspect(t *testing.T) {
	advice := NewModel().Control(tail(2), []Filling{fill("new", 100)})
	assert.DeepEqual(t, advice, []Advice{{Pace: 0}})
	advice = learn(200).Control(tail(5), []Filling{fill("quiet", 100), fill("loud", 100)})
	assert.Equal(t, advice[0].Pace, 100)
	assert.Equal(t, advice[1].Pace, 0)
}

// Guards against stopping a filling task where slowing it down is enough.
func TestTailNearTargetSlowsInProportion(t *testing.T) {
	advice := learn(200).Control(tail(1.2), []Filling{fill("quiet", 100), fill("loud", 100)})
	assert.Equal(t, advice[0].Pace, 100)
	assert.Assert(t, advice[1].Pace > 40 && advice[1].Pace < 90, "%d", advice[1].Pace)
}

// Guards against a harmful image that the model takes for harmless: after two
// seconds over the target all filling tasks stand still.
func TestLongOverTargetStopsAll(t *testing.T) {
	m := learn(200)
	serving := tail(2)
	serving[0].NearFor = allStop
	for _, a := range m.Control(serving, []Filling{fill("quiet", 100), fill("calm", 50)}) {
		assert.Equal(t, a.Pace, 0)
	}
}

// Guards against swings: a small change of the room changes no pace, and a
// large one is not taken whole.
func TestPaceIsDamped(t *testing.T) {
	m := learn(200)
	near := floor / (1 - margin*(1-floor) + 0.02)
	assert.Equal(t, m.Control(tail(near), []Filling{fill("loud", 50)})[0].Pace, 50)
	faster := m.Control(tail(0.4), []Filling{fill("loud", 10)})[0].Pace
	assert.Assert(t, faster > 10 && faster < 60, "%d", faster)
	assert.Equal(t, m.Control(tail(0.2), []Filling{fill("new", 50)})[0].Pace, 100)
}

// Guards against slowing a filling task down for a peak of the serving task's
// own load.
func TestHarmlessImageKeepsFullSpeed(t *testing.T) {
	advice := learn(200).Control(tail(1.2), []Filling{fill("quiet", 100)})
	assert.Equal(t, advice[0].Pace, 100)
}

// Guards against learning from tasks that have just changed: their effect does
// not show in the tail of the last half second yet.
func TestUnsettledLookTeachesNothing(t *testing.T) {
	m := NewModel()
	for range 50 {
		m.Learn(tail(3), []Filling{fill("a", 100)}, settled/2)
	}
	assert.Equal(t, m.Speed(tail(1), nil, fill("a", 100)), 1.0)
}

// Guards against a new owner that learns anew, with serving tasks over their
// target meanwhile (115 of 230 after a restart of all machines).
func TestLearnedPressuresSurviveStorage(t *testing.T) {
	m := learn(200)
	data, err := m.Encode()
	assert.NilError(t, err)
	got, err := Decode(data)
	assert.NilError(t, err)
	loud := []Filling{fill("loud", 100)}
	assert.Assert(t, !got.Harmless(loud[0], "checks"))
	assert.Assert(t, got.Harmless(fill("quiet", 100), "checks"))
	difference := got.Speed(tail(0.3), loud, loud[0]) - m.Speed(tail(0.3), loud, loud[0])
	assert.Assert(t, difference < 0.01 && difference > -0.01)
	_, err = Decode(data[:len(data)/2])
	assert.ErrorContains(t, err, "decode learned pressures")
}

// Guards against a tail just over its target whose rough figure is under it by
// turns, so that the time over it never adds up (hunt on agrodaneio-ops, mix
// --seed 658487929610, HARM in 2 of 6 plays).
func TestRoughFigureUnderTargetDoesNotEndNearness(t *testing.T) {
	s := tail(0.9)[0]
	assert.Assert(t, s.Near(true))
	assert.Assert(t, !s.Near(false))
	s = tail(0.7)[0]
	assert.Assert(t, !s.Near(true))
}
