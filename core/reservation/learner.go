package reservation

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/policy/bounded"
	"github.com/basilferry/basilferry/core/policy/quantile"
)

const (
	// maxClasses limits the memory use: a class takes about 4 KiB.
	maxClasses = 1024
	// minSamples is the number of reports of a class below which only the
	// declared size is used. A high quantile of a few samples is just their
	// maximum.
	minSamples = 5
)

// Learner holds the observed use per class.
type Learner struct {
	classes *bounded.Map[domain.Class, *classUsage]
}

type classUsage struct {
	cpu    quantile.Sketch
	memory quantile.Sketch
	// cached is the observed use at the quantile cachedFor. It is valid until the
	// next report, which sets cachedFor to 0.
	cachedFor float64
	cached    domain.Resources
}

// New returns a learner without observations.
func New() *Learner {
	return &Learner{classes: bounded.New[domain.Class, *classUsage](maxClasses)}
}

// Observe records what a task of the class used over one report interval.
func (l *Learner) Observe(class domain.Class, used domain.Resources) {
	c, ok := l.classes.Get(class)
	if !ok {
		c = &classUsage{}
		l.classes.Put(class, c)
	}
	c.cpu.Add(used.CPUMilli)
	c.memory.Add(used.MemoryMiB)
	c.cachedFor = 0
}

// Estimate returns the declared size, with CPU and memory raised to the quantile
// q of the observed use of the class where that is larger.
func (l *Learner) Estimate(class domain.Class, declared domain.Resources, q float64) domain.Resources {
	c, ok := l.classes.Get(class)
	if !ok || c.cpu.Count() < minSamples {
		return declared
	}
	usage := c.quantile(q)
	estimate := declared
	estimate.CPUMilli = max(declared.CPUMilli, usage.CPUMilli)
	estimate.MemoryMiB = max(declared.MemoryMiB, usage.MemoryMiB)
	return estimate
}

func (c *classUsage) quantile(q float64) domain.Resources {
	if c.cachedFor == q {
		return c.cached
	}
	c.cachedFor = q
	c.cached = domain.Resources{
		CPUMilli:  c.cpu.Quantile(q),
		MemoryMiB: c.memory.Quantile(q),
	}
	return c.cached
}

// Clamp limits the CPU and memory of estimate to limit, the most that the task may
// reserve on a worker. The result is never below the declared size.
func Clamp(estimate, declared, limit domain.Resources) domain.Resources {
	estimate.CPUMilli = max(declared.CPUMilli, min(estimate.CPUMilli, limit.CPUMilli))
	estimate.MemoryMiB = max(declared.MemoryMiB, min(estimate.MemoryMiB, limit.MemoryMiB))
	return estimate
}
