// Package telemetry provides the loggers and metrics of a node: a logger with a
// fixed prefix for each component, rate-limited warnings about faults that
// could flood the log, and a tally scope whose values are served in the
// Prometheus text format.
package telemetry
