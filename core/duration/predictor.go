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
	queues map[string]*regression
	steps  map[StepKey]*observed
}

// New returns a predictor that predicts the clients' estimates.
func New() *Predictor {
	return &Predictor{queues: map[string]*regression{}, steps: map[StepKey]*observed{}}
}

// RecordDone records that a task of the step is done after the given nominal duration.
// The first one also counts for its queue.
func (p *Predictor) RecordDone(queue string, key StepKey, estimate, took time.Duration) {
	s := p.step(key)
	y := logSeconds(took.Seconds())
	s.count++
	s.logs += y
	if s.count == 1 && estimate > 0 {
		r := p.queues[queue]
		if r == nil {
			r = &regression{}
			p.queues[queue] = r
		}
		r.add(logSeconds(estimate.Seconds()), y)
	}
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
func (p *Predictor) Generation(queue string) int {
	if r := p.queues[queue]; r != nil {
		return r.generation
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
func (p *Predictor) Correction(queue string) Correction {
	r := p.queues[queue]
	if r == nil {
		return Identity
	}
	return Correction{Intercept: r.line.intercept, Slope: r.line.slope}
}

// Predict returns the nominal duration of a task of the step. It weighs the queue's
// prediction and the step's own tasks by how well each is known.
func (p *Predictor) Predict(queue string, key StepKey, estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return estimate
	}
	variance := priorVariance
	if r := p.queues[queue]; r != nil {
		variance = r.line.variance
	}
	log := p.Correction(queue).log(logSeconds(estimate.Seconds()))
	if s := p.steps[key]; s != nil {
		count, sum := float64(s.count), s.logs
		if s.count == 0 && s.hasRunning {
			count, sum = 1, s.running
		}
		log = (log/variance + sum/stepVariance) / (1/variance + count/stepVariance)
	}
	return seconds(math.Exp(log))
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
