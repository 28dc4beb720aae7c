// Package jobview is each node's read view of the jobs, folded from the
// records in the store. It answers callers on every node and is what a new
// owner starts from.
package jobview
