package journal

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

var (
	testShard = domain.ShardID{Domain: "larissa", Index: 0}
	testTime  = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
)

func record(t *testing.T, offset platform.Offset, entries ...Entry) platform.Record {
	t.Helper()
	for i := range entries {
		entries[i].Shard = testShard
	}
	rec, err := Encode(fmt.Sprintf("r%d", offset), entries)
	assert.NilError(t, err)
	rec.Offset, rec.AppendedAt = offset, testTime.Add(time.Duration(offset)*time.Second)
	return rec
}

func claim(node string, previous domain.Epoch) Entry {
	return Entry{Claim: &Claim{Shard: testShard, Node: domain.NodeID(node), Previous: previous}}
}

func apply(t *testing.T, d *Domain, recs ...platform.Record) *Shard {
	t.Helper()
	for _, r := range recs {
		assert.NilError(t, d.ApplyRecord(r))
	}
	return d.Shard(testShard)
}

// Guards against two claims that both take effect.
func TestSecondClaimOnSameEpochHasNoEffect(t *testing.T) {
	s := apply(t, NewDomain(),
		record(t, 1, claim("n1", 0)),
		record(t, 2, claim("n2", 1)),
		record(t, 3, claim("n3", 1)))
	assert.Equal(t, s.Owner, domain.NodeID("n2"))
	assert.Equal(t, s.Epoch, domain.Epoch(2))
	assert.Assert(t, !s.Handover)
}

// Guards against entries of a replaced owner that arrive late.
func TestEntriesOfReplacedOwnerHaveNoEffect(t *testing.T) {
	id := domain.RequestID{Shard: testShard, Epoch: 1, Seq: 7}
	s := apply(t, NewDomain(),
		record(t, 1, claim("n1", 0)),
		record(t, 2, claim("n2", 1)),
		record(t, 3, Entry{Epoch: 1, Intent: &Intent{ID: id}}),
		record(t, 4, Entry{Epoch: 2, Job: &Job{Task: domain.Task{ID: id}}}))
	assert.Equal(t, len(s.Intents), 0)
	assert.Equal(t, len(s.Jobs), 1)
}

// Guards against a repeated append taking effect twice, and against a release
// that does not count as a handover.
func TestRepeatIsIgnoredAndReleaseHandsOver(t *testing.T) {
	second := record(t, 2, Entry{Epoch: 1, Release: &Release{Shard: testShard, Epoch: 1}})
	repeat := second
	repeat.Offset = 3
	s := apply(t, NewDomain(), record(t, 1, claim("n1", 0)), second, repeat, record(t, 4, claim("n2", 1)))
	assert.Equal(t, s.Epoch, domain.Epoch(4))
	assert.Assert(t, s.Handover)
	assert.Assert(t, !s.Released)
}

// Guards against a reader that starts after the owner's claim record has expired
// and applies a later claim that took no effect.
func TestLateReaderTakesKeptOwnership(t *testing.T) {
	kept := Entry{Claim: &Claim{Shard: testShard, Node: "n1", Previous: 4, KeptEpoch: 4}}
	s := apply(t, NewDomain(), record(t, 6, claim("n9", 3)), record(t, 7, kept))
	assert.Equal(t, s.Owner, domain.NodeID("n1"))
	assert.Equal(t, s.Epoch, domain.Epoch(4))

	s = apply(t, NewDomain(), record(t, 6, claim("n9", 4)), record(t, 7, kept))
	assert.Equal(t, s.Owner, domain.NodeID("n9"))
	assert.Equal(t, s.Epoch, domain.Epoch(6))
}

// Guards against memory that grows with the number of requests ever made.
func TestOldRequestsAreDropped(t *testing.T) {
	id := domain.RequestID{Shard: testShard, Epoch: 1, Seq: 1}
	late := record(t, 4, Entry{Epoch: 1, MoveConfirmed: &MoveConfirmed{ID: id}})
	late.AppendedAt = testTime.Add(2 * KeyRetention)
	s := apply(t, NewDomain(),
		record(t, 1, claim("n1", 0)),
		record(t, 2, Entry{Epoch: 1, Intent: &Intent{ID: id}}),
		record(t, 3, Entry{Epoch: 1, Finished: &Finished{Outcome: domain.Outcome{ID: id}}}),
		late)
	assert.Equal(t, len(s.Intents)+len(s.Finished), 0)
}

// Guards against a snapshot that restores a job which finished after the snapshot
// was made and before it was appended, and against snapshots that keep old
// intents forever.
func TestSnapshotDoesNotOverrideNewerEntries(t *testing.T) {
	job := domain.RequestID{Shard: testShard, Epoch: 1, Seq: 1}
	old := domain.RequestID{Shard: testShard, Epoch: 1, Seq: 2}
	d := NewDomain()
	s := apply(t, d,
		record(t, 1, claim("n1", 0)),
		record(t, 2, Entry{Epoch: 1, Job: &Job{Task: domain.Task{ID: job}}}),
		record(t, 3, Entry{Epoch: 1, Intent: &Intent{ID: old}}))
	snapshot := record(t, 5, s.Snapshot()...)
	snapshot.AppendedAt = testTime.Add(KeyRetention / 2)
	last := record(t, 6, Entry{Epoch: 1, MoveConfirmed: &MoveConfirmed{ID: job}})
	last.AppendedAt = testTime.Add(KeyRetention + expiryInterval)
	s = apply(t, d, record(t, 4, Entry{Epoch: 1, Finished: &Finished{Outcome: domain.Outcome{ID: job}}}), snapshot, last)
	assert.Equal(t, len(s.Jobs), 0)
	assert.Equal(t, len(s.Intents), 0)
}

// Guards against a snapshot that loses or changes a part of the state.
func TestSnapshotRestoresState(t *testing.T) {
	job := domain.RequestID{Shard: testShard, Epoch: 1, Seq: 1}
	moved := domain.RequestID{Shard: testShard, Epoch: 1, Seq: 2}
	s := apply(t, NewDomain(),
		record(t, 1, claim("n1", 0)),
		record(t, 2, Entry{Epoch: 1, Job: &Job{Task: domain.Task{ID: job}, Attempt: 2, Checkpoint: "c"}}),
		record(t, 3, Entry{Epoch: 1, Moved: &Moved{ID: moved, Target: domain.ShardID{Domain: "volos"}}}),
		record(t, 4, Entry{Epoch: 1, MoveConfirmed: &MoveConfirmed{ID: moved}}))
	restored := apply(t, NewDomain(), record(t, 90, s.Snapshot()...))
	assert.Equal(t, restored.Epoch, s.Epoch)
	assert.Equal(t, restored.Owner, s.Owner)
	assert.DeepEqual(t, restored.Jobs, s.Jobs)
	assert.DeepEqual(t, restored.Moved, s.Moved)
}
