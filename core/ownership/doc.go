// Package ownership decides which node is the owner, the node that schedules.
// From the claims in the store's log, which the caller reads, it derives the
// owner and when this node should claim ownership, renew its claim or resign.
// The log orders the claims, so all nodes agree on the owner. The fencing token
// of an owner is derived from the offset of its claim. The package does no I/O
// and reads no clock.
package ownership
