package worker

import (
	"context"

	"github.com/basilferry/basilferry/standin/internal/fault"
)

// invoke processes one call: it applies the injected faults to the request, brings
// the state up to date, runs op, and applies the injected faults to the answer.
func invoke[T any](ctx context.Context, w *Worker, op func() (T, error)) (T, error) {
	out, err := beginCall(ctx, w, op)
	return finishCall(ctx, w, out, err)
}

// beginCall runs op with mu locked, once the call mode lets the call through.
func beginCall[T any](ctx context.Context, w *Worker, op func() (T, error)) (T, error) {
	var zero T
	if err := w.gate.Enter(ctx); err != nil {
		return zero, err
	}
	if err := w.lockWhenResumed(ctx); err != nil {
		return zero, err
	}
	defer w.mu.Unlock()
	w.advance()
	out, err := op()
	w.resetTimer()
	return out, err
}

// finishCall returns an answer after the configured delay, and not during a pause.
// An answer that is due while calls hang is lost.
func finishCall[T any](ctx context.Context, w *Worker, out T, err error) (T, error) {
	var zero T
	if waitErr := w.gate.WaitDelay(ctx); waitErr != nil {
		return zero, waitErr
	}
	if lockErr := w.lockWhenResumed(ctx); lockErr != nil {
		return zero, lockErr
	}
	w.mu.Unlock()
	if lostErr := w.gate.Leave(ctx); lostErr != nil {
		return zero, lostErr
	}
	return out, err
}

// lockWhenResumed locks mu once the worker is not paused. If ctx ends first, it
// returns an error and mu is not locked.
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
