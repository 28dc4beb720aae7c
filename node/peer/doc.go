// Package peer carries the calls between entry nodes over net/rpc: requests to
// the owner of their shard, hand-overs, configuration relays and the pings
// that membership is built on.
package peer
