// Package shard is the state machine of the owner of one shard: it decides
// where the shard's requests run, proves what ran, and recovers this state
// after a change of owner. Step takes one event and returns effects; it reads
// no clock, opens no socket and starts no goroutine.
package shard
