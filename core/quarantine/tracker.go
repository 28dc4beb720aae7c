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
	// faultyFailRate is the failure rate that a faulty worker is tested for.
	// It is below 1, so that workers that fail most tasks are found as well.
	faultyFailRate = 0.7
	// minFailRate and maxFailRate bound the failure rate assumed for a class
	// elsewhere, which is estimated from few workers.
	minFailRate = 0.05
	maxFailRate = 0.95
	// evidenceLimit is the log likelihood ratio above which a worker is
	// quarantined. Four failures of a class that succeeds everywhere else
	// reach it; a healthy worker reaches it about once in e^9 (8,000) results.
	evidenceLimit = 9.0
	// minOthers is the number of other workers whose results of a class are
	// needed to judge a failure.
	minOthers = 2
	// maxOthers bounds the latest results kept per class.
	maxOthers  = 64
	maxClasses = 1024
	// maxShare of the workers may be in quarantine at once: a fault that shows
	// on more of them is not the workers' own.
	maxShare = 0.5
	// firstBackoff and maxBackoff bound the time before a probe; it doubles
	// with each probe that fails.
	firstBackoff = 2 * time.Second
	maxBackoff   = 2 * time.Minute
	// probesToPass is the number of successful probes that end a quarantine.
	probesToPass = 2
)

// Tracker judges workers by the results of their tasks.
type Tracker struct {
	workers  map[domain.WorkerID]*record
	classes  *bounded.Map[domain.Class, *classResults]
	isolated []domain.WorkerID // in quarantine, in order of entry
}

// record is what is known of one worker.
type record struct {
	evidence float64
	isolated bool
	backoff  time.Duration
	probeAt  time.Duration
	probing  domain.RequestID // zero if no probe runs
	passed   int
}

// classResults has the latest result of a class on each of some workers.
type classResults struct {
	failed *bounded.Map[domain.WorkerID, bool]
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
		workers: map[domain.WorkerID]*record{},
		classes: bounded.New[domain.Class, *classResults](maxClasses),
	}
}

// Add makes a worker known. A known worker keeps its record.
func (t *Tracker) Add(id domain.WorkerID) {
	if _, ok := t.workers[id]; !ok {
		t.workers[id] = &record{}
	}
}

// Remove forgets a worker.
func (t *Tracker) Remove(id domain.WorkerID) {
	delete(t.workers, id)
	t.forget(id)
}

// Isolated reports whether a worker is in quarantine.
func (t *Tracker) Isolated(id domain.WorkerID) bool {
	r, ok := t.workers[id]
	return ok && r.isolated
}

// Due lists the workers in quarantine that can take a probe now, those longest
// in quarantine first, at most limit.
func (t *Tracker) Due(now time.Duration, limit int) []domain.WorkerID {
	var due []domain.WorkerID
	for _, id := range t.isolated {
		r := t.workers[id]
		if len(due) < limit && r.probing.IsZero() && now >= r.probeAt {
			due = append(due, id)
		}
	}
	return due
}

// Started tells that a task starts on a worker. On a worker in quarantine it
// is the probe.
func (t *Tracker) Started(id domain.WorkerID, task domain.RequestID) {
	if r, ok := t.workers[id]; ok && r.isolated && r.probing.IsZero() {
		r.probing = task
	}
}

// Ended takes the result of a task and reports whether it changed the
// quarantine of its worker, with the reason as a short sentence.
func (t *Tracker) Ended(now time.Duration, e Result) (changed bool, reason string) {
	r, ok := t.workers[e.Worker]
	if !ok {
		return false, ""
	}
	if r.isolated {
		return t.endedInQuarantine(now, r, e)
	}
	if e.Stopped {
		return false, ""
	}
	rate, known := t.failRateElsewhere(e.Class, e.Worker)
	t.keep(e)
	if !known {
		return false, ""
	}
	r.evidence = max(0, r.evidence+weight(e.Failed, rate))
	if r.evidence < evidenceLimit || !t.mayIsolate() {
		return false, ""
	}
	t.isolate(now, e.Worker, r)
	return true, fmt.Sprintf("worker %s fails tasks of class %s, of which %.0f%% of other workers fail the latest", e.Worker, e.Class, rate*100)
}

func (t *Tracker) endedInQuarantine(now time.Duration, r *record, e Result) (bool, string) {
	if r.probing != e.Task {
		return false, "" // started before the quarantine
	}
	r.probing = domain.RequestID{}
	switch {
	case e.Stopped:
		return false, ""
	case e.Failed:
		return false, t.probeFailed(now, r, e)
	}
	r.passed++
	if r.passed < probesToPass {
		return false, ""
	}
	t.release(e.Worker, r)
	return true, fmt.Sprintf("worker %s completed %d probes", e.Worker, probesToPass)
}

// probeFailed extends the quarantine. The time to the next probe grows only if
// the class succeeds elsewhere.
func (t *Tracker) probeFailed(now time.Duration, r *record, e Result) string {
	rate, known := t.failRateElsewhere(e.Class, e.Worker)
	if !known || weight(true, rate) <= 0 {
		r.probeAt = now + r.backoff
		return "the probe failed, but its class is not known to succeed on other workers"
	}
	r.passed = 0
	r.backoff = min(2*r.backoff, maxBackoff)
	r.probeAt = now + r.backoff
	return fmt.Sprintf("the probe failed, the next one is due in %v", r.backoff)
}

// weight is the log likelihood ratio of a result between a faulty worker and
// one that fails the class as often as the others.
func weight(failed bool, rate float64) float64 {
	if failed {
		return math.Log(faultyFailRate / rate)
	}
	return math.Log((1 - faultyFailRate) / (1 - rate))
}

// failRateElsewhere is the share of the other workers whose latest result of
// the class is a failure. Counting workers in place of tasks keeps a worker
// that fails fast, and so takes many tasks, from ruining the class's rate.
func (t *Tracker) failRateElsewhere(class domain.Class, self domain.WorkerID) (float64, bool) {
	c, ok := t.classes.Get(class)
	if !ok {
		return 0, false
	}
	others, failures := 0, 0
	c.failed.Each(func(id domain.WorkerID, failed bool) {
		if id == self {
			return
		}
		others++
		if failed {
			failures++
		}
	})
	if others < minOthers {
		return 0, false
	}
	rate := float64(failures) / float64(others)
	return min(max(rate, minFailRate), maxFailRate), true
}

func (t *Tracker) keep(e Result) {
	c, ok := t.classes.Get(e.Class)
	if !ok {
		c = &classResults{failed: bounded.New[domain.WorkerID, bool](maxOthers)}
		t.classes.Put(e.Class, c)
	}
	c.failed.Put(e.Worker, e.Failed)
}

func (t *Tracker) forget(id domain.WorkerID) {
	t.classes.Each(func(_ domain.Class, c *classResults) { c.failed.Delete(id) })
	t.isolated = slices.DeleteFunc(t.isolated, func(i domain.WorkerID) bool { return i == id })
}

func (t *Tracker) mayIsolate() bool {
	return float64(len(t.isolated)+1) <= maxShare*float64(len(t.workers))
}

func (t *Tracker) isolate(now time.Duration, id domain.WorkerID, r *record) {
	t.forget(id)
	*r = record{isolated: true, backoff: firstBackoff, probeAt: now + firstBackoff}
	t.isolated = append(t.isolated, id)
}

func (t *Tracker) release(id domain.WorkerID, r *record) {
	t.forget(id)
	*r = record{}
}
