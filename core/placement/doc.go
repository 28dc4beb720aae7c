// Package placement keeps the capacity vectors of the workers of a shard and
// picks a worker for a demand. The cost of a decision does not depend on the
// number of workers: candidates are drawn at random from a seeded generator,
// and a tree over the free capacity finds the rest when few draws fit.
package placement
