package worker

import (
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/standin/internal/fault"
	"github.com/jonboulle/clockwork"
)

// Defaults of Config.
const (
	DefaultUsageInterval = time.Second
	DefaultUsageLag      = 3 * time.Second
	DefaultInterference  = 0.5
	// NoInterference is the value of Config.Interference that turns interference
	// off.
	NoInterference = -1
)

// Config describes one worker VM.
type Config struct {
	ID       domain.WorkerID
	Domain   domain.FailureDomain
	Rack     string
	Capacity domain.Resources
	// Clock is the worker's clock; nil for the real clock.
	Clock clockwork.Clock
	// Interference is how strongly batch tasks slow down urgent tasks:
	// slowdown = 1 + Interference x share, where share is the fraction of the
	// worker's CPU that batch tasks use. Zero means DefaultInterference.
	Interference float64
	// UsageInterval is the length of the interval that a usage report covers, and
	// UsageLag the time from the end of an interval to its report. Zero means the
	// default.
	UsageInterval time.Duration
	UsageLag      time.Duration
	// RecordsLost is true if the VM ran tasks before and lost its records.
	// AttachReply.RecordsComplete is then false until ResultRetention has passed.
	RecordsLost bool
}

func (c Config) withDefaults() Config {
	c.Clock = fault.ClockOrReal(c.Clock)
	if c.Interference == 0 {
		c.Interference = DefaultInterference
	}
	if c.Interference < 0 {
		c.Interference = 0
	}
	if c.UsageInterval <= 0 {
		c.UsageInterval = DefaultUsageInterval
	}
	if c.UsageLag <= 0 {
		c.UsageLag = DefaultUsageLag
	}
	return c
}
