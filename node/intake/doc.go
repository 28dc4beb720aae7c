// Package intake answers callers: it finds the queue of a request, stores
// accepted jobs and cancels, and answers states from the node's read view.
package intake
