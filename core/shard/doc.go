// Package shard is the state machine that the owner of one shard runs in the
// embedded mode. A shard is a part of a failure domain's workers and of the
// requests for them. The state machine decides where the shard's requests run,
// establishes what ran, and recovers this state after a change of owner. Step
// takes one event and returns effects; it reads no clock, opens no socket and
// starts no goroutine.
//
// Each owner has an epoch, the number of its claim to the shard; workers refuse
// commands with an older epoch. The owner opens a session at each worker by
// attaching to it; the session's lease lasts as long as the owner renews it. The
// owner's claim is confirmed if the log, or more than half of the workers, have
// shown recently that no newer owner exists. An intent is the log entry that
// announces an urgent request before it starts. A watch is a long-running task
// that must always be running. A task that moves to another shard is delegated to
// that shard's owner.
package shard
