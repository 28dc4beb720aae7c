package interference

import (
	"math"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/policy/bounded"
)

const (
	// maxPairs bounds the memory: a pair takes about 200 bytes.
	maxPairs = 16_384
	// priorSamples is the number of samples of a pair at which half of the
	// observed slowdown is believed.
	priorSamples = 10.0
	// minRate is the weight of a new sample for a pair with many samples, so
	// that the estimate follows a class that changes.
	minRate = 0.05
	// maxSlowdown bounds the slowdown taken from one report: a task that was
	// paused shows any value.
	maxSlowdown = 20.0
)

type pair struct {
	victim, aggressor domain.Class
}

// effect is the estimated logarithm of the slowdown by one unthrottled
// aggressor, from a number of samples.
type effect struct {
	value   float64
	samples float64
}

// Model holds the effects per pair of classes and what ran where.
type Model struct {
	pairs   *bounded.Map[pair, *effect]
	workers map[domain.WorkerID]*site
}

// New returns a model without observations: no class slows down another.
func New() *Model {
	return &Model{
		pairs:   bounded.New[pair, *effect](maxPairs),
		workers: map[domain.WorkerID]*site{},
	}
}

// Started records that a task runs on a worker.
func (m *Model) Started(now time.Duration, worker domain.WorkerID, t Task) {
	m.site(worker).started(now, t)
}

// Ended records that a task no longer runs on a worker.
func (m *Model) Ended(now time.Duration, worker domain.WorkerID, id domain.RequestID) {
	if s, ok := m.workers[worker]; ok {
		s.ended(now, id)
	}
}

// Forget removes the record of a worker.
func (m *Model) Forget(worker domain.WorkerID) { delete(m.workers, worker) }

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
	s.sawLag(u.Age)
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
		predicted += l.amount * m.effect(victim, l.class).value
		square += l.amount * l.amount
		total += l.amount
	}
	miss := observed - predicted
	for _, l := range loads {
		e := m.effect(victim, l.class)
		rate := max(minRate, 1/(1+e.samples))
		e.value = max(0, e.value+rate*miss*l.amount/square)
		e.samples += l.amount / total
	}
}

func (m *Model) effect(victim, aggressor domain.Class) *effect {
	key := pair{victim, aggressor}
	e, ok := m.pairs.Get(key)
	if !ok {
		e = &effect{}
		m.pairs.Put(key, e)
	}
	return e
}

// Effect returns the logarithm of the slowdown of the victim class by one task
// of the aggressor class, shrunk towards 0 when samples are few.
func (m *Model) Effect(victim, aggressor domain.Class) float64 {
	e, ok := m.pairs.Get(pair{victim, aggressor})
	if !ok {
		return 0
	}
	return e.value * e.samples / (e.samples + priorSamples)
}

// Samples returns the number of reports from which Effect was learned, each
// divided among the classes that ran at the time.
func (m *Model) Samples(victim, aggressor domain.Class) float64 {
	e, ok := m.pairs.Get(pair{victim, aggressor})
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

func (m *Model) site(worker domain.WorkerID) *site {
	s, ok := m.workers[worker]
	if !ok {
		s = &site{lag: defaultLag}
		m.workers[worker] = s
	}
	return s
}

// Share returns the throttle share of a running task, 1 if it is not throttled
// or not known.
func (m *Model) Share(worker domain.WorkerID, id domain.RequestID) float64 {
	s, ok := m.workers[worker]
	if !ok {
		return 1
	}
	for i := range s.stays {
		if st := &s.stays[i]; st.ID == id && st.runs() {
			return st.share
		}
	}
	return 1
}
