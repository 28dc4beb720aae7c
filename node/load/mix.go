package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Mix describes the requests of one run.
type Mix struct {
	// UrgentPerSecond is the mean rate of urgent requests; arrivals are random
	// (Poisson).
	UrgentPerSecond float64
	// Deadline of urgent requests.
	Deadline time.Duration
	// BatchTasks and Watches are sent evenly over the first half of Duration.
	BatchTasks int
	Watches    int
	Duration   time.Duration
	// Seed makes arrivals, sizes and run times repeatable.
	Seed uint64
}

// Classes of the generated requests.
const (
	classCheck    domain.Class = "credit-check"
	classSchedule domain.Class = "schedule-build"
	classWatch    domain.Class = "contract-watch"
)

// Run times of the generated tasks, alone on a worker.
const (
	minUrgentRun = 8 * time.Millisecond
	maxUrgentRun = 40 * time.Millisecond
	minBatchRun  = 2 * time.Second
	maxBatchRun  = 12 * time.Second
	batchSteps   = 20
)

// teams is the number of teams that submit work.
const teams = 8

// generator makes the tasks of a mix.
type generator struct {
	rng *rand.Rand
	n   int
}

func newGenerator(seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 0))}
}

// arrival returns the time to the next urgent request.
func (g *generator) arrival(perSecond float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (g *generator) between(low, high time.Duration) time.Duration {
	return low + time.Duration(g.rng.Int64N(int64(high-low)))
}

// wrongSize declares a size that is wrong by up to a factor of two either way.
func (g *generator) wrongSize(real int64) int64 {
	return max(1, int64(float64(real)*(0.5+1.5*g.rng.Float64())))
}

func (g *generator) task(kind domain.Kind, class domain.Class, used domain.Resources, run time.Duration) domain.Task {
	g.n++
	declared := used
	declared.CPUMilli = g.wrongSize(used.CPUMilli)
	declared.MemoryMiB = g.wrongSize(used.MemoryMiB)
	payload := fmt.Sprintf(`{"duration_ms":%d,"progress_steps":%d,"used":{"cpu_milli":%d,"memory_mib":%d},"n":%d}`,
		run.Milliseconds(), batchSteps, used.CPUMilli, used.MemoryMiB, g.n)
	return domain.Task{
		Kind:      kind,
		Class:     class,
		Team:      domain.Team(fmt.Sprintf("branch-%d", g.rng.IntN(teams))),
		Resources: declared,
		Payload:   []byte(payload),
	}
}

func (g *generator) urgent(deadline time.Duration) domain.Task {
	used := domain.Resources{CPUMilli: 800, MemoryMiB: 512, Slots: 1, Connections: 1}
	t := g.task(domain.KindUrgent, classCheck, used, g.between(minUrgentRun, maxUrgentRun))
	t.Deadline = deadline
	return t
}

func (g *generator) batch() domain.Task {
	used := domain.Resources{CPUMilli: 2500, MemoryMiB: 6144, Slots: 1}
	return g.task(domain.KindBatch, classSchedule, used, g.between(minBatchRun, maxBatchRun))
}

func (g *generator) watch() domain.Task {
	used := domain.Resources{CPUMilli: 50, MemoryMiB: 64, Connections: 1}
	return g.task(domain.KindWatch, classWatch, used, 0)
}
