package worker

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/standin/internal/fault"
	"github.com/jonboulle/clockwork"
)

// Mode says how calls are treated: "pass", "refuse" or "hang".
type Mode = fault.Mode

// Modes of SetCalls and of Server.SetConnectionMode.
const (
	ModePass   = fault.Pass
	ModeRefuse = fault.Refuse
	ModeHang   = fault.Hang
)

// swapTimeout bounds the wait of the first of two answers that are crossed.
const swapTimeout = 2 * time.Second

// SetCallMode refuses calls without effect, or holds them until the mode is set
// again; held calls have no effect.
func (w *Worker) SetCallMode(m Mode) { w.gate.SetMode(m) }

// SetDelay delays each answer; the call has taken effect by then.
func (w *Worker) SetDelay(d time.Duration) { w.gate.SetDelay(d) }

// SetFailAll lets every task that is started from now on fail within 1 ms.
func (w *Worker) SetFailAll(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = on
}

// SetLeaving tells owners that the worker shuts down; starts are refused with
// KindNoCapacity.
func (w *Worker) SetLeaving(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = on
}

// SwapNext swaps the answers of the next n pairs of Run calls. The first call
// of a pair waits up to 2 s for the second.
func (w *Worker) SwapNext(n int) { w.answerSwapper.set(n) }

// Pause freezes the VM: no task makes progress, calls are not answered.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.paused = true
	w.resetTimer()
}

// Resume ends a pause. The clock has run on: a session that expired meanwhile
// ends before its tasks make any progress. Calls that waited are processed.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resume()
	w.resetTimer()
}

func (w *Worker) resume() {
	if !w.paused {
		return
	}
	now := w.config.Clock.Now()
	if w.session.open && !w.session.expires.After(now) {
		w.advancedTo = w.session.expires
		w.expireLease()
	}
	// Nothing was used during the pause, so the usage interval begins anew.
	w.advancedTo = now
	w.nextSampleEnd = now.Add(w.config.UsageInterval)
	w.paused = false
	close(w.resumed)
	w.resumed = make(chan struct{})
}

// Restart restarts the VM at once, also out of a pause: tasks end without a
// trace, calls that wait for them fail, the session, the records, events and
// reports are lost, and the worker's clock starts anew.
// The highest epoch and the session number are kept, as if in a small file,
// because the contract binds them over restarts.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resume()
	w.advance()
	w.session.open = false
	for _, t := range append([]*taskAttempt(nil), w.running...) {
		t.lostInRestart = true
		w.stopAttempt(t, false, CompletionWorkerRestarted)
	}
	w.records = map[domain.RequestID]*taskAttempt{}
	w.finished, w.events, w.reports = nil, nil, nil
	w.lastEvent = 0
	w.bootedAt = w.advancedTo
	w.incarnation++
	w.recordsCompleteFrom = w.advancedTo.Add(platform.ResultRetention)
	w.resetTimer()
}

// answerSwapper swaps the answers of pairs of calls.
type answerSwapper struct {
	clock clockwork.Clock
	mu    sync.Mutex
	left  int
	// waiting is the first call of a pair that is not complete.
	waiting *pendingSwap
}

type pendingSwap struct {
	status platform.TaskStatus
	// other receives the status of the second call.
	other chan platform.TaskStatus
}

func (c *answerSwapper) set(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = n
}

// swap returns the status of the other call of the pair, or status itself
// if no answers are to be crossed or no other call came in time.
func (c *answerSwapper) swap(ctx context.Context, status platform.TaskStatus) platform.TaskStatus {
	mine, other, paired := c.join(status)
	if paired {
		return other
	}
	if mine == nil {
		return status
	}
	timer := c.clock.NewTimer(swapTimeout)
	defer timer.Stop()
	select {
	case other := <-mine.other:
		return other
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return c.withdraw(mine)
}

func (c *answerSwapper) join(status platform.TaskStatus) (mine *pendingSwap, other platform.TaskStatus, paired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first := c.waiting; first != nil {
		c.waiting = nil
		first.other <- status
		return nil, first.status, true
	}
	if c.left <= 0 {
		return nil, platform.TaskStatus{}, false
	}
	c.left--
	c.waiting = &pendingSwap{status: status, other: make(chan platform.TaskStatus, 1)}
	return c.waiting, platform.TaskStatus{}, false
}

// withdraw gives up the wait for a second call.
func (c *answerSwapper) withdraw(mine *pendingSwap) platform.TaskStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == mine {
		c.waiting = nil
		return mine.status
	}
	return <-mine.other
}
