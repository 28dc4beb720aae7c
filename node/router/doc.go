// Package router brings each request to the owner of its shard and its answer
// back to the caller. It decides what a caller may be told when an owner moves,
// cannot be reached, or does not answer: a call is repeated only if it was
// surely not carried out, and "not run" is reported only if that is certain.
package router
