package interference

import (
	"math"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/policy/bounded"
)

const (
	// maxClassPairs bounds the memory: a pair takes about 200 bytes.
	maxClassPairs = 16_384
	// priorSamples is the number of samples of a pair at which half of the
	// observed slowdown is believed.
	priorSamples = 10.0
	// minLearningRate is the weight of a new sample for a pair with many samples, so
	// that the estimate follows a class that changes.
	minLearningRate = 0.05
	// maxSlowdown bounds the slowdown taken from one report: a task that was
	// paused shows any value.
	maxSlowdown = 20.0
)

type classPair struct {
	victim, aggressor domain.Class
}

// effectEstimate is the estimated logarithm of the slowdown by one unthrottled
// aggressor, from a number of samples.
type effectEstimate struct {
	value   float64
	samples float64
}

// Model holds the effects per pair of classes and what ran where.
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

// RecordStart records that a task runs on a worker.
func (m *Model) RecordStart(now time.Duration, worker domain.WorkerID, t Task) {
	m.workerRecord(worker).recordStart(now, t)
}

// RecordFinish records that a task no longer runs on a worker.
func (m *Model) RecordFinish(now time.Duration, worker domain.WorkerID, id domain.RequestID) {
	if s, ok := m.workers[worker]; ok {
		s.recordFinish(now, id)
	}
}

// ForgetWorker removes the record of a worker.
func (m *Model) ForgetWorker(worker domain.WorkerID) { delete(m.workers, worker) }

// Observe learns from a usage report of a worker. The slowdown is attributed
// to what ran there at the end of the report's interval.
func (m *Model) Observe(now time.Duration, worker domain.WorkerID, u platform.Usage) {
	if u.Slowdown <= 0 {
		return
	}
	s, ok := m.workers[worker]
	if !ok {
		return
	}
	s.recordLag(u.Age)
	loads := s.loadsAt(now-u.Age, u.ID)
	if len(loads) > 0 {
		m.learn(u.Class, loads, math.Log(min(max(u.Slowdown, 1), maxSlowdown)))
	}
}

// learn moves the effects of the aggressors towards the observed logarithm of
// the slowdown, each in proportion to its load (normalised least squares).
func (m *Model) learn(victim domain.Class, loads []load, observed float64) {
	predicted, square, total := 0.0, 0.0, 0.0
	for _, l := range loads {
		predicted += l.amount * m.effectEstimate(victim, l.class).value
		square += l.amount * l.amount
		total += l.amount
	}
	miss := observed - predicted
	for _, l := range loads {
		e := m.effectEstimate(victim, l.class)
		rate := max(minLearningRate, 1/(1+e.samples))
		e.value = max(0, e.value+rate*miss*l.amount/square)
		e.samples += l.amount / total
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

// Effect returns the logarithm of the slowdown of the victim class by one task
// of the aggressor class, shrunk towards 0 when samples are few.
func (m *Model) Effect(victim, aggressor domain.Class) float64 {
	e, ok := m.effects.Get(classPair{victim, aggressor})
	if !ok {
		return 0
	}
	return e.value * e.samples / (e.samples + priorSamples)
}

// Samples returns the number of reports from which Effect was learned, each
// divided among the classes that ran at the time.
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
	s, ok := m.workers[worker]
	if !ok {
		s = &workerRecord{lag: defaultLag}
		m.workers[worker] = s
	}
	return s
}

// ThrottleShare returns the throttle share of a running task, 1 if it is not throttled
// or not known.
func (m *Model) ThrottleShare(worker domain.WorkerID, id domain.RequestID) float64 {
	s, ok := m.workers[worker]
	if !ok {
		return 1
	}
	for i := range s.tasks {
		if st := &s.tasks[i]; st.ID == id && st.isRunning() {
			return st.share
		}
	}
	return 1
}
