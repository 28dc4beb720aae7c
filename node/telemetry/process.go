package telemetry

import (
	"bytes"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// writeProcess writes what the process itself uses, read at the time of the
// call.
func writeProcess(b *bytes.Buffer) {
	writeSingle(b, Prefix+"_process_cpu_seconds_total", counterKind, cpuTime().Seconds())
	writeSingle(b, Prefix+"_process_goroutines", gaugeKind, float64(runtime.NumGoroutine()))
	writeSingle(b, Prefix+"_process_memory_bytes", gaugeKind, float64(goMemory()))
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

// goMemory returns the memory that the Go runtime holds and has not returned to
// the operating system, in bytes.
func goMemory() uint64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
