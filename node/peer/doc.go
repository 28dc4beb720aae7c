// Package peer carries the calls between entry nodes over net/rpc: requests to
// the owner of their shard, hand-overs, configuration relays and the pings
// that membership is built on.
//
// A connection starts with a hello of fixed size (token digest and protocol
// version). After it, both sides exchange frames: a 4-byte header with the
// frame's length and one gob-encoded net/rpc message. A frame is decoded only
// once it is complete, so a call that was written in part is never carried
// out.
package peer
