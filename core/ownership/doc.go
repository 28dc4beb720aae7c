// Package ownership decides which node schedules: it reads the claims in the
// store's log and says when to claim, to renew and to resign. The log orders
// the claims, so all nodes agree on the owner; the offset of a claim is the
// fencing token. The package is pure.
package ownership
