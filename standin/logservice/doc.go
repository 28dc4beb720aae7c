// Package logservice is a stand-in for the platform's log service: streams in
// memory with retention by age, an HTTP server and fault controls.
package logservice
