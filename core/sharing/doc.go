// Package sharing decides how best-effort tasks share a worker with serving
// tasks.
//
// A serving task is a latency-sensitive service task with a target for its
// tail latency. Its tail latency grows with the effective utilization of the
// resources it uses, as in a queue: if t0 is the tail without any load, a tail
// of t shows a utilization of 1 - t0/t. Utilization has no unit; it is 0
// without load and approaches 1 as the tail grows without bound. It is the sum
// of two parts:
//
//   - The user load: the utilization that the requests of the task's users
//     cause. It is the same for all tasks of one step, on whatever worker they
//     run, and oscillates with a period that all steps share.
//   - Interference: the utilization that each colocated best-effort task adds.
//     It is a constant for each pair of images, called the effect, times the
//     share of the worker's processors that the best-effort task uses.
//
// The package learns the user load of each step, mainly from the samples with
// little interference, and forecasts it. By regression it learns the effect of
// each best-effort image on each serving image from what the forecast does not
// explain. From both it derives on which workers a best-effort task fits and
// how fast it may run until the next sample. The package does no I/O and reads
// no clock.
package sharing
