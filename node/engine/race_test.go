//go:build race

package engine

import "runtime"

// The race detector of Go 1.26.8 keeps one call stack for all timers of a synctest bubble. Timers that fire on two
// processors at the same time corrupt it, and the test process crashes, so tests with the race detector use one processor.
// .ci/run runs this package without the race detector as well, on all processors.
func init() { runtime.GOMAXPROCS(1) }
