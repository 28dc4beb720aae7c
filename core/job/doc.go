// Package job holds the domain types of a job: its steps with their
// dependencies, the tasks of a step, and the queue whose policy applies. It
// depends on no protocol and makes no placement decisions.
package job
