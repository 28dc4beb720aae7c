package straggler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
)

const (
	// maxStandstill is how long an attempt may show no progress, in addition to the time
	// that it takes for one percent. Reports arrive at least once per second.
	maxStandstill = 1500 * time.Millisecond
	// minSpeedSample is how long an attempt must have run, in addition to half of the
	// duration of its task, before its speed is judged.
	minSpeedSample = 900 * time.Millisecond
	// slowFactor is how many times longer the remaining time of a straggler must be than
	// that of a new attempt on another worker, which may be slow as well.
	slowFactor = 3.0
	// RestartCost is the time that a stop, an append and a new start take.
	RestartCost = 500 * time.Millisecond
	// maxSlowStops is how often a task may have been given up before it is given up as slow.
	maxSlowStops = 2
	// maxUnconfirmedStops is how many attempts of a step are given up on an estimate alone,
	// while no other attempt shows how long its tasks take. Further ones are not given up as
	// slow, and later as hung.
	maxUnconfirmedStops = 2
	// minWorkers is the number of other workers from which on a longer estimate is ignored.
	minWorkers = 3
	// paceMargin is the factor by which the time for one percent may exceed that of other
	// percents or of other attempts.
	paceMargin = 2
	// patienceFactor is the factor by which the allowed standstill grows each time that a
	// task is given up again, and maxPatienceSteps is how often it grows.
	patienceFactor   = 8
	maxPatienceSteps = 6
	// maxSeconds bounds a mean duration, in seconds.
	maxSeconds = 1e6
	// percents is the progress of a finished attempt.
	percents = 100
)

// Run describes an attempt that is being executed.
type Run struct {
	Task   job.TaskID
	Worker domain.WorkerID
	// Elapsed is the time since the start of the attempt, and Standstill that since its
	// progress last changed.
	Elapsed, Standstill time.Duration
	// Duration is how long the whole task takes at the pace of this attempt; 0 if it has
	// made no progress. Remaining is how long the rest takes at the mean speed until now.
	Duration, Remaining time.Duration
	// Redo is the share of the task, from 0 to 1, that a new attempt has to do.
	Redo float64
	// Predicted is how long a task takes according to the client's estimate and what its
	// queue has shown; 0 if nothing is known.
	Predicted time.Duration
	// VariableSpeed is true if the speed depends on the capacity that other tasks leave.
	// Such an attempt is never slow, but it can hang.
	VariableSpeed bool
	// Inherited is true for an attempt of a former owner, which may have given up the task
	// before. Such an attempt is never slow, and it may show no progress for longer.
	Inherited bool
}

// MayBeGivenUp reports whether Judge can give up the attempt whatever else is known.
func (r *Run) MayBeGivenUp() bool {
	return r.Standstill > maxStandstill || r.Elapsed >= minSpeedSample && r.Remaining > RestartCost
}

// Verdict is the decision about an attempt.
type Verdict struct {
	// GiveUp is true if the attempt is to be stopped. Reason says why.
	GiveUp bool
	Reason string
	// confirmed is true if other attempts of the step show how long its tasks take.
	confirmed bool
}

// Detector holds what the attempts of each step have shown. It is not safe for concurrent
// use.
type Detector struct {
	steps map[job.StepID]*step
}

// step is what is known about one step.
type step struct {
	// durations has, for each worker, the logarithm of the duration in seconds that the
	// latest attempt there has shown. total is the sum.
	durations map[domain.WorkerID]float64
	total     float64
	// unconfirmed counts the attempts that were given up on an estimate alone.
	unconfirmed int
	// givenUp holds the tasks that were given up, and blamed the workers of these attempts.
	givenUp map[int]*history
	blamed  map[domain.WorkerID]bool
}

// history is how often a task was given up, and on which workers.
type history struct {
	stops   int
	workers []domain.WorkerID
}

// New returns a detector that knows nothing.
func New() *Detector { return &Detector{steps: map[job.StepID]*step{}} }

// Observe records how long a task of the step takes on a worker, by an attempt that is done or
// by the pace of one that is not.
func (d *Detector) Observe(id job.StepID, worker domain.WorkerID, took time.Duration) {
	if took <= 0 {
		return
	}
	s := d.step(id)
	log := math.Log(took.Seconds())
	s.total += log - s.durations[worker]
	s.durations[worker] = log
}

// Judge decides whether an attempt is given up.
func (d *Detector) Judge(r Run) Verdict {
	s := d.steps[r.Task.StepID]
	if s == nil {
		s = &step{}
	}
	if limit := s.maxStandstill(r); r.Standstill > limit {
		return Verdict{GiveUp: true, confirmed: len(s.durations) > 0, Reason: fmt.Sprintf("it makes no progress: for %d ms, %d ms are allowed",
			r.Standstill.Milliseconds(), limit.Milliseconds())}
	}
	if r.VariableSpeed || r.Inherited || r.Duration <= 0 || s.wasSlow(r) {
		return Verdict{}
	}
	others, workers := s.elsewhere(r.Worker)
	expected, basis := r.Predicted, "by its estimate"
	if workers > 0 {
		expected, basis = others, fmt.Sprintf("on %d other workers", workers)
		if workers < minWorkers {
			expected = max(expected, r.Predicted)
		}
	}
	if expected <= 0 || workers == 0 && s.unconfirmed >= maxUnconfirmedStops || r.Elapsed < minSpeedSample+expected/2 {
		return Verdict{}
	}
	if r.Remaining <= time.Duration(slowFactor*r.Redo*float64(expected))+RestartCost {
		return Verdict{}
	}
	return Verdict{GiveUp: true, confirmed: workers > 0, Reason: fmt.Sprintf("its progress is too slow: %d ms remain, a task takes %d ms %s",
		r.Remaining.Milliseconds(), expected.Milliseconds(), basis)}
}

// Elsewhere returns the mean duration that attempts of a step on other workers have shown, and
// the number of these workers.
func (d *Detector) Elsewhere(id job.StepID, worker domain.WorkerID) (mean time.Duration, workers int) {
	if s := d.steps[id]; s != nil {
		return s.elsewhere(worker)
	}
	return 0, 0
}

// GiveUp records that an attempt is given up by the verdict. It reports whether the worker is to
// be blamed: a worker is blamed once for each step.
func (d *Detector) GiveUp(r Run, v Verdict) (blame bool) {
	s := d.step(r.Task.StepID)
	if !v.confirmed {
		s.unconfirmed++
	}
	h := s.givenUp[r.Task.Index]
	if h == nil {
		h = &history{}
		s.givenUp[r.Task.Index] = h
	}
	h.stops++
	if !slices.Contains(h.workers, r.Worker) {
		h.workers = append(h.workers, r.Worker)
	}
	blame = !s.blamed[r.Worker]
	s.blamed[r.Worker] = true
	return blame
}

// Forget drops what is known about a step.
func (d *Detector) Forget(id job.StepID) { delete(d.steps, id) }

// Len returns the number of steps of which something is known.
func (d *Detector) Len() int { return len(d.steps) }

func (d *Detector) step(id job.StepID) *step {
	s := d.steps[id]
	if s == nil {
		s = &step{durations: map[domain.WorkerID]float64{}, givenUp: map[int]*history{}, blamed: map[domain.WorkerID]bool{}}
		d.steps[id] = s
	}
	return s
}

// elsewhere returns the mean duration that attempts on other workers have shown, and their
// number.
func (s *step) elsewhere(worker domain.WorkerID) (mean time.Duration, workers int) {
	total, workers := s.total, len(s.durations)
	if own, ok := s.durations[worker]; ok {
		total, workers = total-own, workers-1
	}
	return meanDuration(total, workers), workers
}

// meanDuration returns the duration for the mean of a number of logarithms; 0 for none.
func meanDuration(total float64, count int) time.Duration {
	if count == 0 {
		return 0
	}
	return time.Duration(min(math.Exp(total/float64(count)), maxSeconds) * float64(time.Second))
}

// maxStandstill returns how long an attempt may show no progress.
func (s *step) maxStandstill(r Run) time.Duration {
	percent := max(r.Predicted, paceMargin*r.Duration, paceMargin*meanDuration(s.total, len(s.durations))) / percents
	limit := maxStandstill + percent
	for range min(s.repetitions(r), maxPatienceSteps) {
		limit *= patienceFactor
	}
	return limit
}

// repetitions returns how often giving up the attempt would repeat what has not helped: each
// time that its task was given up after the first. On the same worker the first counts too.
// While no attempt of the step has made progress, the other tasks count as one time. So does
// what a former owner may have done.
func (s *step) repetitions(r Run) int {
	count := 0
	if h := s.givenUp[r.Task.Index]; h != nil {
		count = h.stops - 1
		if slices.Contains(h.workers, r.Worker) {
			count++
		}
	}
	if r.Inherited {
		return count + 1
	}
	if count == 0 && s.unconfirmed >= maxUnconfirmedStops && len(s.durations) == 0 {
		return 1
	}
	return count
}

// wasSlow reports whether the task was given up so often, or on this worker, that it is no
// longer given up as slow.
func (s *step) wasSlow(r Run) bool {
	h := s.givenUp[r.Task.Index]
	return h != nil && (h.stops >= maxSlowStops || slices.Contains(h.workers, r.Worker))
}
