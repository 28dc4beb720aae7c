package policy

import "github.com/basilferry/basilferry/core/domain"

// DefaultPresets returns the complete presets ordinary, peak and maintenance.
//
//   - ordinary balances urgent latency and batch throughput.
//   - peak favours urgent requests: batch tasks get a smaller share and fewer
//     slots, reservations are more careful, interference is acted on earlier,
//     and fewer retries are allowed, because retries add load when there is
//     least room for it.
//   - maintenance favours the work that must be finished while capacity is
//     missing: batch tasks get a larger share, interference is tolerated for
//     longer so that work is not moved twice, more retries are allowed, because
//     stops refuse more starts, and an isolated domain starts nothing, so that
//     a take-out holds without exception.
func DefaultPresets() []domain.Preset {
	return []domain.Preset{ordinary(), peak(), maintenance()}
}

func ordinary() domain.Preset {
	return domain.Preset{
		Name:                "ordinary",
		IsolatedStarts:      domain.IsolatedUrgent,
		BatchShare:          0.75,
		UrgentSlots:         2,
		UrgentPerWorker:     0,
		ReservationQuantile: 0.95,
		ThrottleSlowdown:    1.2,
		EvictSlowdown:       1.6,
		RetryBudget:         0.1,
	}
}

func peak() domain.Preset {
	return domain.Preset{
		Name:                "peak",
		IsolatedStarts:      domain.IsolatedUrgent,
		BatchShare:          0.5,
		UrgentSlots:         4,
		UrgentPerWorker:     0,
		ReservationQuantile: 0.99,
		ThrottleSlowdown:    1.1,
		EvictSlowdown:       1.3,
		RetryBudget:         0.05,
	}
}

func maintenance() domain.Preset {
	return domain.Preset{
		Name:                "maintenance",
		IsolatedStarts:      domain.IsolatedNone,
		BatchShare:          0.9,
		UrgentSlots:         1,
		UrgentPerWorker:     0,
		ReservationQuantile: 0.95,
		ThrottleSlowdown:    1.5,
		EvictSlowdown:       2.5,
		RetryBudget:         0.2,
	}
}
