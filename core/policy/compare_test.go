package policy

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/shard"
)

var compare = flag.Bool("compare", false, "run the comparison with the baselines (minutes)")

// deadline is the time that every simulated urgent request has from its arrival.
const deadline = 500 * time.Millisecond

var (
	site32Cores = site{"32 cores", 50, 8, domain.Resources{CPUMilli: 32_000, MemoryMiB: 125_000, Slots: 8, Connections: 64}}
	site16Cores = site{"16 cores", 50, 6, domain.Resources{CPUMilli: 16_000, MemoryMiB: 60_000, Slots: 8, Connections: 64}}
)

// site is a set of workers of equal capacity.
type site struct {
	name             string
	workers, perRack int
	capacity         domain.Resources
}

// size returns a demand for a part of the CPU and memory of a worker of the site.
func (s site) size(part float64) domain.Resources {
	return domain.Resources{CPUMilli: int64(part * float64(s.capacity.CPUMilli)), MemoryMiB: int64(part * float64(s.capacity.MemoryMiB)), Slots: 1, Connections: 1}
}

// options are the parameters that differ between runs of a scenario.
type options struct {
	noBatch   bool // only urgent requests
	trueSizes bool // the declared sizes are the real ones
	// urgentRate is the number of urgent requests per worker and second; zero
	// means 10.
	urgentRate float64
	span       time.Duration
}

type scenario struct {
	name string
	load func(s *sim, at site, o options)
}

// mix is the batch load of a scenario, with the errors in the declared sizes.
type mix struct {
	waves                 bool    // bursts of noisy tasks
	noisy, steady, urgent float64 // ratio of declared to real size
	// large makes noisy tasks twice as large and halves their number, so that
	// CPU and not slots limits them.
	large bool
}

var (
	trueMix  = mix{noisy: 1, steady: 1, urgent: 1}
	waveMix  = mix{waves: true, noisy: 1, steady: 1, urgent: 1}
	wrongMix = mix{waves: true, noisy: 0.25, steady: 4, urgent: 0.5, large: true}
	// smallMix and largeMix separate the effects of declared sizes that are too
	// small and too large.
	smallMix = mix{waves: true, noisy: 0.25, steady: 0.25, urgent: 0.5, large: true}
	largeMix = mix{waves: true, noisy: 1, steady: 4, urgent: 2, large: true}
)

var scenarios = []scenario{
	{"steady", func(s *sim, at site, o options) { s.load(at, o, trueMix) }},
	{"noisy waves", func(s *sim, at site, o options) { s.load(at, o, waveMix) }},
	{"noisy waves at 2.5 times the urgent load", func(s *sim, at site, o options) {
		o.urgentRate = 25
		s.load(at, o, waveMix)
	}},
	{"wrong sizes", func(s *sim, at site, o options) { s.load(at, o, wrongMix) }},
	{"sizes too small", func(s *sim, at site, o options) { s.load(at, o, smallMix) }},
	{"sizes too large", func(s *sim, at site, o options) { s.load(at, o, largeMix) }},
	{"faulty workers", func(s *sim, at site, o options) {
		for i := range 3 {
			s.workers[i*17%len(s.workers)].faulty = true
		}
		s.load(at, o, waveMix)
	}},
	{"cancellations", func(s *sim, at site, o options) {
		s.load(at, o, waveMix)
		s.cancelWave(at, o)
	}},
}

// load submits urgent requests, batch tasks at a steady rate and, with waves,
// bursts of noisy batch tasks.
func (s *sim) load(at site, o options, m mix) {
	if o.trueSizes {
		m.noisy, m.steady, m.urgent = 1, 1, 1
	}
	size, burst := 0.12, 6*at.workers
	if m.large {
		size, burst = 2*size, burst/2
	}
	credit := &simClass{"credit-check", domain.KindUrgent, at.size(0.04), 0.04, 0.4, 0, m.urgent}
	settlement := &simClass{"settlement", domain.KindBatch, at.size(size), 8, 0.5, 0.2, m.noisy}
	build := &simClass{"schedule-build", domain.KindBatch, at.size(0.1), 6, 0.5, 0, m.steady}
	rate := o.urgentRate
	if rate == 0 {
		rate = 10
	}
	s.urgent(credit, rate*float64(at.workers), deadline)
	if o.noBatch {
		return
	}
	s.steady(build, 0.2*float64(at.workers))
	for start := 5 * time.Second; m.waves && start < o.span; start += 15 * time.Second {
		s.at(start, func() { s.burst(settlement, burst) })
	}
}

// steady enqueues batch tasks of a class at a Poisson rate per second.
func (s *sim) steady(c *simClass, rate float64) {
	s.at(s.now+time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.enqueue(s.newTask(c, domain.Team(fmt.Sprint("t", s.seq%10))))
		s.startPending()
		s.steady(c, rate)
	})
}

func (s *sim) burst(c *simClass, n int) {
	for i := range n {
		s.enqueue(s.newTask(c, domain.Team(fmt.Sprint("t", i%10))))
	}
	s.startPending()
}

// cancelWave enqueues 10,000 batch tasks, of which only one at a time fits on a
// worker, and later cancels all of them at the same time.
func (s *sim) cancelWave(at site, o options) {
	if o.noBatch {
		return
	}
	big := &simClass{"archive", domain.KindBatch, at.size(0.7), 5, 0.5, 0, 1}
	var wave []*simTask
	s.at(8*time.Second, func() {
		for i := range 10_000 {
			t := s.newTask(big, domain.Team(fmt.Sprint("t", i%1000)))
			wave = append(wave, t)
			s.enqueue(t)
		}
		s.startPending()
	})
	s.at(12*time.Second, func() {
		for _, t := range wave {
			s.policy.Dequeue(t.ID)
		}
	})
}

type measurement struct {
	p99, p999                  float64 // milliseconds
	warm99                     float64 // p99 without the first third of the requests
	misses, work               float64 // share of urgent requests past the deadline; batch core-seconds per second
	evictions, throttles, fail float64
}

func measure(sc scenario, at site, seed uint64, p shard.Policy, o options) measurement {
	s := newSim(p, seed, at.workers, at.perRack, at.capacity)
	sc.load(s, at, o)
	s.run(o.span)
	n := len(s.latencies)
	warm := slices.Clone(s.latencies[n/3:])
	slices.Sort(warm)
	slices.Sort(s.latencies)
	return measurement{
		warm99: warm[len(warm)*99/100],
		p99:    s.latencies[n*99/100], p999: s.latencies[n*999/1000],
		misses: float64(s.misses) / float64(n), work: s.work / o.span.Seconds(),
		evictions: float64(s.evictions), throttles: float64(s.throttles), fail: float64(s.failures),
	}
}

// contender is a policy to compare with others.
type contender struct {
	name string
	make func(seed uint64) shard.Policy
	o    options
}

func contenders(span time.Duration) []contender {
	newPolicy := func(seed uint64) shard.Policy { return New(Config{Seed: seed}) }
	return []contender{
		{"no batch", newPolicy, options{noBatch: true, span: span}},
		{"policy", newPolicy, options{span: span}},
		{"first fit", func(seed uint64) shard.Policy { return newBaseline(seed, firstFit) }, options{span: span}},
		{"two choices", func(seed uint64) shard.Policy { return newBaseline(seed, twoChoices) }, options{span: span}},
		{"true sizes", func(seed uint64) shard.Policy { return newBaseline(seed, leastLoaded) }, options{trueSizes: true, span: span}},
	}
}

// TestComparison prints the results of the policy and of the baselines. It takes
// minutes and checks nothing; the targets are in docs/design.md, section 7.
func TestComparison(t *testing.T) {
	if !*compare {
		t.Skip("needs -compare")
	}
	seeds := []uint64{1, 2, 3, 4, 5}
	fmt.Println("seeds", seeds, "; each cell: median / worst over the seeds")
	for _, at := range []site{site32Cores, site16Cores} {
		for _, sc := range scenarios {
			t.Run(at.name+"/"+sc.name, func(t *testing.T) { compareAll(sc, at, seeds) })
		}
	}
}

func compareAll(sc scenario, at site, seeds []uint64) {
	fmt.Printf("\n%s, %s\n%-12s %17s %17s %17s %19s %15s %13s %13s %13s\n", at.name, sc.name, "", "p99 ms", "p99 after 20 s", "p99.9 ms", "misses %", "batch cores", "evictions", "throttles", "failed")
	for _, c := range contenders(60 * time.Second) {
		runs := make([]measurement, len(seeds))
		var group sync.WaitGroup
		for i, seed := range seeds {
			group.Go(func() { runs[i] = measure(sc, at, seed, c.make(seed), c.o) })
		}
		group.Wait()
		printRow(c.name, runs)
	}
}

func printRow(name string, runs []measurement) {
	cell := func(get func(measurement) float64, worst int) (float64, float64) {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = get(r)
		}
		slices.Sort(values)
		return values[len(values)/2], values[worst]
	}
	high := len(runs) - 1
	fmt.Printf("%-12s", name)
	for _, c := range []struct {
		get    func(measurement) float64
		worst  int
		format string
	}{
		{func(m measurement) float64 { return m.p99 }, high, " %8.1f /%7.1f"},
		{func(m measurement) float64 { return m.warm99 }, high, " %8.1f /%7.1f"},
		{func(m measurement) float64 { return m.p999 }, high, " %8.1f /%7.1f"},
		{func(m measurement) float64 { return 100 * m.misses }, high, " %9.3f /%8.3f"},
		{func(m measurement) float64 { return m.work }, 0, " %6.1f /%7.1f"},
		{func(m measurement) float64 { return m.evictions }, high, " %5.0f /%6.0f"},
		{func(m measurement) float64 { return m.throttles }, high, " %5.0f /%6.0f"},
		{func(m measurement) float64 { return m.fail }, high, " %5.0f /%6.0f"},
	} {
		median, worst := cell(c.get, c.worst)
		fmt.Printf(c.format, median, worst)
	}
	fmt.Println()
}

// Guards against a policy that, under bursts of noisy tasks and starting without
// learned state, misses the targets for the latency of urgent requests and for
// batch work; see docs/design.md, section 7.
func TestNoisyBurstsKeepLatencyAndThroughput(t *testing.T) {
	const seed, span = 1, 25 * time.Second
	run := func(p shard.Policy, o options) measurement {
		o.span = span
		return measure(scenarios[1], site32Cores, seed, p, o)
	}
	alone := run(New(Config{Seed: seed}), options{noBatch: true})
	ours := run(New(Config{Seed: seed}), options{})
	best := run(newBaseline(seed, leastLoaded), options{trueSizes: true})
	t.Logf("seed %d: p99 %.1f ms, without batch %.1f ms; batch work %.1f cores, baseline with true sizes %.1f cores", seed, ours.p99, alone.p99, ours.work, best.work)
	assert.Assert(t, ours.p99 <= 1.3*alone.p99)
	assert.Assert(t, ours.work >= 0.9*best.work)
	assert.Assert(t, ours.misses == 0)
}
