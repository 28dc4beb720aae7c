package worker

import (
	"context"

	"github.com/basilferry/basilferry/standin/internal/fault"
)

// invoke makes one call: it applies the faults on the way in, brings the state
// up to date, runs op, and applies the faults on the way out.
func invoke[T any](ctx context.Context, w *Worker, op func() (T, error)) (T, error) {
	out, err := beginCall(ctx, w, op)
	return finishCall(ctx, w, out, err)
}

// beginCall runs op under the lock once the call is let in.
func beginCall[T any](ctx context.Context, w *Worker, op func() (T, error)) (T, error) {
	var none T
	if err := w.gate.Enter(ctx); err != nil {
		return none, err
	}
	if err := w.lockWhenResumed(ctx); err != nil {
		return none, err
	}
	defer w.mu.Unlock()
	w.advance()
	out, err := op()
	w.resetTimer()
	return out, err
}

// finishCall returns an answer after the delay that is set, and not during a pause.
// An answer that becomes ready while calls hang is lost.
func finishCall[T any](ctx context.Context, w *Worker, out T, err error) (T, error) {
	var none T
	if waitErr := w.gate.WaitDelay(ctx); waitErr != nil {
		return none, waitErr
	}
	if lockErr := w.lockWhenResumed(ctx); lockErr != nil {
		return none, lockErr
	}
	w.mu.Unlock()
	if lostErr := w.gate.Leave(ctx); lostErr != nil {
		return none, lostErr
	}
	return out, err
}

// lockWhenResumed takes the lock while the worker is not paused. It returns an
// error, without the lock, if ctx ends first.
func (w *Worker) lockWhenResumed(ctx context.Context) error {
	for {
		w.mu.Lock()
		if !w.paused {
			return nil
		}
		resumed := w.resumed
		w.mu.Unlock()
		select {
		case <-resumed:
		case <-ctx.Done():
			return fault.ContextError(ctx)
		}
	}
}
