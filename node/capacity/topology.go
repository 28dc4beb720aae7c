package capacity

import "math"

// Target is a system-wide load.
type Target struct {
	Workers, Domains                float64
	StartsPerSecond                 float64
	RunningUrgent, RunningBatch     float64
	JobsPerDay, ConfigChangesPerDay float64
	Teams                           float64
}

// TwoYearTarget is the expected load in two years (docs/design.md section 1.4).
var TwoYearTarget = Target{
	Workers: 15_000, Domains: 20, StartsPerSecond: 1600,
	RunningUrgent: 57_000, RunningBatch: 120_000,
	JobsPerDay: 120_000, ConfigChangesPerDay: 50_000, Teams: 1000,
}

// Topology is the number of entry nodes and of shards per failure domain.
type Topology struct {
	NodesPerDomain, ShardsPerDomain float64
}

// Topologies are the deployments for which the report projects the quantities.
var Topologies = []Topology{{3, 2}, {3, 3}, {6, 6}, {12, 12}, {20, 20}}

// Nodes returns the number of entry nodes.
func (t Topology) Nodes() float64 { return t.NodesPerDomain * TwoYearTarget.Domains }

// Shards returns the number of shards.
func (t Topology) Shards() float64 { return t.ShardsPerDomain * TwoYearTarget.Domains }

// MaxOwnedShards returns the number of shards of the node that owns the most.
func (t Topology) MaxOwnedShards() float64 { return math.Ceil(t.ShardsPerDomain / t.NodesPerDomain) }

// busiestNodeShare returns the part of a system-wide total that belongs to the
// shards of the node that owns the most.
func (t Topology) busiestNodeShare(total float64) float64 {
	return total / t.Shards() * t.MaxOwnedShards()
}
