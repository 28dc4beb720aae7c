// Package logservice is a stand-in for the platform's log service. It keeps streams in
// memory, drops records by age, and has an HTTP server and fault controls.
package logservice
