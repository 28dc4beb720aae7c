// Package placement tracks the capacity and the reservations of the workers of
// a shard and picks a worker for a task. A shard is the part of a failure
// domain's workers that one node schedules at a time.
//
// The cost of a decision hardly depends on the number of workers: candidates are
// sampled with a seeded random generator. If the task fits on too few of the
// samples, a search tree over the free capacity finds more candidates. The search
// visits a limited number of nodes.
package placement
