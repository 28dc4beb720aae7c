package policy

import (
	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
)

// DefaultPresets returns the complete presets ordinary, peak and maintenance.
//
//   - ordinary balances the latency of urgent requests and batch throughput.
//   - peak favours urgent requests: batch tasks get a smaller share and fewer
//     slots, reservations are more conservative, batch tasks are throttled and
//     evicted at a lower slowdown, and fewer retries are allowed, because
//     retries add load when the least capacity is free.
//   - maintenance favours batch work that must be finished while capacity is
//     missing: batch tasks get a larger share, throttling and eviction start at
//     a higher slowdown so that work is not moved twice, more retries are
//     allowed because workers that shut down refuse more starts, and an isolated
//     failure domain, which may not know that it is taken out, starts nothing, so
//     that a take-out is enforced without exception.
func DefaultPresets() []domain.Preset {
	return configlog.Presets()
}
