// Package ring maps keys, shards and workers by rendezvous hashing (xxhash64).
// Every node computes the same result from the same inputs, and adding or
// removing one candidate moves only the keys of that candidate.
package ring
