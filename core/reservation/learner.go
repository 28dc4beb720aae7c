package reservation

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/policy/bounded"
	"github.com/basilferry/basilferry/core/policy/quantile"
)

const (
	// maxClasses bounds the memory: a class takes about 4 KiB.
	maxClasses = 1024
	// minSamples is the number of reports below which the declared size is
	// used alone: a high quantile of fewer samples is only their maximum.
	minSamples = 5
)

// Learner keeps the observed use per class.
type Learner struct {
	classes *bounded.Map[domain.Class, *classUsage]
}

type classUsage struct {
	cpu    quantile.Sketch
	memory quantile.Sketch
	// cached is the quantile last asked for, until the next report.
	cachedFor float64
	cached    domain.Resources
}

// New returns a learner without observations.
func New() *Learner {
	return &Learner{classes: bounded.New[domain.Class, *classUsage](maxClasses)}
}

// Observe takes what a task of the class used over one report interval.
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

// Estimate returns the declared size, with processor time and memory raised to the
// quantile q of the observed use of the class where that is larger.
func (l *Learner) Estimate(class domain.Class, declared domain.Resources, q float64) domain.Resources {
	c, ok := l.classes.Get(class)
	if !ok || c.cpu.Count() < minSamples {
		return declared
	}
	use := c.quantile(q)
	want := declared
	want.CPUMilli = max(declared.CPUMilli, use.CPUMilli)
	want.MemoryMiB = max(declared.MemoryMiB, use.MemoryMiB)
	return want
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

// Clamp bounds the learned part of want by size, the most that one task may
// hold on a worker. It never goes below the declared size.
func Clamp(want, declared, size domain.Resources) domain.Resources {
	want.CPUMilli = max(declared.CPUMilli, min(want.CPUMilli, size.CPUMilli))
	want.MemoryMiB = max(declared.MemoryMiB, min(want.MemoryMiB, size.MemoryMiB))
	return want
}
