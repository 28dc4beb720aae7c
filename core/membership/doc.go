// Package membership keeps what a node knows of the other nodes: which nodes of
// its failure domain are live, who owns which shard, whether the domain is cut
// off, and which shards this node should claim. It reads no clock and sends
// nothing; the driver feeds events with their time.
package membership
