// Package fleet simulates the platform's store and workers in one process, for
// end-to-end tests without a network. The store is linearizable and has keyed
// topics, conditional appends and fenced producers. The workers have fencing
// tokens and leases, and report completions until they are acknowledged.
package fleet
