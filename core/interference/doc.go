// Package interference learns how much the tasks of one class slow down those
// of another on the same worker, and decides when to throttle or evict batch
// tasks for it.
//
// Aggressors are batch tasks and watches. Urgent requests are victims only:
// they are shorter than the lag of the usage reports, so a report cannot be
// attributed to them.
package interference
