// Package straggler finds attempts that hang or are slow on a worker that looks healthy,
// so that their tasks start elsewhere.
//
// How long a task takes is known from attempts of the same step on other workers. Before
// there are any, only the client's estimate tells, which can be off by any factor. An
// estimate alone therefore gives up few attempts of a step. A task is given up as slow
// maxSlowStops times at most, and each further time that it is given up as hung takes many
// times as long, so each task ends whatever its estimate.
//
// The package does no I/O and reads no clock.
package straggler
