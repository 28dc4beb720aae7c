package quarantine

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/policy/bounded"
)

const (
	// faultyFailureRate is the failure rate that is assumed for a faulty worker.
	// It is below 1, so that workers that fail most but not all tasks are
	// detected too.
	faultyFailureRate = 0.7
	// minFailureRate and maxFailureRate bound the estimated failure rate of a
	// class on the other workers, because it is estimated from few of them.
	minFailureRate = 0.05
	maxFailureRate = 0.95
	// quarantineThreshold is the log likelihood ratio at which a worker is
	// quarantined. Four failures of a class that succeeds on all other workers
	// reach it. A healthy worker reaches it at most about once in e^9 (8,000)
	// results.
	quarantineThreshold = 9.0
	// minOtherWorkers is the number of other workers that must have a result of
	// a class before failures of the class count against a worker.
	minOtherWorkers = 2
	// maxResultsPerClass is the maximum number of workers whose latest result
	// is kept per class.
	maxResultsPerClass = 64
	// maxClasses is the maximum number of classes whose results are kept.
	maxClasses = 1024
	// maxQuarantinedShare is the maximum share of the workers that may be in
	// quarantine concurrently. A fault that affects more of them has a common
	// cause outside the workers.
	maxQuarantinedShare = 0.5
	// firstBackoff and maxBackoff bound the delay before a probe. The delay
	// doubles with each failed probe.
	firstBackoff = 2 * time.Second
	maxBackoff   = 2 * time.Minute
	// probesToPass is the number of successful probes that end a quarantine.
	probesToPass = 2
)

// Tracker detects faulty workers by the results of their tasks.
type Tracker struct {
	workers     map[domain.WorkerID]*workerRecord
	classes     *bounded.Map[domain.Class, *classResults]
	quarantined []domain.WorkerID // in the order in which they were quarantined
}

// workerRecord is the state of one worker.
type workerRecord struct {
	evidence    float64 // sum of the log likelihood ratios of the results, kept at or above 0
	quarantined bool
	backoff     time.Duration    // current delay before a probe
	probeAt     time.Duration    // earliest time of the next probe
	probing     domain.RequestID // the running probe, zero if none
	passed      int              // successful probes since the last failed one that counts
}

// classResults is the latest result of a class per worker.
type classResults struct {
	// latestFailed is true for a worker whose latest result is a failure.
	latestFailed *bounded.Map[domain.WorkerID, bool]
}

// Result is the result of a task that ran on a worker.
type Result struct {
	Worker domain.WorkerID
	Task   domain.RequestID
	Class  domain.Class
	// Failed is true if the task failed. It is ignored if Stopped is true.
	Failed bool
	// Stopped is true if the task was stopped or lost, so that its result says
	// nothing about the worker.
	Stopped bool
}

// New returns a tracker without workers.
func New() *Tracker {
	return &Tracker{
		workers: map[domain.WorkerID]*workerRecord{},
		classes: bounded.New[domain.Class, *classResults](maxClasses),
	}
}

// AddWorker adds a worker. A worker that was added before keeps its state.
func (t *Tracker) AddWorker(id domain.WorkerID) {
	if _, ok := t.workers[id]; !ok {
		t.workers[id] = &workerRecord{}
	}
}

// RemoveWorker removes a worker and its results.
func (t *Tracker) RemoveWorker(id domain.WorkerID) {
	delete(t.workers, id)
	t.clearResults(id)
}

// IsQuarantined reports whether a worker is in quarantine.
func (t *Tracker) IsQuarantined(id domain.WorkerID) bool {
	r, ok := t.workers[id]
	return ok && r.quarantined
}

// WorkersDueForProbe returns the workers in quarantine that can take a probe now,
// at most limit, those longest in quarantine first.
func (t *Tracker) WorkersDueForProbe(now time.Duration, limit int) []domain.WorkerID {
	var due []domain.WorkerID
	for _, id := range t.quarantined {
		r := t.workers[id]
		if len(due) < limit && r.probing.IsZero() && now >= r.probeAt {
			due = append(due, id)
		}
	}
	return due
}

// RecordStart records that a task starts on a worker. If the worker is in
// quarantine and has no running probe, the task becomes its probe.
func (t *Tracker) RecordStart(id domain.WorkerID, task domain.RequestID) {
	if r, ok := t.workers[id]; ok && r.quarantined && r.probing.IsZero() {
		r.probing = task
	}
}

// RecordResult records the result of a task. It reports whether the worker was
// quarantined or released from quarantine. The reason is a short sentence for such
// a change or for a failed probe, otherwise empty.
func (t *Tracker) RecordResult(now time.Duration, e Result) (changed bool, reason string) {
	r, ok := t.workers[e.Worker]
	if !ok {
		return false, ""
	}
	if r.quarantined {
		return t.recordProbe(now, r, e)
	}
	if e.Stopped {
		return false, ""
	}
	rate, known := t.failureRateElsewhere(e.Class, e.Worker)
	t.recordLatest(e)
	if !known {
		return false, ""
	}
	r.evidence = max(0, r.evidence+logLikelihoodRatio(e.Failed, rate))
	if r.evidence < quarantineThreshold || !t.mayQuarantine() {
		return false, ""
	}
	t.quarantine(now, e.Worker, r)
	return true, fmt.Sprintf("worker %s fails tasks of class %s; the latest task of the class failed on %.0f%% of the other workers", e.Worker, e.Class, rate*100)
}

// recordProbe records the result of a task on a worker in quarantine. Only the
// result of the running probe counts.
func (t *Tracker) recordProbe(now time.Duration, r *workerRecord, e Result) (bool, string) {
	if r.probing != e.Task {
		return false, "" // the task started before the quarantine
	}
	r.probing = domain.RequestID{}
	switch {
	case e.Stopped:
		return false, ""
	case e.Failed:
		return false, t.extendQuarantine(now, r, e)
	}
	r.passed++
	if r.passed < probesToPass {
		return false, ""
	}
	t.release(e.Worker, r)
	return true, fmt.Sprintf("worker %s completed %d probes", e.Worker, probesToPass)
}

// extendQuarantine delays the next probe after a failed one and returns the
// reason. The delay grows only if the class succeeds on other workers.
func (t *Tracker) extendQuarantine(now time.Duration, r *workerRecord, e Result) string {
	rate, known := t.failureRateElsewhere(e.Class, e.Worker)
	if !known || logLikelihoodRatio(true, rate) <= 0 {
		r.probeAt = now + r.backoff
		return "the probe failed, but its class is not known to succeed on other workers"
	}
	r.passed = 0
	r.backoff = min(2*r.backoff, maxBackoff)
	r.probeAt = now + r.backoff
	return fmt.Sprintf("the probe failed; the next one is due in %v", r.backoff)
}

// logLikelihoodRatio returns the log likelihood ratio of a result: a faulty
// worker compared to one that fails the class as often as the others.
func logLikelihoodRatio(failed bool, rate float64) float64 {
	if failed {
		return math.Log(faultyFailureRate / rate)
	}
	return math.Log((1 - faultyFailureRate) / (1 - rate))
}

// failureRateElsewhere returns the share of the other workers whose latest
// result of the class is a failure, within minFailureRate and maxFailureRate, and
// false if too few have a result. It counts workers instead of tasks: a worker
// that fails fast takes many tasks, whose failures would dominate the rate of the
// class.
func (t *Tracker) failureRateElsewhere(class domain.Class, self domain.WorkerID) (float64, bool) {
	c, ok := t.classes.Get(class)
	if !ok {
		return 0, false
	}
	others, failures := 0, 0
	c.latestFailed.Each(func(id domain.WorkerID, latestFailed bool) {
		if id == self {
			return
		}
		others++
		if latestFailed {
			failures++
		}
	})
	if others < minOtherWorkers {
		return 0, false
	}
	rate := float64(failures) / float64(others)
	return min(max(rate, minFailureRate), maxFailureRate), true
}

func (t *Tracker) recordLatest(e Result) {
	c, ok := t.classes.Get(e.Class)
	if !ok {
		c = &classResults{latestFailed: bounded.New[domain.WorkerID, bool](maxResultsPerClass)}
		t.classes.Put(e.Class, c)
	}
	c.latestFailed.Put(e.Worker, e.Failed)
}

// clearResults removes the results of a worker and its quarantine.
func (t *Tracker) clearResults(id domain.WorkerID) {
	t.classes.Each(func(_ domain.Class, c *classResults) { c.latestFailed.Delete(id) })
	t.quarantined = slices.DeleteFunc(t.quarantined, func(i domain.WorkerID) bool { return i == id })
}

// mayQuarantine reports whether one more worker may be quarantined; see
// maxQuarantinedShare.
func (t *Tracker) mayQuarantine() bool {
	return float64(len(t.quarantined)+1) <= maxQuarantinedShare*float64(len(t.workers))
}

func (t *Tracker) quarantine(now time.Duration, id domain.WorkerID, r *workerRecord) {
	t.clearResults(id)
	*r = workerRecord{quarantined: true, backoff: firstBackoff, probeAt: now + firstBackoff}
	t.quarantined = append(t.quarantined, id)
}

func (t *Tracker) release(id domain.WorkerID, r *workerRecord) {
	t.clearResults(id)
	*r = workerRecord{}
}
