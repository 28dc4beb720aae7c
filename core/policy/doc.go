// Package policy implements the scheduling policy of a shard, shard.Policy. It
// combines the packages placement, reservation, interference, admission,
// fairshare and quarantine, and provides the default presets. A preset is a named
// set of scheduling parameters.
//
// A class of tasks is noisy if its tasks slow down urgent requests on the same
// worker. A worker is noisy while such tasks run on it, otherwise it is quiet.
package policy
