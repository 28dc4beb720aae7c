// Package engine runs the schedulers of the shards that this node owns. A shard
// is a part of a failure domain's requests and workers that one node schedules;
// its epoch is the log offset of the claim that made the node its owner. The
// engine reads the log stream of the node's failure domain, starts a scheduler
// when a claim of this node takes effect and stops it when another claim does,
// executes the scheduler's effects, and appends journal entries to the log in
// batches.
package engine
