// Package policy is the scheduling policy of a shard. It implements
// shard.Policy by combining placement, reservation, interference, admission,
// fairshare and quarantine, and defines the default presets.
package policy
