// Package fairshare orders the pending tasks of many teams by weighted fair
// share and limits each team by its quota. It skips tasks that do not fit at
// present without trying each of them.
//
// Pending tasks are grouped by team and shape: tasks of one shape have the same
// class, similar sizes and the same excluded workers. If one task does not fit,
// its shape is parked: no task of the shape is tried again, for any team, until
// a worker has enough free capacity for the smallest of them or all tasks are to
// be retried.
//
// A team's share is its dominant share, the largest of its shares of the single
// resources, divided by its weight (dominant resource fairness). The team with the
// lowest share is next.
package fairshare
