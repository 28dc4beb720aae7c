// Package dispatcher connects one node to the scheduler. It claims, renews and
// resigns ownership as core/ownership decides. While this node is the owner, it
// feeds events to core/scheduler and sends the commands that it returns to the
// workers. All decisions are made in one goroutine.
package dispatcher
