// Package interference learns how much the tasks of one class slow down the
// tasks of another class on the same worker, and decides when to throttle or
// evict batch tasks to protect urgent requests.
//
// Interference is measured as a slowdown: the time that a task needs divided by
// the time that it needs alone on the worker. 1 is no interference. The effects of
// several tasks multiply, so the model adds up logarithms of slowdowns.
//
// An aggressor slows down a victim. Aggressors are batch tasks and watches.
// Urgent requests are victims only: they are shorter than the lag of the usage
// reports, so a slowdown cannot be attributed to them.
package interference
