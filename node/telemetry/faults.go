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
	// DefaultFaultInterval is the mean time between lines about one fault.
	DefaultFaultInterval = 10 * time.Second
	// faultBurst lines about a fault are written without a delay.
	faultBurst = 3
	// maxFaults bounds the faults that are told apart. Further ones share one
	// limit.
	maxFaults = 1024
	// otherFaults is the key of faults beyond maxFaults.
	otherFaults = "other faults"
)

// Faults writes warnings about faults that can occur many times a second, such
// as an unreachable worker. Each fault has a rate limit, and the lines left out
// are counted in the next one. A nil *Faults writes nothing. It is safe for
// concurrent use.
type Faults struct {
	logger   *log.Logger
	now      func() time.Time
	interval time.Duration

	mu     sync.Mutex
	faults map[string]*fault
	// lastSweep is when idle faults were last looked for; a flood of distinct
	// faults must not look through all of them for each line.
	lastSweep time.Time
}

type fault struct {
	limiter *rate.Limiter
	// suppressed counts the lines that were not written since the last one.
	suppressed int
}

// NewFaults returns a Faults that writes to logger. now is the clock, and
// interval the mean time between lines about one fault.
func NewFaults(logger *log.Logger, now func() time.Time, interval time.Duration) *Faults {
	return &Faults{logger: logger, now: now, interval: interval, faults: make(map[string]*fault)}
}

// Warn writes a warning unless the fault is over its rate. The key names the
// fault, for example "renew n7"; the same key always has the same rate.
func (f *Faults) Warn(key, message string, keyvals ...any) {
	if f == nil {
		return
	}
	leftOut, ok := f.allow(key)
	if !ok {
		return
	}
	if leftOut > 0 {
		keyvals = append(slices.Clone(keyvals), "left_out", leftOut)
	}
	f.logger.Warn(message, keyvals...)
}

func (f *Faults) allow(key string) (suppressed int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.fault(key)
	if !known.limiter.AllowN(f.now(), 1) {
		known.suppressed++
		return 0, false
	}
	suppressed = known.suppressed
	known.suppressed = 0
	return suppressed, true
}

func (f *Faults) fault(key string) *fault {
	if known, ok := f.faults[key]; ok {
		return known
	}
	if len(f.faults) >= maxFaults {
		f.dropIdle()
	}
	if len(f.faults) >= maxFaults {
		key = otherFaults
	}
	if known, ok := f.faults[key]; ok {
		return known
	}
	known := &fault{limiter: rate.NewLimiter(rate.Every(f.interval), faultBurst)}
	f.faults[key] = known
	return known
}

// dropIdle drops faults that have not occurred for so long that their limit
// is as good as new.
func (f *Faults) dropIdle() {
	now := f.now()
	if now.Sub(f.lastSweep) < f.interval {
		return
	}
	f.lastSweep = now
	for key, known := range f.faults {
		if known.suppressed == 0 && known.limiter.TokensAt(now) >= faultBurst {
			delete(f.faults, key)
		}
	}
}

// Flush writes how many lines of each fault were left out at the end.
func (f *Faults) Flush() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []string
	for key, known := range f.faults {
		if known.suppressed > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		f.logger.Warn("Lines were left out", "fault", key, "left_out", f.faults[key].suppressed)
		f.faults[key].suppressed = 0
	}
}

// StandardLog returns a logger of the standard library whose lines are warnings
// about one fault.
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
