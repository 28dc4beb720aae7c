package telemetry

import (
	"bytes"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// writeProcessMetrics writes the current resource use of the process.
func writeProcessMetrics(b *bytes.Buffer) {
	writeMetric(b, Prefix+"_process_cpu_seconds_total", counterKind, cpuTime().Seconds())
	writeMetric(b, Prefix+"_process_goroutines", gaugeKind, float64(runtime.NumGoroutine()))
	writeMetric(b, Prefix+"_process_memory_bytes", gaugeKind, float64(goMemoryBytes()))
}

// cpuTime returns the user and system time of the process, 0 if it cannot be
// read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// goMemoryBytes returns the memory that the Go runtime has obtained from the
// operating system and not returned, in bytes.
func goMemoryBytes() uint64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
