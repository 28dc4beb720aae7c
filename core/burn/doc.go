// Package burn measures how well the service-level objective of each kind of task
// is met. It counts good and bad events in a ring of time buckets and computes
// the burn rate: how fast the error budget is spent. At a burn rate of 1 the
// share of bad events is exactly the one that the objective allows.
//
// The counts of several nodes can be merged, because buckets are aligned to
// wall-clock time. The package reads no clock.
package burn
