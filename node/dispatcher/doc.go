// Package dispatcher drives the scheduling on one node: it takes part in the
// ownership, and while this node is the owner it feeds the decision core of
// core/scheduler and carries out its orders. All decisions are made in one
// goroutine.
package dispatcher
