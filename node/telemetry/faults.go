package telemetry

import (
	stdlog "log"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// DefaultFaultInterval is the usual mean time between log lines about one
	// fault.
	DefaultFaultInterval = 10 * time.Second
	// faultBurst is the number of lines about a fault that are written before
	// the rate limit applies.
	faultBurst = 3
	// maxFaults bounds the number of faults with a rate limit of their own. All
	// others share one rate limit.
	maxFaults = 1024
	// otherFaults is the key of the shared rate limit of faults beyond
	// maxFaults.
	otherFaults = "other faults"
)

// Faults logs warnings about faults that can occur many times a second, such as
// an unreachable worker. Each fault has its own rate limit. A line states how
// many lines about the same fault were suppressed before it. A nil *Faults logs
// nothing. It is safe for concurrent use.
type Faults struct {
	logger   *log.Logger
	now      func() time.Time
	interval time.Duration

	mu     sync.Mutex
	faults map[string]*fault
	// lastSweep is when idle faults were last dropped. It limits how often this
	// is done, because a flood of distinct faults would otherwise scan all
	// faults for each line.
	lastSweep time.Time
}

type fault struct {
	limiter *rate.Limiter
	// suppressed counts the lines that were suppressed since the last one was
	// written.
	suppressed int
}

// NewFaults returns a Faults that writes to logger. now returns the current
// time, and interval is the mean time between lines about one fault.
func NewFaults(logger *log.Logger, now func() time.Time, interval time.Duration) *Faults {
	return &Faults{logger: logger, now: now, interval: interval, faults: make(map[string]*fault)}
}

// Warn logs a warning unless the rate limit of the fault is exceeded. The key
// identifies the fault, for example "renew n7".
func (f *Faults) Warn(key, message string, keyvals ...any) {
	if f == nil {
		return
	}
	suppressed, ok := f.allow(key)
	if !ok {
		return
	}
	if suppressed > 0 {
		keyvals = append(slices.Clone(keyvals), "left_out", suppressed)
	}
	f.logger.Warn(message, keyvals...)
}

func (f *Faults) allow(key string) (suppressed int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := f.fault(key)
	if !entry.limiter.AllowN(f.now(), 1) {
		entry.suppressed++
		return 0, false
	}
	suppressed = entry.suppressed
	entry.suppressed = 0
	return suppressed, true
}

func (f *Faults) fault(key string) *fault {
	if entry, ok := f.faults[key]; ok {
		return entry
	}
	if len(f.faults) >= maxFaults {
		f.dropIdle()
	}
	if len(f.faults) >= maxFaults {
		key = otherFaults
	}
	if entry, ok := f.faults[key]; ok {
		return entry
	}
	entry := &fault{limiter: rate.NewLimiter(rate.Every(f.interval), faultBurst)}
	f.faults[key] = entry
	return entry
}

// dropIdle drops faults that have not occurred for so long that their rate
// limit is in its initial state.
func (f *Faults) dropIdle() {
	now := f.now()
	if now.Sub(f.lastSweep) < f.interval {
		return
	}
	f.lastSweep = now
	for key, entry := range f.faults {
		if entry.suppressed == 0 && entry.limiter.TokensAt(now) >= faultBurst {
			delete(f.faults, key)
		}
	}
}

// Flush logs how many lines about each fault were suppressed since its last
// line.
func (f *Faults) Flush() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []string
	for key, entry := range f.faults {
		if entry.suppressed > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		f.logger.Warn("Log lines were suppressed", "fault", key, "left_out", f.faults[key].suppressed)
		f.faults[key].suppressed = 0
	}
}

// StandardLog returns a logger of the standard library that logs its lines as
// warnings about one fault.
func (f *Faults) StandardLog(key string) *stdlog.Logger {
	return stdlog.New(faultWriter{f, key}, "", 0)
}

type faultWriter struct {
	faults *Faults
	key    string
}

// Write implements io.Writer for one line.
func (w faultWriter) Write(line []byte) (int, error) {
	w.faults.Warn(w.key, strings.TrimSpace(string(line)))
	return len(line), nil
}
