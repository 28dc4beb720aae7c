// Package engine runs the state machines of the shards that this node owns. It
// follows the stream of the node's failure domain, starts a machine when a
// claim of this node takes effect and drops it when another claim does, carries
// out effects, and commits journal entries in groups.
package engine
