// Package storelog is the node's use of the platform's store: it follows
// partitions, commits the records of accepted requests in groups, and writes
// the owner's records under its fencing token.
package storelog
