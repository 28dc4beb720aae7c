// Package fleet plays the platform's store and workers in one process, for
// tests of the whole path without a network: a linearizable store with keyed
// topics, conditional appends and fenced producers, and workers with tokens,
// leases and ends that are listed until they are acknowledged.
package fleet
