package worker

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// maxReports bounds the number of usage reports that wait for a renewal. When it
// is exceeded, the oldest are dropped. This only loses statistics.
const maxReports = 1000

// usageSample accumulates the resource use and slowdown of a task in the current
// interval.
type usageSample struct {
	elapsed time.Duration
	// cpuMilliNanos is the integral of the CPU use over time, in CPUMilli x
	// nanoseconds.
	cpuMilliNanos float64
	// slowdownNanos is the integral of the slowdown over time, in nanoseconds.
	slowdownNanos float64
	throttled     bool
}

func (s *usageSample) add(d time.Duration, cpuMilli int64, slowdown float64, throttled bool) {
	s.elapsed += d
	s.cpuMilliNanos += float64(cpuMilli) * float64(d)
	s.slowdownNanos += slowdown * float64(d)
	s.throttled = s.throttled || throttled
}

// usageReport is a usage report and the time at which its interval ended.
type usageReport struct {
	usage       platform.Usage
	intervalEnd time.Time
}

// finishSample ends the current interval of a task and queues its report.
func (w *Worker) finishSample(t *taskAttempt) {
	s := t.usageSample
	t.usageSample = usageSample{}
	if s.elapsed <= 0 {
		return
	}
	used := t.used()
	used.CPUMilli = int64(s.cpuMilliNanos / float64(s.elapsed))
	usage := platform.Usage{ID: t.status.Task.ID, Class: t.status.Task.Class, Used: used}
	// The slowdown of a throttled task is caused by the throttle, not by
	// interference.
	if !s.throttled {
		usage.Slowdown = s.slowdownNanos / float64(s.elapsed)
	}
	w.reports = append(w.reports, usageReport{usage: usage, intervalEnd: w.advancedTo})
	if extra := len(w.reports) - maxReports; extra > 0 {
		w.reports = append([]usageReport(nil), w.reports[extra:]...)
	}
}

// finishAllSamples ends the current interval of all running tasks.
func (w *Worker) finishAllSamples() {
	for _, t := range w.running {
		w.finishSample(t)
	}
	w.nextSampleEnd = w.advancedTo.Add(w.config.UsageInterval)
}

// takeDueUsage removes and returns the reports whose interval ended at least
// UsageLag ago.
func (w *Worker) takeDueUsage() []platform.Usage {
	var due []platform.Usage
	n := 0
	for n < len(w.reports) && w.advancedTo.Sub(w.reports[n].intervalEnd) >= w.config.UsageLag {
		usage := w.reports[n].usage
		usage.Age = w.advancedTo.Sub(w.reports[n].intervalEnd)
		due = append(due, usage)
		n++
	}
	w.reports = w.reports[n:]
	return due
}

// batchShare returns the fraction of the worker's CPU that batch tasks use.
func (w *Worker) batchShare() float64 {
	var cpu int64
	for _, t := range w.running {
		if t.status.Task.Kind == domain.KindBatch {
			cpu += t.used().CPUMilli
		}
	}
	if w.config.Capacity.CPUMilli == 0 {
		return 0
	}
	return float64(cpu) / float64(w.config.Capacity.CPUMilli)
}
