// Package backlog describes the owner's outstanding work in a form that is small enough
// for a record that all nodes read, and estimates from it when a new job would finish. It
// decides whether a job is refused because it would finish too late to have any value. It
// has no clock: the caller decides whether a description is recent enough to be used.
package backlog
