package configlog

import "github.com/basilferry/basilferry/core/domain"

// Names of the presets. Exactly one preset is in force at any time.
const (
	PresetOrdinary    = "ordinary"
	PresetPeak        = "peak"
	PresetMaintenance = "maintenance"
)

// PresetNames returns the names that a preset may have.
func PresetNames() []string {
	return []string{PresetOrdinary, PresetPeak, PresetMaintenance}
}

// Initial returns the configuration of version 0, which is in force until the
// first change is accepted.
func Initial() domain.Configuration {
	return domain.Configuration{Preset: Presets()[0]}
}

// Presets returns the built-in values of each preset, in the order of
// PresetNames. docs/presets.md says what each changes and why.
func Presets() []domain.Preset {
	return []domain.Preset{
		{
			Name:                PresetOrdinary,
			IsolatedStarts:      domain.IsolatedUrgent,
			BatchShare:          0.75,
			UrgentSlots:         2,
			ReservationQuantile: 0.95,
			ThrottleSlowdown:    1.2,
			EvictSlowdown:       1.6,
			RetryBudget:         0.1,
		},
		{
			Name:                PresetPeak,
			IsolatedStarts:      domain.IsolatedUrgent,
			BatchShare:          0.5,
			UrgentSlots:         4,
			ReservationQuantile: 0.99,
			ThrottleSlowdown:    1.1,
			EvictSlowdown:       1.3,
			RetryBudget:         0.05,
		},
		{
			Name:                PresetMaintenance,
			IsolatedStarts:      domain.IsolatedNone,
			BatchShare:          0.9,
			UrgentSlots:         1,
			ReservationQuantile: 0.95,
			ThrottleSlowdown:    1.5,
			EvictSlowdown:       2.5,
			RetryBudget:         0.2,
		},
	}
}
