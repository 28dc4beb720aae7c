// Package sharing decides how filling tasks share a worker with serving tasks.
//
// The tail latency of a serving task grows with the pressure on it: its own
// load plus what each filling task beside it adds. A tail of t and one without
// any pressure of t0 give the pressure 1 - t0/t, as in a queue. The package
// learns by regression how much pressure one core of each filling image puts
// on each serving image, and says where a filling task fits and how fast it may
// run. Few pairs of images put much pressure on each other. The package is
// pure.
package sharing
