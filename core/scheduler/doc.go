// Package scheduler makes the scheduling decisions of the owner, the entry node
// that schedules. It combines the job table, the worker table and the planner
// into one state machine. Its inputs are events: jobs, worker reports, results
// of commands and stored records. Its outputs are commands to workers and
// records to store. It does no input or output and reads no clock: times are
// passed in, and a driver carries out the commands.
//
// A placement is stored before its start request is sent. A completion is stored
// before the worker may forget it and before anything that depends on it starts.
//
// An attempt is one execution of a task on a worker. It may run until the worker's
// lease expires; worker heartbeats renew the lease. A serving task is a
// latency-sensitive service task with a tail latency target. A best-effort task
// uses the capacity that other tasks leave, and can be throttled. It can slow down
// the serving tasks on the same worker. Package sharing derives a utilization from
// the tail latency of a serving task: 0 without load, close to 1 at saturation. The
// interference of a best-effort task is the part of that utilization that it causes.
package scheduler
