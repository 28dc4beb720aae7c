// Package fault provides fault injection for the stand-ins: it refuses, delays or
// blocks calls and connections.
package fault

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/jonboulle/clockwork"
)

// Mode is how calls or connections are handled.
type Mode string

// Modes of a Gate and of a Listener.
const (
	// Pass lets calls through.
	Pass Mode = "pass"
	// Refuse makes a Gate answer each call immediately with an error, and a
	// Listener close each connection.
	Refuse Mode = "refuse"
	// Hang makes a Gate block each call until the mode is set again; then the call
	// fails. The connections of a Listener stay open but transfer no data.
	Hang Mode = "hang"
)

// Valid reports whether m is a known mode.
func (m Mode) Valid() bool { return m == Pass || m == Refuse || m == Hang }

// Gate refuses, blocks or delays calls. Create it with NewGate.
type Gate struct {
	clock   clockwork.Clock
	mu      sync.Mutex
	mode    Mode
	delay   time.Duration
	changed chan struct{}
}

// NewGate returns a gate that lets calls through. A nil clock means the real clock.
func NewGate(clock clockwork.Clock) *Gate {
	return &Gate{clock: ClockOrReal(clock), mode: Pass, changed: make(chan struct{})}
}

// ClockOrReal returns clock, or the real clock if clock is nil.
func ClockOrReal(clock clockwork.Clock) clockwork.Clock {
	if clock == nil {
		return clockwork.NewRealClock()
	}
	return clock
}

// SetMode sets how calls are handled. Calls that are blocked fail.
func (g *Gate) SetMode(m Mode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = m
	close(g.changed)
	g.changed = make(chan struct{})
}

// SetDelay sets how long WaitDelay waits.
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
// KindUnavailable. In mode Hang it first blocks until the mode is set again or ctx is
// done.
func (g *Gate) Enter(ctx context.Context) error {
	mode, _, changed := g.State()
	switch mode {
	case Refuse:
		return UnavailableError("the service refuses calls")
	case Hang:
		return awaitLoss(ctx, changed)
	}
	return nil
}

// Leave returns nil if the answer to a call may be sent. In mode Hang it blocks and
// returns an error as Enter does; the answer is lost.
func (g *Gate) Leave(ctx context.Context) error {
	mode, _, changed := g.State()
	if mode == Hang {
		return awaitLoss(ctx, changed)
	}
	return nil
}

// awaitLoss blocks until the mode is set again or ctx is done, and returns the error
// of the lost call.
func awaitLoss(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return UnavailableError("the call or its answer was lost")
}

// WaitDelay waits for the delay that is set.
func (g *Gate) WaitDelay(ctx context.Context) error {
	_, delay, _ := g.State()
	return Sleep(ctx, g.clock, delay)
}

// Sleep waits for d on the clock. It returns an error of kind KindUnavailable if ctx
// is done first.
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

// ContextError returns the error of a call whose context is done.
func ContextError(ctx context.Context) error {
	return UnavailableError("the call was aborted before it was answered: " + context.Cause(ctx).Error())
}

// UnavailableError returns an error of kind KindUnavailable.
func UnavailableError(message string) error {
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: message,
		Remedy:  "try again later; the call may have taken effect",
	}
}
