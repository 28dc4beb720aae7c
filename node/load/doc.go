// Package load sends a repeatable mix of urgent requests, batch tasks and
// watches to entry nodes over HTTP, checks each answer against its own request
// and reports what the callers saw.
package load
