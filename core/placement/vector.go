package placement

import "github.com/basilferry/basilferry/core/domain"

// share returns the given part of the amount, rounded down.
func share(amount int64, s float64) int64 {
	return int64(float64(amount) * s)
}

// ratio returns used/capacity, or 0 without capacity.
func ratio(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

func componentwiseMin(a, b domain.Resources) domain.Resources {
	return domain.Resources{
		CPUMilli:     min(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
		Slots:        min(a.Slots, b.Slots),
		Connections:  min(a.Connections, b.Connections),
	}
}

func componentwiseMax(a, b domain.Resources) domain.Resources {
	return domain.Resources{
		CPUMilli:     max(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
		Slots:        max(a.Slots, b.Slots),
		Connections:  max(a.Connections, b.Connections),
	}
}
