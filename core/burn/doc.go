// Package burn measures the service-level objective of each kind of task. It
// counts good and bad events in a ring of time buckets and computes how fast the
// error budget is spent. A burn rate of 1 spends exactly the budget that the
// objective allows.
//
// The counts of several nodes can be merged, because buckets are aligned to
// wall-clock time. The package reads no clock.
package burn
