// Package membership tracks what a node knows about the other nodes: which
// nodes of its failure domain are live, which node owns each shard, whether the
// domain is isolated, and which shards this node should claim.
//
// A shard is a part of a failure domain's requests and workers that one node
// schedules. Its epoch is the log offset of the claim that made the node its
// owner. A domain is isolated if it can reach neither the log service nor
// another failure domain.
//
// The package reads no clock and sends nothing; the driver passes in events
// with their time.
package membership
