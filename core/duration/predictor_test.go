package duration

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/job"
)

// load is a queue whose steps take different times and whose clients estimate them with
// an error of their own for each step.
type load struct {
	rng                   *rand.Rand
	predictor             *Predictor
	spread, estimateError float64
	steps                 int
}

// next returns the key, estimate and duration of a new step.
func (l *load) next() (StepKey, time.Duration, time.Duration) {
	l.steps++
	took := 2 * math.Exp(l.spread*l.rng.NormFloat64())
	estimate := took * math.Exp(l.estimateError*l.rng.NormFloat64())
	return StepKey{Job: job.ID(fmt.Sprintf("%016x", l.steps))}, seconds(estimate), seconds(took)
}

// meanError returns the mean error of the predictions for new steps, as a logarithm.
func (l *load) meanError(predict func(StepKey, time.Duration, time.Duration) time.Duration) float64 {
	const steps = 400
	sum := 0.0
	for range steps {
		key, estimate, took := l.next()
		sum += math.Abs(math.Log(predict(key, estimate, took).Seconds() / took.Seconds()))
	}
	return sum / steps
}

// Guards against an order of jobs that is random because estimates are off by a factor
// of several, and against predictions that are worse than estimates that are right.
func TestPredictionsOfNewSteps(t *testing.T) {
	for _, c := range []struct {
		name                  string
		spread, estimateError float64
		worstRatio            float64
	}{
		{"estimates mostly noise", 0.5, 0.9, 0.65},
		{"estimates mostly right", 0.5, 0.2, 1.1},
		{"tasks all alike", 0.05, 0.9, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &load{rng: rand.New(rand.NewPCG(1, 2)), predictor: New(), spread: c.spread, estimateError: c.estimateError}
			for range 100 {
				key, estimate, took := l.next()
				l.predictor.RecordDone("q", key, estimate, took)
				l.predictor.Forget(key.Job, 1)
			}
			predicted := l.meanError(func(key StepKey, estimate, _ time.Duration) time.Duration {
				return l.predictor.Predict("q", key, estimate)
			})
			stated := l.meanError(func(_ StepKey, estimate, _ time.Duration) time.Duration { return estimate })
			assert.Assert(t, predicted < c.worstRatio*stated, "error %.2f of predictions, %.2f of estimates", predicted, stated)
		})
	}
}

// Guards against a step that keeps a wrong prediction while its own tasks show the right one.
func TestTasksOfTheStepCorrectItsPrediction(t *testing.T) {
	key := StepKey{Job: "0000000000000001"}
	const estimate, took = time.Second, 5 * time.Second
	for _, c := range []struct {
		name   string
		record func(*Predictor)
		within float64
	}{
		{"progress", func(p *Predictor) { p.RecordProgress(key, 20, took/5) }, 0.3},
		{"one done", func(p *Predictor) { p.RecordDone("other", key, estimate, took) }, 0.3},
		{"many done", func(p *Predictor) {
			for range 20 {
				p.RecordDone("other", key, estimate, took)
			}
		}, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New()
			c.record(p)
			got := p.Predict("q", key, estimate)
			assert.Assert(t, math.Abs(math.Log(got.Seconds()/took.Seconds())) < c.within, "predicted %s", got)
		})
	}
}

// Guards against predictions for a queue without samples, or without an estimate, that
// change what the client has stated.
func TestWithoutSamplesTheEstimateHolds(t *testing.T) {
	p := New()
	key := StepKey{Job: "0000000000000001"}
	p.RecordProgress(key, minProgress-1, time.Second)
	for _, estimate := range []time.Duration{0, time.Second, time.Hour} {
		got := p.Predict("q", StepKey{Job: "0000000000000002"}, estimate)
		assert.Assert(t, (got-estimate).Abs() <= time.Millisecond, "%s for %s", got, estimate)
		assert.Assert(t, (Identity.Apply(estimate)-estimate).Abs() <= time.Millisecond)
	}
}

// Guards against steps without an estimate of which nothing is ever learned: neither from their own
// tasks nor from the others of their queue.
func TestStepsWithoutEstimate(t *testing.T) {
	key := StepKey{Job: "0000000000000001"}
	const took = 4 * time.Second
	for _, c := range []struct {
		name   string
		record func(*Predictor)
		want   time.Duration
	}{
		{"nothing known", func(*Predictor) {}, 0},
		{"progress", func(p *Predictor) { p.RecordProgress(key, 20, took/5) }, took},
		{"one done", func(p *Predictor) { p.RecordDone("other", key, 0, took) }, took},
		{"others of the queue done", func(p *Predictor) {
			for i := range 20 {
				p.RecordDone("q", StepKey{Job: key.Job, Step: i + 1}, 0, took)
			}
		}, took},
		{"others of the queue done, with estimates", func(p *Predictor) {
			for i := range 20 {
				p.RecordDone("q", StepKey{Job: key.Job, Step: i + 1}, time.Hour, took)
			}
		}, took},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New()
			c.record(p)
			got := p.Predict("q", key, 0)
			assert.Assert(t, (got-c.want).Abs() <= c.want/10, "predicted %s", got)
		})
	}
}

// Guards against durations that count as learned while they follow the estimates of the clients.
func TestLearnedDurationsDoNotFollowEstimates(t *testing.T) {
	const took = 4 * time.Second
	for _, estimate := range []time.Duration{0, took / 20, took, 20 * took} {
		p := New()
		for i := range 12 {
			key := StepKey{Job: "0000000000000001", Step: i}
			assert.Equal(t, p.IsLearned("q", key), p.Learned("q", estimate) > 0)
			if learned := p.Learned("q", estimate); learned > 0 {
				assert.Assert(t, (learned-took).Abs() < took/10, "estimate %s: %s", estimate, learned)
			}
			p.RecordDone("q", key, estimate, took)
			assert.Assert(t, p.IsLearned("q", key))
		}
		assert.Assert(t, p.Learned("q", estimate) > 0)
	}
}
