package sharing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
)

const (
	target = 150 * time.Millisecond
	// loadPeriod is the period of the user load in the tests.
	loadPeriod     = 10 * time.Second
	sampleInterval = 500 * time.Millisecond
)

// bestEffort returns a best-effort task that uses a tenth of a worker at full
// speed.
func bestEffort(image string, speedPercent int) BestEffortTask {
	return BestEffortTask{
		Image: image, SpeedPercent: speedPercent,
		CPUShare: 0.1, CPUUsed: 0.1 * float64(speedPercent) / fullSpeedPercent, Movable: true,
	}
}

func step(n int) job.StepID { return job.StepID{Job: "serving", Step: n} }

// userLoad is the utilization by the user load of step n, which oscillates
// between 0.1 and 0.66.
func userLoad(n int, t Instant) float64 {
	return 0.38 + 0.28*math.Sin(2*math.Pi*float64(t)/float64(loadPeriod)+float64(n))
}

// servingAt returns a serving task of step n with the tail of a utilization.
func servingAt(n int, utilization float64) ServingTask {
	tail := time.Duration(idleTailRatio / (1 - utilization) * float64(target))
	return ServingTask{Image: "checks", Step: step(n), Tail: tail, Target: target}
}

// lowestLoadTime returns a time after start at which the load of the step is
// lowest, and highestLoadTime one at which it is highest.
func lowestLoadTime(n int, start Instant) Instant  { return extremeLoadTime(n, start, -1) }
func highestLoadTime(n int, start Instant) Instant { return extremeLoadTime(n, start, 1) }

func extremeLoadTime(n int, start Instant, sign float64) Instant {
	best := start
	for t := start; t < start+loadPeriod; t += 50 * time.Millisecond {
		if sign*userLoad(n, t) > sign*userLoad(n, best) {
			best = t
		}
	}
	return best
}

// trainedModel returns a model that has samples of three steps with four tasks
// each over 20 s. Each task has random colocated tasks, of which only "noisy"
// interferes: each adds a utilization of 0.2.
func trainedModel() (*Model, Instant) {
	m := NewModel()
	random := rand.New(rand.NewPCG(1, 2))
	now := Instant(0)
	for ; now < 20*time.Second; now += sampleInterval {
		for n := range 3 {
			for range 4 {
				var tasks []BestEffortTask
				utilization := userLoad(n, now-tailLag) + 0.02*(random.Float64()-0.5)
				if random.IntN(2) == 0 {
					tasks = append(tasks, bestEffort("quiet", 100))
				}
				if random.IntN(3) == 0 {
					tasks = append(tasks, bestEffort("noisy", 100))
					utilization += 0.2
				}
				m.AddSample(now, []ServingTask{servingAt(n, utilization)}, tasks, time.Second)
			}
		}
	}
	return m, now
}

// Guards against attributing the interference of one image to all best-effort
// images.
func TestInterferenceIsAttributedToItsImage(t *testing.T) {
	m, now := trainedModel()
	assert.Assert(t, !m.IsHarmless(bestEffort("noisy", 100), "checks"))
	assert.Assert(t, m.Interferes(bestEffort("noisy", 100), "checks"))
	assert.Assert(t, m.IsHarmless(bestEffort("quiet", 100), "checks"))
	at := lowestLoadTime(0, now)
	headroom := m.Headroom(at, []ServingTask{servingAt(0, 0.1)}, []BestEffortTask{bestEffort("quiet", 100)})
	assert.Equal(t, headroom.ExpectedSpeed(bestEffort("quiet", 100)), 1.0)
	// Even when the load is lowest, there is headroom for three noisy tasks at
	// most.
	headroom = m.Headroom(at, []ServingTask{servingAt(0, 0.1), servingAt(0, 0.1)}, []BestEffortTask{bestEffort("noisy", 100), bestEffort("noisy", 100), bestEffort("noisy", 100)})
	assert.Assert(t, headroom.ExpectedSpeed(bestEffort("noisy", 100)) < 0.3, "%f", headroom.ExpectedSpeed(bestEffort("noisy", 100)))
}

// The user load of the serving tasks is periodic. Guards against a headroom
// that assumes the peak load all the time, such as the mean plus 1.4 standard
// deviations, and against one that assumes the current load.
func TestLoadIsForecast(t *testing.T) {
	m, now := trainedModel()
	assert.Assert(t, math.Abs(m.Load().Period.Seconds()-loadPeriod.Seconds()) < 0.8, "%v", m.Load().Period)
	for n := range 3 {
		for ahead := Instant(0); ahead < 4*time.Second; ahead += time.Second {
			got := m.loads.forecast(step(n), now+ahead)
			assert.Assert(t, math.Abs(got-userLoad(n, now+ahead)) < 0.08, "step %d in %v: %f, want %f", n, ahead, got, userLoad(n, now+ahead))
		}
	}
}

// Guards against treating a step as lightly loaded before its load is known.
func TestUnknownLoadIsForecastAsHigh(t *testing.T) {
	m, now := trainedModel()
	assert.Assert(t, m.loads.forecast(step(9), now) > 0.6)
	m.AddSample(now, []ServingTask{servingAt(9, 0.38)}, nil, time.Second)
	// The load may rise or fall from here.
	assert.Assert(t, m.loads.forecast(step(9), now+2*time.Second) > 0.5)
}

// Guards against a best-effort task that keeps running alongside a serving
// task that is over its target. The platform allows 4 s.
func TestTailOverTargetStopsUnknownAndInterferingTasks(t *testing.T) {
	serving := []ServingTask{servingAt(0, 0.9)}
	adjustments := NewModel().Adjustments(time.Second, serving, []BestEffortTask{bestEffort("new", 100)})
	assert.DeepEqual(t, adjustments, []Adjustment{{SpeedPercent: 0}})
	m, now := trainedModel()
	serving = []ServingTask{servingAt(0, 0.96)}
	serving[0].CloseFor = enforceTargetAfter
	adjustments = m.Adjustments(highestLoadTime(0, now), serving, []BestEffortTask{bestEffort("quiet", 100), bestEffort("noisy", 100)})
	assert.Equal(t, adjustments[0].SpeedPercent, 100)
	assert.Equal(t, adjustments[1].SpeedPercent, 0)
}

// Guards against stopping a best-effort task where throttling is enough.
func TestTailCloseToTargetThrottlesInProportion(t *testing.T) {
	m, now := trainedModel()
	at := highestLoadTime(0, now)
	serving := servingAt(0, userLoad(0, at)+0.2)
	serving.CloseFor = enforceTargetAfter
	adjustments := m.Adjustments(at, []ServingTask{serving}, []BestEffortTask{bestEffort("quiet", 100), bestEffort("noisy", 100)})
	assert.Equal(t, adjustments[0].SpeedPercent, 100)
	assert.Assert(t, adjustments[1].SpeedPercent > 30 && adjustments[1].SpeedPercent < 90, "%d", adjustments[1].SpeedPercent)
}

// Best-effort tasks run alongside serving tasks at their peak load. Guards
// against throttling many tasks for one serving task, and against leaving many
// serving tasks over their target for the sake of a few best-effort tasks.
func TestThrottlingIsLimitedByServingTaskCount(t *testing.T) {
	m, now := trainedModel()
	at := highestLoadTime(0, now)
	one := []ServingTask{servingAt(0, userLoad(0, at)+0.2)}
	adjustments := m.Adjustments(at, one, []BestEffortTask{bestEffort("noisy", 100), bestEffort("noisy", 100)})
	assert.DeepEqual(t, adjustments, []Adjustment{{SpeedPercent: 100}, {SpeedPercent: 100}})
	four := []ServingTask{one[0], one[0], one[0], one[0]}
	adjustments = m.Adjustments(at, four, []BestEffortTask{bestEffort("noisy", 100), bestEffort("noisy", 100)})
	assert.Assert(t, adjustments[0].SpeedPercent+adjustments[1].SpeedPercent < 100, "%v", adjustments)
}

// Guards against an interfering image that the model takes for harmless. All
// best-effort tasks stop after two seconds over the target.
func TestTailLongOverTargetStopsAllBestEffortTasks(t *testing.T) {
	m, now := trainedModel()
	serving := servingAt(0, 0.9)
	serving.CloseFor = stopAllAfter
	for _, a := range m.Adjustments(now, []ServingTask{serving}, []BestEffortTask{bestEffort("quiet", 100), bestEffort("calm", 50)}) {
		assert.Equal(t, a.SpeedPercent, 0)
	}
}

// Guards against commands for small changes of a speed limit.
func TestSmallSpeedChangesAreSkipped(t *testing.T) {
	assert.Equal(t, dampSpeedPercent(50, 50+minSpeedChangePercent-1), 50)
	assert.Equal(t, dampSpeedPercent(50, 50-minSpeedChangePercent), 50-minSpeedChangePercent)
	assert.Equal(t, dampSpeedPercent(95, 100), 100)
	assert.Equal(t, dampSpeedPercent(5, 0), 0)
}

// Guards against throttling a best-effort task for a peak of the serving
// task's own load.
func TestHarmlessImageKeepsFullSpeed(t *testing.T) {
	m, now := trainedModel()
	at := highestLoadTime(0, now)
	adjustments := m.Adjustments(at, []ServingTask{servingAt(0, userLoad(0, at))}, []BestEffortTask{bestEffort("quiet", 100)})
	assert.Equal(t, adjustments[0].SpeedPercent, 100)
}

// Guards against learning from a worker whose tasks have just changed: the
// tail still covers the half second before the change.
func TestSampleSoonAfterFinishIsIgnored(t *testing.T) {
	m := NewModel()
	for i := range 50 {
		m.AddSample(Instant(i)*sampleInterval, []ServingTask{servingAt(0, 0.9)}, []BestEffortTask{bestEffort("a", 100)}, minSinceFinish/2)
	}
	assert.Equal(t, len(m.Effects()), 0)
	assert.Equal(t, m.Load().Steps, 0)
}

// Guards against an invalid figure, such as a tail of almost zero, that
// distorts the forecast permanently.
func TestTinyTailDoesNotDistortForecast(t *testing.T) {
	m, now := trainedModel()
	before := m.loads.forecast(step(0), now)
	m.AddSample(now, []ServingTask{{Image: "checks", Step: step(0), Tail: 1, Target: target}}, nil, time.Second)
	assert.Assert(t, math.Abs(m.loads.forecast(step(0), now)-before) < 0.05)
}

// Guards against effects that are underestimated from saturated tails.
func TestSaturatedTailDoesNotLowerEffect(t *testing.T) {
	m, now := trainedModel()
	before := m.regression("checks").effect("noisy")
	for i := range 40 {
		at := now + Instant(i)*sampleInterval
		tasks := []BestEffortTask{bestEffort("noisy", 100), bestEffort("noisy", 100), bestEffort("noisy", 100), bestEffort("noisy", 100), bestEffort("noisy", 100)}
		m.AddSample(at, []ServingTask{servingAt(0, 0.97)}, tasks, time.Second)
	}
	after := m.regression("checks").effect("noisy")
	assert.Assert(t, after > 0.9*before, "%f, before %f", after, before)
}

// Guards against a new owner that starts without a model. Half of the serving
// tasks (115 of 230) exceeded their target while it learned after a full
// restart.
func TestModelSurvivesStorage(t *testing.T) {
	m, _ := trainedModel()
	data, err := m.Encode()
	assert.NilError(t, err)
	got, err := Decode(data)
	assert.NilError(t, err)
	assert.Assert(t, !got.IsHarmless(bestEffort("noisy", 100), "checks"))
	assert.Assert(t, got.IsHarmless(bestEffort("quiet", 100), "checks"))
	difference := got.regression("checks").effect("noisy") - m.regression("checks").effect("noisy")
	assert.Assert(t, math.Abs(difference) < 0.01)
	assert.Equal(t, got.Load().Period, m.Load().Period)
	_, err = Decode(data[:len(data)/2])
	assert.ErrorContains(t, err, "decode the interference model")
}

// Guards against a noisy tail just over its target that alternately counts as
// over and under it, so that the time over it never adds up to stopAllAfter.
func TestCloseToTargetHasHysteresis(t *testing.T) {
	tail := func(share float64) ServingTask {
		return ServingTask{Tail: time.Duration(share * float64(target)), Target: target}
	}
	s := tail(0.9)
	assert.Assert(t, s.IsCloseToTarget(true))
	assert.Assert(t, !s.IsCloseToTarget(false))
	s = tail(0.7)
	assert.Assert(t, !s.IsCloseToTarget(true))
}

// Many workers serve the same step, so one planning round asks for its forecast
// hundreds of times. Guards against a kept forecast that outlives its time or a sample.
func TestKeptForecastFollowsTimeAndSamples(t *testing.T) {
	m, now := trainedModel()
	for i := range 50 {
		at := now + Instant(i)*20*time.Millisecond
		if i%3 == 0 {
			m.AddSample(at, []ServingTask{servingAt(0, 0.3+0.01*float64(i))}, nil, time.Second)
		}
		for range 2 {
			for k, got := range m.loads.forecastHorizon(step(0), at) {
				assert.Equal(t, got, m.loads.forecast(step(0), at+horizon*time.Duration(k)/forecastPoints))
			}
		}
	}
}
