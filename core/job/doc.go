// Package job holds the domain types of a job: steps with dependencies, the
// tasks of a step, and the queue whose policy applies. It depends on no
// protocol and makes no decision about placement.
package job
