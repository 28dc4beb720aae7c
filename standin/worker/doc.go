// Package worker is a stand-in for a worker VM. It implements platform.Worker
// in memory: sessions under leases, a capacity check in every dimension, tasks
// whose course is a function of their payload, lagging usage reports, and
// fault controls. A recorder that is independent of the scheduler lists what
// ran when and with which reservation.
//
// The state is brought up to the current time at each call and by one timer,
// and each event takes effect at the instant at which it was due. The result
// is therefore the same with a real and with a virtual clock.
package worker
