// Package dispatch decides which waiting tasks start on which workers.
// Planner.Plan maps a snapshot of demands and workers to placements without
// side effects. The scheduler checks each placement again when it applies it.
package dispatch
