package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
)

// Intervals of the snapshots.
const (
	snapshotCheckInterval = time.Second
	// firstSnapshotDelay is how long after a claim the first snapshot is taken.
	// When the previous owner took its last one is not known, so it cannot wait
	// for two thirds of the retention.
	firstSnapshotDelay = 10 * time.Second
	// snapshotChunkEntries is the number of entries per append, so that a snapshot
	// leaves room for intents in each batch.
	snapshotChunkEntries = 256
)

// retention is the retention of the domain's stream in nanoseconds, or zero
// before the first read.
type retention struct{ ns atomic.Int64 }

func (r *retention) set(d time.Duration) { r.ns.Store(int64(d)) }

func (r *retention) get() time.Duration { return time.Duration(r.ns.Load()) }

// runSnapshots appends the live entries of each owned shard again before they
// expire.
func (e *Engine) runSnapshots(ctx context.Context) {
	due := make(map[*runner]time.Duration)
	for ctx.Err() == nil {
		sleep(ctx, snapshotCheckInterval)
		period := e.retention.get()
		if period == 0 {
			continue
		}
		due = e.updateDueTimes(due, period)
		for r, at := range due {
			if e.config.now() >= at && e.appendSnapshot(ctx, r) {
				due[r] = e.config.now() + period*2/3
			}
		}
	}
}

// updateDueTimes returns the due times of the runners that are still there.
func (e *Engine) updateDueTimes(due map[*runner]time.Duration, period time.Duration) map[*runner]time.Duration {
	planned := make(map[*runner]time.Duration)
	for _, r := range e.sortedRunners() {
		at, known := due[r]
		if !known {
			at = e.config.now() + min(firstSnapshotDelay, period/12)
		}
		planned[r] = at
	}
	return planned
}

// appendSnapshot appends the shard's live entries and reports whether all are in the
// stream. A snapshot that failed is taken again from the start.
func (e *Engine) appendSnapshot(ctx context.Context, r *runner) bool {
	entries := e.follower.journal(r.shard).Snapshot()
	for len(entries) > 0 {
		n := min(snapshotChunkEntries, len(entries))
		if !e.appendChunk(ctx, r, entries[:n]) {
			return false
		}
		entries = entries[n:]
	}
	return true
}

func (e *Engine) appendChunk(ctx context.Context, r *runner, entries []journal.Entry) bool {
	done := make(chan *domain.Error, 1)
	canTakeEffect := func() bool { return !r.fenced.Load() }
	e.committer.add(entries, canTakeEffect, func(err *domain.Error) { done <- err })
	select {
	case err := <-done:
		return err == nil
	case <-r.done:
		return false
	case <-ctx.Done():
		return false
	}
}
