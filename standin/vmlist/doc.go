// Package vmlist is a stand-in for the platform's VM list, in which changes become
// visible after a delay. It has an HTTP server and fault controls.
package vmlist
