// Package fleet is the owner's worker table: the state of each worker, when its
// lease expires at the latest, and which attempts may be executing on it. The
// package does no I/O and reads no clock; callers pass in times as Instants.
package fleet
