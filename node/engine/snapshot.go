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
	// firstSnapshotDelay is the time between a claim and the first snapshot, or a
	// twelfth of the retention if that is shorter. Later snapshots are two thirds of
	// the retention apart. The first one cannot wait that long, because it is not
	// known when the previous owner took its last one.
	firstSnapshotDelay = 10 * time.Second
	// snapshotChunkEntries is the number of entries per append. It is less than
	// maxBatchEntries, so that each batch has room for other entries.
	snapshotChunkEntries = 256
)

// retention is how long the log retains records of the domain's stream, in
// nanoseconds. It is zero before the first read.
type retention struct{ ns atomic.Int64 }

func (r *retention) set(d time.Duration) { r.ns.Store(int64(d)) }

func (r *retention) get() time.Duration { return time.Duration(r.ns.Load()) }

// runSnapshots repeats the entries of each owned shard that are still needed in new
// records, before the log drops the old ones.
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

// updateDueTimes returns the times of the next snapshots: those in due without the
// runners that have ended, and with the runners that are new.
func (e *Engine) updateDueTimes(due map[*runner]time.Duration, period time.Duration) map[*runner]time.Duration {
	updated := make(map[*runner]time.Duration)
	for _, r := range e.sortedRunners() {
		at, known := due[r]
		if !known {
			at = e.config.now() + min(firstSnapshotDelay, period/12)
		}
		updated[r] = at
	}
	return updated
}

// appendSnapshot appends the entries of the shard that are still needed and reports
// whether all are in the stream. If not, the caller takes a new snapshot at its next
// check.
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
