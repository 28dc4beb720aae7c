// Package load sends a repeatable mix of urgent requests, batch tasks and
// watches to entry nodes over HTTP, checks each answer against its own request
// and reports the results as the clients saw them.
package load
