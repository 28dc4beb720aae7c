// Package ring assigns keys and workers to shards, and shards to nodes, by
// rendezvous hashing (xxhash64). A shard is one of the parts into which the
// requests and workers of a failure domain are divided.
//
// Every node computes the same result from the same inputs. Adding or removing
// a candidate moves only the items assigned to that candidate.
package ring
