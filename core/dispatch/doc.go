// Package dispatch decides which waiting tasks start on which workers. Plan is
// a pure function from a snapshot of demands and workers to placements; the
// caller checks each placement again when it is applied.
package dispatch
