package settings

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

// mib is the number of bytes of a MiB.
const mib = 1 << 20

// Defaults returns the values of the fields that a settings file leaves out.
// Required fields and optional fields without a default are zero.
func Defaults() Settings {
	return Settings{
		Cluster: Cluster{ShardsPerDomain: 2},
		Limits: Limits{
			MaxBodyBytes: mib,
			MaxDeadline:  Duration(30 * time.Second),
			MaxInFlight:  2048,
			StopTimeout:  Duration(45 * time.Second),
		},
		Log: Log{Level: "info", Format: "text"},
	}
}

// DefaultSLOs returns the service-level objectives that apply if the file sets
// none.
func DefaultSLOs() []SLO {
	return []SLO{
		{Kind: domain.KindUrgent, Target: 0.999, Latency: Duration(3500 * time.Millisecond)},
		{Kind: domain.KindBatch, Target: 0.99},
		{Kind: domain.KindWatch, Target: 0.999},
	}
}

// DefaultEmbedded returns the values of the fields that the embedded section
// leaves out.
func DefaultEmbedded() Embedded {
	return Embedded{
		WorkersPerDomain: 4,
		WorkersPerRack:   2,
		NodesPerDomain:   1,
		Worker: domain.Resources{
			CPUMilli:    16_000,
			MemoryMiB:   32_768,
			Slots:       8,
			Connections: 64,
		},
		UrgentPerSecond: 20,
		BatchTasks:      20,
		Watches:         2,
		Duration:        Duration(30 * time.Second),
		Seed:            1,
	}
}
