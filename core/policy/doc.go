// Package policy implements the scheduling policy of a shard, shard.Policy. It
// combines the packages placement, reservation, interference, admission,
// fairshare and quarantine, and provides the default presets. A preset is a named
// set of scheduling parameters.
//
// A class of tasks is noisy if its tasks slow down urgent requests on the same
// worker. The noise of a class is unknown until enough usage reports are
// available, but not longer than maxUnknownDuration. A worker is noisy while batch
// tasks or watches of a noisy or unknown class run on it, otherwise it is quiet.
package policy
