package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// Mix describes the requests of one load run.
type Mix struct {
	// UrgentPerSecond is the mean rate of urgent requests, which arrive as a
	// Poisson process.
	UrgentPerSecond float64
	// Deadline is the deadline of urgent requests.
	Deadline time.Duration
	// BatchTasks and Watches are sent evenly over the first half of Duration.
	BatchTasks int
	Watches    int
	Duration   time.Duration
	// Seed makes arrival times, task sizes and run times repeatable.
	Seed uint64
}

// Classes of the generated requests.
const (
	classCheck    domain.Class = "credit-check"
	classSchedule domain.Class = "schedule-build"
	classWatch    domain.Class = "contract-watch"
)

// Run times of the generated tasks when they run alone on a worker, and the number of
// progress steps of each task.
const (
	minUrgentDuration = 8 * time.Millisecond
	maxUrgentDuration = 40 * time.Millisecond
	minBatchDuration  = 2 * time.Second
	maxBatchDuration  = 12 * time.Second
	progressSteps     = 20
)

// teamCount is the number of teams that submit work.
const teamCount = 8

// generator generates the tasks of a mix.
type generator struct {
	rng       *rand.Rand
	generated int
}

func newGenerator(seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 0))}
}

// nextArrivalDelay returns the time until the next urgent request arrives.
func (g *generator) nextArrivalDelay(perSecond float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (g *generator) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(g.rng.Int64N(int64(high-low)))
}

// inaccurateSize returns a declared size between half and twice the real one.
func (g *generator) inaccurateSize(real int64) int64 {
	return max(1, int64(float64(real)*(0.5+1.5*g.rng.Float64())))
}

// newTask returns a task that uses the resources used but declares its CPU and memory
// inaccurately.
func (g *generator) newTask(kind domain.Kind, class domain.Class, used domain.Resources, runTime time.Duration) domain.Task {
	g.generated++
	declared := used
	declared.CPUMilli = g.inaccurateSize(used.CPUMilli)
	declared.MemoryMiB = g.inaccurateSize(used.MemoryMiB)
	payload := fmt.Sprintf(`{"duration_ms":%d,"progress_steps":%d,"used":{"cpu_milli":%d,"memory_mib":%d},"n":%d}`,
		runTime.Milliseconds(), progressSteps, used.CPUMilli, used.MemoryMiB, g.generated)
	return domain.Task{
		Kind:      kind,
		Class:     class,
		Team:      domain.Team(fmt.Sprintf("branch-%d", g.rng.IntN(teamCount))),
		Resources: declared,
		Payload:   []byte(payload),
	}
}

func (g *generator) newUrgentTask(deadline time.Duration) domain.Task {
	used := domain.Resources{CPUMilli: 800, MemoryMiB: 512, Slots: 1, Connections: 1}
	t := g.newTask(domain.KindUrgent, classCheck, used, g.randomDuration(minUrgentDuration, maxUrgentDuration))
	t.Deadline = deadline
	return t
}

func (g *generator) newBatchTask() domain.Task {
	used := domain.Resources{CPUMilli: 2500, MemoryMiB: 6144, Slots: 1}
	return g.newTask(domain.KindBatch, classSchedule, used, g.randomDuration(minBatchDuration, maxBatchDuration))
}

func (g *generator) newWatch() domain.Task {
	used := domain.Resources{CPUMilli: 50, MemoryMiB: 64, Connections: 1}
	return g.newTask(domain.KindWatch, classWatch, used, 0)
}
