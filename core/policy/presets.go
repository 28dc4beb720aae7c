package policy

import (
	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
)

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
	return configlog.Presets()
}
