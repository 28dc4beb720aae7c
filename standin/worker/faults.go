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

// Mode is how calls or connections are handled: "pass", "refuse" or "hang".
type Mode = fault.Mode

// Modes for SetCallMode and Server.SetConnectionMode.
const (
	ModePass   = fault.Pass
	ModeRefuse = fault.Refuse
	ModeHang   = fault.Hang
)

// swapTimeout bounds how long the first call of a pair waits for the second.
const swapTimeout = 2 * time.Second

// SetCallMode sets whether calls pass, are refused, or hang until the mode is set
// again. Calls that are refused or hang have no effect.
func (w *Worker) SetCallMode(m Mode) { w.gate.SetMode(m) }

// SetDelay delays the answer of each call. The call itself takes effect without
// the delay.
func (w *Worker) SetDelay(d time.Duration) { w.gate.SetDelay(d) }

// SetFailAll makes every task that is started while it is on fail within 1 ms.
func (w *Worker) SetFailAll(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = on
}

// SetLeaving sets whether the worker is shutting down. A worker that is shutting
// down reports this to owners and refuses starts with KindNoCapacity.
func (w *Worker) SetLeaving(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = on
}

// SwapNext swaps the answers of the next n pairs of Run calls. The first call
// of a pair waits up to swapTimeout for the second.
func (w *Worker) SwapNext(n int) { w.answerSwapper.set(n) }

// Pause freezes the VM: tasks make no progress and calls are not answered.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.paused = true
	w.resetTimer()
}

// Resume ends a pause. The clock continues during a pause, so a session that has
// expired meanwhile closes before its tasks make any progress. Waiting calls are
// processed.
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
	// Tasks used no resources during the pause, so a new usage interval starts.
	w.advancedTo = now
	w.nextSampleEnd = now.Add(w.config.UsageInterval)
	w.paused = false
	close(w.resumed)
	w.resumed = make(chan struct{})
}

// Restart restarts the VM immediately, even if it is paused. Running tasks stop
// without an event, and calls that wait for them fail. The session, records,
// events and usage reports are lost, and the worker's clock starts from zero. The
// session number is kept, as if stored in a file, because a worker must never
// reuse a session id. The highest epoch is kept too, although the worker contract
// lets a restarted worker forget it.
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
	clock     clockwork.Clock
	mu        sync.Mutex
	pairsLeft int
	// waiting is the first call of an incomplete pair, or nil.
	waiting *pendingSwap
}

// pendingSwap is the first call of a pair, which waits for the second.
type pendingSwap struct {
	status platform.TaskStatus
	// other receives the status of the second call.
	other chan platform.TaskStatus
}

func (c *answerSwapper) set(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pairsLeft = n
}

// swap returns the status of the other call of the pair, or status itself if no
// answers are to be swapped, or if no second call arrives before swapTimeout has
// passed or ctx is done.
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

// join completes a waiting pair and returns the status of its first call, or makes
// the call the first of a new pair and returns it as mine. If no answers are to be
// swapped, it returns neither.
func (c *answerSwapper) join(status platform.TaskStatus) (mine *pendingSwap, other platform.TaskStatus, paired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first := c.waiting; first != nil {
		c.waiting = nil
		first.other <- status
		return nil, first.status, true
	}
	if c.pairsLeft <= 0 {
		return nil, platform.TaskStatus{}, false
	}
	c.pairsLeft--
	c.waiting = &pendingSwap{status: status, other: make(chan platform.TaskStatus, 1)}
	return c.waiting, platform.TaskStatus{}, false
}

// withdraw stops waiting for a second call. It returns the call's own status, or
// that of a second call that arrived in the meantime.
func (c *answerSwapper) withdraw(mine *pendingSwap) platform.TaskStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == mine {
		c.waiting = nil
		return mine.status
	}
	return <-mine.other
}
