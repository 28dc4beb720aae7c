package interference

import (
	"math"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/policy/bounded"
)

const (
	// maxClassPairs limits the memory use: a pair takes about 200 bytes.
	maxClassPairs = 16_384
	// priorSamples is the number of samples of a pair at which Effect returns
	// half of the estimate. With fewer samples it returns less.
	priorSamples = 10.0
	// minLearningRate is the weight of a new sample for a pair with many
	// samples. It lets the estimate follow a class whose effect changes.
	minLearningRate = 0.05
	// maxSlowdown is the maximum slowdown used from one report. A task that was
	// paused can report any value.
	maxSlowdown = 20.0
)

type classPair struct {
	victim, aggressor domain.Class
}

// effectEstimate is the estimated logarithm of the slowdown by one unthrottled
// aggressor, with the number of samples that it is based on.
type effectEstimate struct {
	value   float64
	samples float64
}

// Model holds the estimated effect for each pair of classes and a record of the
// tasks that ran on each worker.
type Model struct {
	effects *bounded.Map[classPair, *effectEstimate]
	workers map[domain.WorkerID]*workerRecord
}

// New returns a model without observations: no class slows down another.
func New() *Model {
	return &Model{
		effects: bounded.New[classPair, *effectEstimate](maxClassPairs),
		workers: map[domain.WorkerID]*workerRecord{},
	}
}

// RecordStart records that a task starts on a worker. Of an urgent request it
// records only the class, as one to protect.
func (m *Model) RecordStart(now time.Duration, worker domain.WorkerID, t Task) {
	m.workerRecord(worker).recordStart(now, t)
}

// RecordFinish records that a task no longer runs on a worker.
func (m *Model) RecordFinish(now time.Duration, worker domain.WorkerID, id domain.RequestID) {
	if w, ok := m.workers[worker]; ok {
		w.recordFinish(now, id)
	}
}

// ForgetWorker removes the record of a worker. Learned effects stay.
func (m *Model) ForgetWorker(worker domain.WorkerID) { delete(m.workers, worker) }

// Observe learns from a usage report of a worker. It attributes the slowdown to
// the tasks that ran there at the end of the report's interval.
func (m *Model) Observe(now time.Duration, worker domain.WorkerID, u platform.Usage) {
	if u.Slowdown <= 0 {
		return
	}
	w, ok := m.workers[worker]
	if !ok {
		return
	}
	w.recordLag(u.Age)
	loads := w.loadsAt(now-u.Age, u.ID)
	if len(loads) > 0 {
		m.learn(u.Class, loads, math.Log(min(max(u.Slowdown, 1), maxSlowdown)))
	}
}

// learn moves the effects of the aggressors towards the observed logarithm of
// the slowdown, each in proportion to its load (normalised least mean squares).
func (m *Model) learn(victim domain.Class, loads []load, observed float64) {
	predicted, sumOfSquares, totalLoad := 0.0, 0.0, 0.0
	for _, l := range loads {
		predicted += l.amount * m.effectEstimate(victim, l.class).value
		sumOfSquares += l.amount * l.amount
		totalLoad += l.amount
	}
	residual := observed - predicted
	for _, l := range loads {
		e := m.effectEstimate(victim, l.class)
		rate := max(minLearningRate, 1/(1+e.samples))
		e.value = max(0, e.value+rate*residual*l.amount/sumOfSquares)
		e.samples += l.amount / totalLoad
	}
}

func (m *Model) effectEstimate(victim, aggressor domain.Class) *effectEstimate {
	key := classPair{victim, aggressor}
	e, ok := m.effects.Get(key)
	if !ok {
		e = &effectEstimate{}
		m.effects.Put(key, e)
	}
	return e
}

// Effect returns the estimated logarithm of the slowdown of the victim class by
// one task of the aggressor class. With few samples it is shrunk towards 0.
func (m *Model) Effect(victim, aggressor domain.Class) float64 {
	e, ok := m.effects.Get(classPair{victim, aggressor})
	if !ok {
		return 0
	}
	return e.value * e.samples / (e.samples + priorSamples)
}

// Samples returns the number of reports on which Effect is based. A report counts
// as one sample, divided among the classes that ran at the time.
func (m *Model) Samples(victim, aggressor domain.Class) float64 {
	e, ok := m.effects.Get(classPair{victim, aggressor})
	if !ok {
		return 0
	}
	return e.samples
}

// Slowdown returns the factor by which one task of the aggressor class slows
// down a task of the victim class; 1 is no effect.
func (m *Model) Slowdown(victim, aggressor domain.Class) float64 {
	return math.Exp(m.Effect(victim, aggressor))
}

func (m *Model) workerRecord(worker domain.WorkerID) *workerRecord {
	w, ok := m.workers[worker]
	if !ok {
		w = &workerRecord{lag: defaultLag}
		m.workers[worker] = w
	}
	return w
}

// ThrottleShare returns the share of its reservation that a running task may
// use. It is 1 if the task is unknown or not throttled.
func (m *Model) ThrottleShare(worker domain.WorkerID, id domain.RequestID) float64 {
	w, ok := m.workers[worker]
	if !ok {
		return 1
	}
	for i := range w.tasks {
		if t := &w.tasks[i]; t.ID == id && t.isRunning() {
			return t.share
		}
	}
	return 1
}
