package duration

import (
	"math"
	"time"

	"github.com/basilferry/basilferry/core/job"
)

// stepVariance is the variance of the logarithm of the durations of one step's tasks: a
// factor of about 1.2.
const stepVariance = 0.04

// minProgress is the progress, in percent, from which a running task predicts its
// duration. Workers report whole percents and a startup distorts the first ones.
const minProgress = 10

// StepKey identifies a step of a job. Its occurrences count as one step, because their
// tasks are the same.
type StepKey struct {
	Job  job.ID
	Step int
}

// observed sums up what is known about the tasks of one step.
type observed struct {
	// count and logs are the number of ended tasks and the sum of the logarithms of their
	// durations in seconds.
	count int
	logs  float64
	// running is the latest logarithm that a running task predicts; valid if hasRunning.
	running    float64
	hasRunning bool
}

// Predictor learns from the tasks of one scheduler. It is not safe for concurrent use.
type Predictor struct {
	queues map[string]*queue
	steps  map[StepKey]*observed
}

// New returns a predictor that predicts the clients' estimates.
func New() *Predictor {
	return &Predictor{queues: map[string]*queue{}, steps: map[StepKey]*observed{}}
}

// RecordDone records that a task of the step is done after the given nominal duration.
// The first one also counts for its queue.
func (p *Predictor) RecordDone(route string, key StepKey, estimate, took time.Duration) {
	s := p.step(key)
	y := logSeconds(took.Seconds())
	s.count++
	s.logs += y
	if s.count > 1 {
		return
	}
	q := p.queues[route]
	if q == nil {
		q = &queue{line: identityLine}
		p.queues[route] = q
	}
	q.add(estimate, y)
}

// noticeableChange is the least change of the logarithm of a running task's prediction that
// is recorded: the tasks of a step differ more among each other.
const noticeableChange = 0.1

// RecordProgress records that a running task of the step has reached a progress, in
// percent, in the given nominal time. It reports whether that changes the step's prediction,
// which it does not once a task of the step is done.
func (p *Predictor) RecordProgress(key StepKey, percent int, took time.Duration) bool {
	if percent < minProgress || percent > 100 || took <= 0 {
		return false
	}
	s, running := p.step(key), logSeconds(took.Seconds()*100/float64(percent))
	if s.count > 0 || s.hasRunning && math.Abs(running-s.running) < noticeableChange {
		return false
	}
	s.running, s.hasRunning = running, true
	return true
}

// Generation returns a number that changes when the prediction of a queue does.
func (p *Predictor) Generation(route string) int {
	if q := p.queues[route]; q != nil {
		return q.generation
	}
	return 0
}

func (p *Predictor) step(key StepKey) *observed {
	s := p.steps[key]
	if s == nil {
		s = &observed{}
		p.steps[key] = s
	}
	return s
}

// Forget drops what is known about the steps of a job.
func (p *Predictor) Forget(id job.ID, steps int) {
	for i := range steps {
		delete(p.steps, StepKey{Job: id, Step: i})
	}
}

// Correction returns the prediction of a queue for a step of which no task has run.
func (p *Predictor) Correction(route string) Correction {
	q := p.queues[route]
	if q == nil {
		return Identity
	}
	return Correction{Intercept: q.line.intercept, Slope: q.line.slope}
}

// Predict returns the nominal duration of a task of the step; 0 if nothing is known. It weighs
// the queue's prediction and the step's own tasks by how well each is known.
func (p *Predictor) Predict(route string, key StepKey, estimate time.Duration) time.Duration {
	count, sum := 0.0, 0.0
	if s := p.steps[key]; s != nil {
		count, sum = float64(s.count), s.logs
		if s.count == 0 && s.hasRunning {
			count, sum = 1, s.running
		}
	}
	return p.weigh(route, estimate, count, sum)
}

// Expect is like Predict without the progress of running tasks, so that a running task can be
// compared with the result.
func (p *Predictor) Expect(route string, key StepKey, estimate time.Duration) time.Duration {
	count, sum := 0.0, 0.0
	if s := p.steps[key]; s != nil {
		count, sum = float64(s.count), s.logs
	}
	return p.weigh(route, estimate, count, sum)
}

// Learned returns what the steps of the queue have taken for such an estimate, or on average
// for none. Unlike Predict, it never follows the estimate alone: it returns 0 until enough steps
// of the queue are done.
func (p *Predictor) Learned(route string, estimate time.Duration) time.Duration {
	q := p.queues[route]
	switch {
	case q == nil || q.all.weight < priorSteps:
		return 0
	case estimate > 0 && q.stated.weight >= priorSteps:
		return seconds(math.Exp(q.observed.intercept + q.observed.slope*logSeconds(estimate.Seconds())))
	}
	return seconds(math.Exp(q.mean))
}

// IsLearned reports whether tasks of the step are done or have made progress, or those of enough
// steps of the queue are done. Otherwise Predict returns little more than the estimate.
func (p *Predictor) IsLearned(route string, key StepKey) bool {
	if p.HasLearned(route) {
		return true
	}
	s := p.steps[key]
	return s != nil && (s.count > 0 || s.hasRunning)
}

// HasLearned reports whether what the steps of the queue have taken counts more than the
// clients' estimates.
func (p *Predictor) HasLearned(route string) bool {
	q := p.queues[route]
	return q != nil && q.all.weight >= priorSteps
}

// weigh weighs the queue's prediction for an estimate and a number of tasks of the step, with
// the sum of the logarithms of their durations.
func (p *Predictor) weigh(route string, estimate time.Duration, count, sum float64) time.Duration {
	log, variance, ok := p.prior(route, estimate)
	if ok {
		return seconds(math.Exp((log/variance + sum/stepVariance) / (1/variance + count/stepVariance)))
	}
	if count > 0 {
		return seconds(math.Exp(sum / count))
	}
	return 0
}

// prior returns the queue's prediction for an estimate as a logarithm, with its variance.
// Without an estimate it is the mean of the queue's steps; it is not ok before there are any.
func (p *Predictor) prior(route string, estimate time.Duration) (log, variance float64, ok bool) {
	q := p.queues[route]
	switch {
	case estimate > 0 && q == nil:
		return logSeconds(estimate.Seconds()), priorVariance, true
	case estimate > 0:
		return p.Correction(route).log(logSeconds(estimate.Seconds())), q.line.variance, true
	case q == nil:
		return 0, 0, false
	}
	return q.mean, q.variance, true
}

// Apply returns the prediction for an estimate.
func (c Correction) Apply(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return estimate
	}
	return seconds(math.Exp(c.log(logSeconds(estimate.Seconds()))))
}

// maxSeconds bounds predictions, so that sums of them do not overflow.
const maxSeconds = 1e6

func seconds(s float64) time.Duration {
	return time.Duration(min(maxSeconds, s) * float64(time.Second))
}
