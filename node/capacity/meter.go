package capacity

import (
	"runtime"
	"syscall"
	"time"
	"unsafe"
)

// clockProcessCPU is CLOCK_PROCESS_CPUTIME_ID of clock_gettime(2).
const clockProcessCPU = 2

// cpuTime returns the processor time that the process has used. Unlike wall
// clock time, it does not grow while other processes use the processors.
func cpuTime() time.Duration {
	var t syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockProcessCPU, uintptr(unsafe.Pointer(&t)), 0)
	if errno != 0 {
		panic("clock_gettime: " + errno.Error())
	}
	return time.Duration(t.Nano())
}

// cpuMicros returns the processor time of f in microseconds.
func cpuMicros(f func()) float64 {
	runtime.GC()
	before := cpuTime()
	f()
	return float64(cpuTime()-before) / float64(time.Microsecond)
}

// heapGrowth returns by how many bytes the live heap grows while the result of f
// is in use.
func heapGrowth(f func() any) float64 {
	before := liveHeapBytes()
	kept := f()
	grown := liveHeapBytes() - before
	runtime.KeepAlive(kept)
	return grown
}

// liveHeapBytes returns the size of the live heap after garbage collection.
func liveHeapBytes() float64 {
	// The second collection frees what finalizers and pools still held during
	// the first.
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
