package dispatcher

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
	"github.com/basilferry/basilferry/node/steady"
	"github.com/basilferry/basilferry/node/storelog"
	"github.com/basilferry/basilferry/standin/fleet"
)

// newTestDispatcher returns a dispatcher whose decision goroutine does not run: the
// tests call its methods in the order that they are about.
func newTestDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	clock, logger, store := steady.New(), slog.New(slog.NewTextHandler(io.Discard, nil)), fleet.NewStore()
	requests, states, pulse := platform.Partition{Topic: "own"}, platform.Partition{Topic: "own", Part: 1}, platform.Partition{Topic: "own", Part: 2}
	follower := func(p platform.Partition) *storelog.Follower {
		return storelog.NewFollower(storelog.FollowerConfig{Store: store, Partition: p, Clock: clock, Logger: logger, Apply: func(platform.KeyedRecord) {}})
	}
	d := New(Config{
		Domain:    "north",
		Platform:  Platform{Store: store, Requests: requests, States: states, Pulse: pulse},
		Ownership: ownership.Settings{Node: "n1", Incarnation: 7, OwnerTimeout: time.Second, RenewInterval: 500 * time.Millisecond, ResignCooldown: time.Minute},
		Clock:     clock, Logger: logger, View: jobview.New(),
		RequestsFollower: follower(requests), StatesFollower: follower(states), OnOwnershipChange: func(bool) {},
	})
	t.Cleanup(d.cancel)
	return d
}

func ownRecord(kind ownership.RecordKind, token platform.Token) ownership.Record {
	return ownership.Record{Kind: kind, Node: "n1", Incarnation: 7, Token: token}
}

// Orderings of the records that an owner reads while it hands over. Guards against a
// term that ends before the release is appended, so that the next owner waits for the
// owner timeout, and against one that goes on after a newer claim.
func TestTermEndsWithItsReleaseOrANewerClaim(t *testing.T) {
	newerClaim := ownership.Record{Kind: ownership.KindClaim, Node: "n2", Incarnation: 1}
	newerRenewal := ownership.Record{Kind: ownership.KindRenewal, Node: "n2", Incarnation: 1, Token: 6}
	for _, c := range []struct {
		name    string
		resigns func(*ownership.Ownership, ownership.Instant)
		record  ownership.Record
		offset  int64
		goesOn  bool
	}{
		{"own renewal", nil, ownRecord(ownership.KindRenewal, 5), 5, true},
		{"own renewal while preparing", (*ownership.Ownership).MarkLeaving, ownRecord(ownership.KindRenewal, 5), 5, true},
		{"own renewal while resigning", (*ownership.Ownership).MarkUnfit, ownRecord(ownership.KindRenewal, 5), 5, true},
		{"own release", (*ownership.Ownership).MarkUnfit, ownRecord(ownership.KindRelease, 5), 5, false},
		{"newer claim", nil, newerClaim, 6, false},
		{"newer claim while preparing", (*ownership.Ownership).MarkLeaving, newerClaim, 6, false},
		{"newer claim while resigning", (*ownership.Ownership).MarkUnfit, newerClaim, 6, false},
		{"older claim", nil, newerClaim, 2, true},
		{"renewal of a newer claim", nil, newerRenewal, 9, false},
		{"renewal of a newer claim while preparing", (*ownership.Ownership).MarkLeaving, newerRenewal, 9, false},
	} {
		d := newTestDispatcher(t)
		d.observeOwner(ownRecord(ownership.KindClaim, 0), 4)
		assert.Assert(t, d.term != nil, c.name)
		term := d.term
		if c.resigns != nil {
			c.resigns(d.ownership, d.cfg.Clock.Now())
		}
		d.observeOwner(c.record, c.offset)
		assert.Equal(t, d.term == term, c.goesOn, c.name)
		assert.Equal(t, d.term != nil, c.goesOn, c.name)
		assert.Equal(t, term.ctx.Err() == nil, c.goesOn, "%s: commands of an ended term are not sent", c.name)
	}
}

// Guards against a release before the hand-over is prepared, against an owner that never
// releases its claim because the store or a worker does not respond, and against a
// preparation by an owner that does not schedule yet.
func TestReleaseFollowsThePreparation(t *testing.T) {
	for _, c := range []struct {
		name             string
		schedules, ready bool
		passed           time.Duration
		releases         bool
	}{
		{"not scheduling yet", false, false, 0, true},
		{"not prepared", true, false, 0, false},
		{"prepared", true, true, 0, true},
		{"limit not reached", true, false, handOverLimit - time.Millisecond, false},
		{"limit reached", true, false, handOverLimit, true},
	} {
		d := newTestDispatcher(t)
		d.observeOwner(ownRecord(ownership.KindClaim, 0), 4)
		now := d.cfg.Clock.Now()
		if c.schedules {
			s := scheduler.New(scheduler.Settings{MaxOffline: time.Hour}, 5, now, now)
			d.term.jobScheduler = s
			if c.ready {
				batch, err := s.TakeBatch(now)
				assert.NilError(t, err)
				s.Stored(batch, now, now)
			}
		}
		d.ResignForShutdown(time.Hour)
		d.drainEvents()
		assert.Assert(t, d.ownership.IsResigning(), c.name)
		if d.ownership.IsPreparing() {
			d.term.checkHandOver(d.term.handOverFrom + c.passed)
		}
		assert.Equal(t, !d.ownership.IsPreparing(), c.releases, c.name)
		now = d.cfg.Clock.Now() + c.passed
		assert.Equal(t, d.ownership.NextAction(now, now) == ownership.Resign, c.releases, c.name)
	}
}

// The process stops while its owner prepares a hand-over because of an evacuation. Guards
// against a release before the preparation ends, and against one after the process has
// ended.
func TestStopDuringAPreparationShortensIt(t *testing.T) {
	d := newTestDispatcher(t)
	d.observeOwner(ownRecord(ownership.KindClaim, 0), 4)
	now := d.cfg.Clock.Now()
	d.term.jobScheduler = scheduler.New(scheduler.Settings{MaxOffline: time.Hour}, 5, now, now)
	d.leave("test", handOverLimit)
	const limit = 300 * time.Millisecond
	d.ResignForShutdown(limit)
	d.drainEvents()
	assert.Assert(t, d.ownership.IsPreparing())
	d.term.checkHandOver(d.cfg.Clock.Now() + limit)
	assert.Assert(t, !d.ownership.IsPreparing() && d.ownership.IsResigning())
}

// Results and acknowledgements that arrive after the hand-over. Guards against an event
// of an ended term that changes the next one.
func TestEventOfAnEndedTermIsDropped(t *testing.T) {
	d := newTestDispatcher(t)
	d.observeOwner(ownRecord(ownership.KindClaim, 0), 4)
	ended := d.term
	handled := false
	d.postForTerm(ended, func() { handled = true })
	d.endTerm("test")
	d.observeOwner(ownRecord(ownership.KindClaim, 0), 9)
	assert.Assert(t, d.term != ended && d.term != nil)
	d.drainEvents()
	assert.Assert(t, !handled)
}

// A panic in the decision goroutine. Guards against a scheduler that goes on with an
// inconsistent state, and against a node that never owns again.
func TestPanicEndsTheTermAndLeavesTheNodeFitToClaim(t *testing.T) {
	d := newTestDispatcher(t)
	d.observeOwner(ownRecord(ownership.KindClaim, 0), 4)
	d.guarded("event", func() { panic("odd") })
	assert.Assert(t, d.term == nil)
	later := d.cfg.Clock.Now() + 2*time.Second
	assert.Equal(t, d.ownership.NextAction(later, later), ownership.Claim)
}

// Guards against an owner that stays in a failure domain which is about to be switched
// off, and against one that resigns although no other domain can serve, or again for a
// repeated record.
func TestOwnerLeavesAnEvacuatedDomain(t *testing.T) {
	for _, c := range []struct {
		name        string
		evacuations []platform.OperatorChange
		resigns     bool
	}{
		{"own domain", []platform.OperatorChange{{Evacuate: "north"}}, true},
		{"other domain", []platform.OperatorChange{{Evacuate: "south"}}, false},
		{"all domains", []platform.OperatorChange{{Evacuate: "south"}, {Evacuate: "north"}}, false},
		{"end of the evacuation", []platform.OperatorChange{{Evacuate: "north", Removed: true}}, false},
	} {
		d := newTestDispatcher(t)
		d.observeOwner(ownRecord(ownership.KindClaim, 0), 4)
		now := d.cfg.Clock.Now()
		d.term.jobScheduler = scheduler.New(scheduler.Settings{}, 5, now, now)
		for _, worker := range []domain.FailureDomain{"north", "south"} {
			d.term.jobScheduler.RegisterWorker(platform.RegistryEntry{ID: domain.WorkerID(worker), Domain: worker}, now)
		}
		for _, change := range c.evacuations {
			d.Evacuate(change)
		}
		d.drainEvents()
		assert.Equal(t, d.ownership.IsResigning(), c.resigns, c.name)
	}
}
