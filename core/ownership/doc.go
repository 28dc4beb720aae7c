// Package ownership decides which node is the owner, the node that schedules.
// It reads the claims in the store's log and says when to claim ownership, to
// renew the claim and to resign. The log orders the claims, so all nodes agree
// on the owner. The fencing token of an owner is derived from the offset of its
// claim. The package does no I/O and reads no clock.
package ownership
