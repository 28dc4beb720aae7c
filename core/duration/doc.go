// Package duration predicts how long tasks take. A client states an estimate for each
// step, which can be off by a factor of several, differently for each step, while the
// tasks of one step take about the same time. The prediction for a step starts from what
// its queue's steps have taken for their estimates, and follows the tasks of the step
// once some have made progress or ended.
//
// Durations here are nominal: the time of a task at full speed. A caller that knows that
// a task ran at a part of full speed multiplies its time by that part. The package does
// no I/O and reads no clock.
package duration
