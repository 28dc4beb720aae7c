// Package intake handles client requests: it finds the queue of a request, stores
// accepted jobs and cancellations, and returns job states from the node's read
// model.
package intake
