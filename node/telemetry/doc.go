// Package telemetry makes the loggers and the metrics of a node: one logger for
// each component with a fixed prefix, a rate limit for faults that could flood
// the log, and a tally scope whose values are served in the Prometheus text
// format.
package telemetry
