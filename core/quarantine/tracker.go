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
	// faultyFailureRate is the failure rate that a faulty worker is tested for.
	// It is below 1, so that workers that fail most tasks are found as well.
	faultyFailureRate = 0.7
	// minFailureRate and maxFailureRate bound the failure rate assumed for a class
	// elsewhere, which is estimated from few workers.
	minFailureRate = 0.05
	maxFailureRate = 0.95
	// quarantineThreshold is the log likelihood ratio above which a worker is
	// quarantined. Four failures of a class that succeeds everywhere else
	// reach it; a healthy worker reaches it about once in e^9 (8,000) results.
	quarantineThreshold = 9.0
	// minOtherWorkers is the number of other workers whose results of a class are
	// needed to judge a failure.
	minOtherWorkers = 2
	// maxResultsPerClass bounds the latest results kept per class.
	maxResultsPerClass = 64
	maxClasses         = 1024
	// maxQuarantinedShare of the workers may be in quarantine at once: a fault that shows
	// on more of them is not the workers' own.
	maxQuarantinedShare = 0.5
	// firstBackoff and maxBackoff bound the time before a probe; it doubles
	// with each probe that fails.
	firstBackoff = 2 * time.Second
	maxBackoff   = 2 * time.Minute
	// probesToPass is the number of successful probes that end a quarantine.
	probesToPass = 2
)

// Tracker judges workers by the results of their tasks.
type Tracker struct {
	workers     map[domain.WorkerID]*workerRecord
	classes     *bounded.Map[domain.Class, *classResults]
	quarantined []domain.WorkerID // in quarantine, in order of entry
}

// workerRecord is what is known of one worker.
type workerRecord struct {
	evidence    float64
	quarantined bool
	backoff     time.Duration
	probeAt     time.Duration
	probing     domain.RequestID // zero if no probe runs
	passed      int
}

// classResults has the latest result of a class on each of some workers.
type classResults struct {
	latestFailed *bounded.Map[domain.WorkerID, bool]
}

// Result is the end of a task that ran on a worker.
type Result struct {
	Worker domain.WorkerID
	Task   domain.RequestID
	Class  domain.Class
	// Failed is false if the task succeeded.
	Failed bool
	// Stopped tells that the end says nothing of the worker.
	Stopped bool
}

// New returns a tracker that suspects no worker.
func New() *Tracker {
	return &Tracker{
		workers: map[domain.WorkerID]*workerRecord{},
		classes: bounded.New[domain.Class, *classResults](maxClasses),
	}
}

// AddWorker makes a worker known. A known worker keeps its record.
func (t *Tracker) AddWorker(id domain.WorkerID) {
	if _, ok := t.workers[id]; !ok {
		t.workers[id] = &workerRecord{}
	}
}

// RemoveWorker forgets a worker.
func (t *Tracker) RemoveWorker(id domain.WorkerID) {
	delete(t.workers, id)
	t.clearResults(id)
}

// IsQuarantined reports whether a worker is in quarantine.
func (t *Tracker) IsQuarantined(id domain.WorkerID) bool {
	r, ok := t.workers[id]
	return ok && r.quarantined
}

// WorkersDueForProbe lists the workers in quarantine that can take a probe now, those longest
// in quarantine first, at most limit.
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

// RecordStart tells that a task starts on a worker. On a worker in quarantine it
// is the probe.
func (t *Tracker) RecordStart(id domain.WorkerID, task domain.RequestID) {
	if r, ok := t.workers[id]; ok && r.quarantined && r.probing.IsZero() {
		r.probing = task
	}
}

// RecordResult takes the result of a task and reports whether it changed the
// quarantine of its worker, with the reason as a short sentence.
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
	return true, fmt.Sprintf("worker %s fails tasks of class %s, of which %.0f%% of other workers fail the latest", e.Worker, e.Class, rate*100)
}

func (t *Tracker) recordProbe(now time.Duration, r *workerRecord, e Result) (bool, string) {
	if r.probing != e.Task {
		return false, "" // started before the quarantine
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

// extendQuarantine extends the quarantine. The time to the next probe grows only if
// the class succeeds elsewhere.
func (t *Tracker) extendQuarantine(now time.Duration, r *workerRecord, e Result) string {
	rate, known := t.failureRateElsewhere(e.Class, e.Worker)
	if !known || logLikelihoodRatio(true, rate) <= 0 {
		r.probeAt = now + r.backoff
		return "the probe failed, but its class is not known to succeed on other workers"
	}
	r.passed = 0
	r.backoff = min(2*r.backoff, maxBackoff)
	r.probeAt = now + r.backoff
	return fmt.Sprintf("the probe failed, the next one is due in %v", r.backoff)
}

// logLikelihoodRatio is the log likelihood ratio of a result between a faulty worker and
// one that fails the class as often as the others.
func logLikelihoodRatio(failed bool, rate float64) float64 {
	if failed {
		return math.Log(faultyFailureRate / rate)
	}
	return math.Log((1 - faultyFailureRate) / (1 - rate))
}

// failureRateElsewhere is the share of the other workers whose latest result of
// the class is a failure. Counting workers in place of tasks keeps a worker
// that fails fast, and so takes many tasks, from ruining the class's rate.
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

func (t *Tracker) clearResults(id domain.WorkerID) {
	t.classes.Each(func(_ domain.Class, c *classResults) { c.latestFailed.Delete(id) })
	t.quarantined = slices.DeleteFunc(t.quarantined, func(i domain.WorkerID) bool { return i == id })
}

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
