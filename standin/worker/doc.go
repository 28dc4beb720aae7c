// Package worker simulates a worker VM for tests and for the embedded mode. It
// implements platform.Worker in memory, with sessions under leases, a capacity
// check in every dimension, tasks whose behaviour is set by their payload, delayed
// usage reports, and fault injection. Independently of the scheduler, it keeps a
// history of which task ran when and with which reservation.
//
// Each call and one timer bring the state up to the current time. Each event
// takes effect at the time at which it was due, so the results are the same with
// a real and with a virtual clock.
package worker
