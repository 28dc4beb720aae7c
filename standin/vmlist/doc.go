// Package vmlist is a stand-in for the platform's VM list: changes become
// visible after a lag. It has an HTTP server and fault controls.
package vmlist
