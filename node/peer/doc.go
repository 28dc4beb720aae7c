// Package peer makes and serves the calls between entry nodes over net/rpc:
// requests that are forwarded to the owner of their shard or delegated to
// another failure domain, requests for a newer configuration, and the pings
// that detect failed nodes.
//
// A connection starts with a hello of fixed size (protocol version and token
// digest). After it, both sides exchange frames: a 4-byte header with the
// frame's length, and one gob-encoded net/rpc message. A frame is decoded only
// when it is complete, so a call that was only partly written is never
// executed.
package peer
