// Package router forwards each request to the node that owns its shard and
// returns the answer to the client. It decides which outcome the client gets
// when a shard changes its owner, or when the owner cannot be reached or does
// not answer. A request is sent again only if the earlier call certainly had no
// effect, and "not run" is reported only if that is certain.
//
// A shard is a partition of the workers and requests of a failure domain. One
// node at a time owns it. Each new owner gets a higher epoch, which is part of
// the request ids that it issues.
package router
