// Package storelog reads from and appends to the platform's store. A Follower
// reads a partition continuously, a Committer appends the records of client
// requests in groups, and an OwnerWriter appends the owner's records under its
// fencing token.
package storelog
