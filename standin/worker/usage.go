package worker

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// maxReports bounds the usage reports that wait for a renewal. Above it the
// oldest are dropped; they are statistics.
const maxReports = 1000

// sample accumulates what a task used in the current interval.
type sample struct {
	elapsed time.Duration
	// cpuNanos is CPUMilli x nanoseconds.
	cpuNanos float64
	// slowNanos is slowdown x nanoseconds.
	slowNanos float64
	throttled bool
}

func (s *sample) add(d time.Duration, cpuMilli int64, slowdown float64, throttled bool) {
	s.elapsed += d
	s.cpuNanos += float64(cpuMilli) * float64(d)
	s.slowNanos += slowdown * float64(d)
	s.throttled = s.throttled || throttled
}

// report is a usage report and the time at which its interval ended.
type report struct {
	usage platform.Usage
	ended time.Time
}

// sampleRun closes the interval of one task and queues its report.
func (w *Worker) sampleRun(t *run) {
	s := t.sample
	t.sample = sample{}
	if s.elapsed <= 0 {
		return
	}
	used := t.used()
	used.CPUMilli = int64(s.cpuNanos / float64(s.elapsed))
	usage := platform.Usage{ID: t.status.Task.ID, Class: t.status.Task.Class, Used: used}
	// A throttled task's time measures its throttle, not interference.
	if !s.throttled {
		usage.Slowdown = s.slowNanos / float64(s.elapsed)
	}
	w.reports = append(w.reports, report{usage: usage, ended: w.at})
	if extra := len(w.reports) - maxReports; extra > 0 {
		w.reports = append([]report(nil), w.reports[extra:]...)
	}
}

// sampleAll closes the interval of all running tasks.
func (w *Worker) sampleAll() {
	for _, t := range w.running {
		w.sampleRun(t)
	}
	w.nextSample = w.at.Add(w.config.UsageInterval)
}

// takeUsage removes and returns the reports that are older than the lag.
func (w *Worker) takeUsage() []platform.Usage {
	var due []platform.Usage
	n := 0
	for n < len(w.reports) && w.at.Sub(w.reports[n].ended) >= w.config.UsageLag {
		usage := w.reports[n].usage
		usage.Age = w.at.Sub(w.reports[n].ended)
		due = append(due, usage)
		n++
	}
	w.reports = w.reports[n:]
	return due
}

// batchShare returns the share of the worker's CPU that batch tasks use.
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
