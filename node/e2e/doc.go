// Package e2e holds the end-to-end tests: entry nodes and stand-ins of the
// platform run as separate processes on 127.0.0.1, and the checks use what the
// workers recorded.
package e2e
