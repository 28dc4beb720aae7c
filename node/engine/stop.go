package engine

import (
	"context"
	"sync"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
)

// Stop performs a planned stop: each scheduler finishes the requests that it has
// accepted, each shard is released in the log, and only then are the schedulers
// dropped. If ctx ends first, the remaining shards are dropped without a
// release; other nodes claim them when they consider this node dead. Stop returns
// after all goroutines have ended, with ctx's error if ctx ended first.
func (e *Engine) Stop(ctx context.Context) error {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	var stops sync.WaitGroup
	for _, r := range e.sortedRunners() {
		stops.Go(func() { e.releaseShard(ctx, r) })
	}
	stops.Wait()
	e.cancel()
	e.goroutines.Wait()
	return ctx.Err()
}

// Stopping reports whether a planned stop has begun.
func (e *Engine) Stopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping
}

// releaseShard drains one shard and releases its ownership in the log.
func (e *Engine) releaseShard(ctx context.Context, r *runner) {
	r.update(func(l *latestValues) { l.draining = true })
	select {
	case <-r.drained:
	case <-r.done:
		return
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		if e.appendRelease(ctx, r) {
			break
		}
	}
	// The follower drops the runner when it reads the release.
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// appendRelease appends the release of the shard. It reports whether the release is
// in the stream or the runner has ended.
func (e *Engine) appendRelease(ctx context.Context, r *runner) bool {
	entry := journal.Entry{
		Shard:   r.shard,
		Epoch:   r.epoch,
		Release: &journal.Release{Shard: r.shard, Epoch: r.epoch},
	}
	done := make(chan *domain.Error, 1)
	e.committer.add([]journal.Entry{entry}, nil, func(err *domain.Error) { done <- err })
	select {
	case err := <-done:
		return err == nil
	case <-r.done:
		return true
	case <-ctx.Done():
		return false
	}
}
