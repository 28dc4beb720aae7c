// Package e2e contains the end-to-end tests. Entry nodes and stand-ins for the
// platform services run as separate processes on 127.0.0.1. The tests compare
// the outcomes that clients received with the attempts that the workers
// recorded.
package e2e
