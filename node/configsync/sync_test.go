package configsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/peer"
)

var volos domain.FailureDomain = "volos"

// runWithVirtualTime runs a test in virtual time, in a group with node n1.
func runWithVirtualTime(t *testing.T, test func(t *testing.T, l *memLog, g nodeGroup, s *Sync)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l, g := newMemLog(), nodeGroup{}
		defer g.stop()
		s := g.start(t, l, "n1", 0)
		time.Sleep(time.Second)
		test(t, l, g, s)
	})
}

func propose(t *testing.T, s *Sync, c configlog.Change) configlog.Decision {
	t.Helper()
	d, err := s.Propose(t.Context(), c)
	assert.NilError(t, err)
	return d
}

// Guards against a change that is appended twice, or reported as failed, because
// the reply to its append was lost.
func TestProposeAppendsOnceWhenReplyIsLost(t *testing.T) {
	runWithVirtualTime(t, func(t *testing.T, l *memLog, g nodeGroup, s *Sync) {
		l.set(func(l *memLog) { l.dropReplies, l.readLatency = 1, 2*retryDelay })
		d := propose(t, s, configlog.Change{TakeOut: &volos})
		assert.Assert(t, d.Accepted && d.Version == 1)
		assert.Equal(t, l.len(), 1)
		assert.Assert(t, s.Current().TakenOut(volos))
		assert.Assert(t, !propose(t, s, configlog.Change{BringBack: &volos}).Accepted)
	})
}

// Guards against reporting a change as not made although it may take effect, and
// against appending a change while the log is known to be down.
func TestProposeReportsLogFailure(t *testing.T) {
	runWithVirtualTime(t, func(t *testing.T, l *memLog, g nodeGroup, s *Sync) {
		l.set(func(l *memLog) { l.appendsDown = true })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Propose(ctx, configlog.Change{TakeOut: &volos})
		assert.Equal(t, domain.KindOf(err), domain.KindOutcomeUnknown)
		l.set(func(l *memLog) { l.down = true })
		time.Sleep(retryDelay)
		_, err = s.Propose(t.Context(), configlog.Change{TakeOut: &volos})
		assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
	})
}

// Guards against a node that starts without a configuration while the log is
// down, or returns to a lower version.
func TestRestartedNodeTakesHighestVersionFromPeers(t *testing.T) {
	runWithVirtualTime(t, func(t *testing.T, l *memLog, g nodeGroup, s *Sync) {
		propose(t, s, configlog.Change{TakeOut: &volos})
		l.set(func(l *memLog) { l.down = true })
		old := g.start(t, l, "n2", 0)
		old.adopt(peer.ConfigReply{Configuration: domain.Configuration{Version: 5}})
		restarted := g.start(t, l, "n3", 0)
		assert.Equal(t, restarted.Current().Version, domain.Version(5))
		restarted.adopt(s.Reply(peer.ConfigArgs{}))
		assert.Equal(t, restarted.Current().Version, domain.Version(5))
		l.set(func(l *memLog) { l.down = false })
		time.Sleep(time.Second)
		assert.Equal(t, restarted.Current().Version, domain.Version(5))
	})
}

// Guards against a change that does not reach a node that cannot read the log,
// and against a different history on that node.
func TestNodeWithoutLogFollowsPeers(t *testing.T) {
	runWithVirtualTime(t, func(t *testing.T, l *memLog, g nodeGroup, s *Sync) {
		failedLog := newMemLog()
		other := g.start(t, failedLog, "n2", 0)
		time.Sleep(time.Second)
		failedLog.set(func(l *memLog) { l.down = true })
		time.Sleep(time.Second)
		propose(t, s, configlog.Change{TakeOut: &volos})
		propose(t, s, configlog.Change{BringBack: &volos})
		propose(t, s, configlog.Change{Base: 1, BringBack: &volos})
		g.ping()
		time.Sleep(2 * relayInterval)
		assert.DeepEqual(t, other.Current(), s.Current())
		assert.DeepEqual(t, other.History(10), s.History(10))
	})
}

// Guards against a provisional take-out that is lost when the node that added it
// fails, or that takes effect more than once.
func TestProvisionalTakeOutIsAppendedOnce(t *testing.T) {
	runWithVirtualTime(t, func(t *testing.T, l *memLog, g nodeGroup, s *Sync) {
		other := g.start(t, l, "n2", 0)
		l.set(func(l *memLog) { l.down = true })
		time.Sleep(time.Second)
		s.AddProvisional(volos, "ann", "fire")
		s.AddProvisional(volos, "ann", "fire")
		g.ping()
		assert.DeepEqual(t, other.Provisional(), []domain.FailureDomain{volos})
		assert.Assert(t, !other.Current().TakenOut(volos))
		l.set(func(l *memLog) { l.down = false })
		time.Sleep(3 * time.Second)
		for _, n := range g {
			assert.Equal(t, len(n.Provisional()), 0)
			assert.Equal(t, len(n.Current().TakeOuts), 1)
		}
		// A node that has not yet read that the domain was brought back still
		// reports the take-out.
		propose(t, s, configlog.Change{Base: s.Current().Version, BringBack: &volos})
		s.ObservePing(peer.PingArgs{From: "n3", ProvisionalTakeOuts: []domain.FailureDomain{volos}})
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(s.Provisional()), 0)
		assert.Assert(t, !s.Current().TakenOut(volos))
	})
}

// Guards against a configuration whose record expires before it is appended
// again, and against a snapshot from each node.
func TestOneNodeAppendsSnapshotBeforeExpiry(t *testing.T) {
	runWithVirtualTime(t, func(t *testing.T, l *memLog, g nodeGroup, s *Sync) {
		g.start(t, l, "n2", 10*time.Second)
		propose(t, s, configlog.Change{TakeOut: &volos})
		time.Sleep(retention*2/3 - 5*time.Second)
		assert.Equal(t, l.len(), 1)
		time.Sleep(20 * time.Second)
		assert.Equal(t, l.len(), 2)
		assert.Equal(t, l.records[1].Type, configlog.SnapshotType)
		time.Sleep(retention * 2 / 3)
		assert.Equal(t, l.len(), 3)
	})
}

// Guards against a stream with steady changes that never gets a snapshot: a node
// that starts later would miss the settings of its older, expired records.
func TestSnapshotIsAppendedDuringSteadyChanges(t *testing.T) {
	runWithVirtualTime(t, func(t *testing.T, l *memLog, _ nodeGroup, s *Sync) {
		for start := time.Now(); time.Since(start) < retention; time.Sleep(retention / 12) {
			d := propose(t, s, configlog.Change{Base: s.Current().Version, TakeOut: &volos})
			assert.Assert(t, d.Accepted)
			d = propose(t, s, configlog.Change{Base: s.Current().Version, BringBack: &volos})
			assert.Assert(t, d.Accepted)
		}
		snapshots := 0
		for _, rec := range l.records {
			if rec.Type == configlog.SnapshotType {
				snapshots++
			}
		}
		assert.Equal(t, snapshots, 1)
	})
}

// Guards against an unbounded number of records kept for other nodes.
func TestKeptRecordsAreBounded(t *testing.T) {
	s := New(Config{State: newState()})
	for i := range 5 * keptRecords {
		s.applyRecord(platform.Record{Offset: platform.Offset(i + 1)})
	}
	assert.Assert(t, len(s.records) >= keptRecords && len(s.records) <= 2*keptRecords)
}
