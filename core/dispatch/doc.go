// Package dispatch decides which waiting tasks start on which workers.
// Prepare determines the order of the demands; docs/design/scheduling-order.md describes it.
// Planner.Plan maps a snapshot of demands and workers to placements without
// side effects. The scheduler checks each placement again when it applies it.
package dispatch
