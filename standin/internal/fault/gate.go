// Package fault provides the fault controls that the stand-ins share.
package fault

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/jonboulle/clockwork"
)

// Mode says how calls are treated.
type Mode string

// Modes of a Gate and of a Listener.
const (
	// Pass lets calls through.
	Pass Mode = "pass"
	// Refuse answers each call with an error at once.
	Refuse Mode = "refuse"
	// Hang gives no answer until the mode changes; the call is then lost.
	Hang Mode = "hang"
)

// Valid reports whether m is a known mode.
func (m Mode) Valid() bool { return m == Pass || m == Refuse || m == Hang }

// Gate refuses, holds or delays calls. Use NewGate.
type Gate struct {
	clock   clockwork.Clock
	mu      sync.Mutex
	mode    Mode
	delay   time.Duration
	changed chan struct{}
}

// NewGate returns a gate that lets calls through. A nil clock is the real one.
func NewGate(clock clockwork.Clock) *Gate {
	return &Gate{clock: ClockOrReal(clock), mode: Pass, changed: make(chan struct{})}
}

// ClockOrReal returns clock, or the real clock for nil.
func ClockOrReal(clock clockwork.Clock) clockwork.Clock {
	if clock == nil {
		return clockwork.NewRealClock()
	}
	return clock
}

// SetMode changes the treatment of calls; calls that hang fail.
func (g *Gate) SetMode(m Mode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = m
	close(g.changed)
	g.changed = make(chan struct{})
}

// SetDelay sets the time that Wait takes.
func (g *Gate) SetDelay(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = d
}

// State returns the mode, the delay and a channel that is closed when the mode
// is set again.
func (g *Gate) State() (Mode, time.Duration, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode, g.delay, g.changed
}

// Enter returns nil if calls are let through, and otherwise an error of kind
// KindUnavailable, with Hang only after the mode was set again or ctx ended.
func (g *Gate) Enter(ctx context.Context) error {
	mode, _, changed := g.State()
	switch mode {
	case Refuse:
		return Unavailable("the service refuses calls")
	case Hang:
		return awaitLoss(ctx, changed)
	}
	return nil
}

// Leave returns nil if an answer may be given. With Hang the answer is lost
// like a call in Enter.
func (g *Gate) Leave(ctx context.Context) error {
	mode, _, changed := g.State()
	if mode == Hang {
		return awaitLoss(ctx, changed)
	}
	return nil
}

func awaitLoss(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return Unavailable("the call or its answer was lost")
}

// WaitDelay waits for the delay that is set.
func (g *Gate) WaitDelay(ctx context.Context) error {
	_, delay, _ := g.State()
	return Sleep(ctx, g.clock, delay)
}

// Sleep waits for d by the clock. It returns an error of kind KindUnavailable
// if ctx ends first.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ContextError(ctx)
	}
}

// ContextError returns the error of a call whose context ended.
func ContextError(ctx context.Context) error {
	return Unavailable("the call ended before its answer: " + context.Cause(ctx).Error())
}

// Unavailable returns an error of kind KindUnavailable.
func Unavailable(message string) error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: message,
		Remedy:  "try again later; the call may have taken effect",
	}
}
