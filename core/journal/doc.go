// Package journal defines the records of a failure domain's stream in the log
// service. It applies them, in offset order, to compute the state of each shard:
// its owner, its jobs, the intents of non-idempotent requests, the logged
// outcomes, and the shards to which tasks were moved. All readers of the stream
// get the same result.
//
// A shard is a part of a failure domain's requests and workers that one node
// schedules. Its epoch is the log offset of the claim that made the node its
// owner. An intent is logged before a non-idempotent urgent request starts (or
// after the start, if the log service does not answer), so that after a failure it
// is known that the request may have run.
package journal
