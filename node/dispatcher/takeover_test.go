package dispatcher

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
	"github.com/basilferry/basilferry/node/steady"
	"github.com/basilferry/basilferry/node/storelog"
	"github.com/basilferry/basilferry/standin/fleet"
)

type noMetrics struct{}

func (noMetrics) Count(string, int64)                        {}
func (noMetrics) CountDeferred(string, int64)                {}
func (noMetrics) Gauge(string, float64)                      {}
func (noMetrics) AccountGauge(_, _, _ string, _ float64)     {}
func (noMetrics) Observe(string, time.Duration)              {}
func (noMetrics) ObserveStage(string, string, time.Duration) {}
func (noMetrics) SetHeld(string, int)                        {}
func (noMetrics) SetBacklog(backlog.Pool)                    {}

// takeover is a dispatcher that becomes the owner after another node. Its decision
// goroutine does not run, and its followers read when the test says so.
type takeover struct {
	*Dispatcher
	t     *testing.T
	store *fleet.Store
	// previous writes as the previous owner.
	previousRequests, previousStates *storelog.OwnerWriter
}

const (
	previousToken platform.Token = 1
	takenOverJob  job.ID         = "00000000000000aa"
)

func newTakeover(t *testing.T) *takeover {
	t.Helper()
	clock, logger, store, view := steady.New(), slog.New(slog.NewTextHandler(io.Discard, nil)), fleet.NewStore(), jobview.New()
	requests, states, pulse := platform.Partition{Topic: "own"}, platform.Partition{Topic: "own", Part: 1}, platform.Partition{Topic: "own", Part: 2}
	to := &takeover{t: t, store: store}
	follower := func(p platform.Partition, notify func(platform.KeyedRecord)) *storelog.Follower {
		return storelog.NewFollower(storelog.FollowerConfig{Store: store, Partition: p, Clock: clock, Logger: logger, Wait: 20 * time.Millisecond, Apply: func(r platform.KeyedRecord) {
			assert.Check(t, view.Apply(r))
			notify(r)
		}})
	}
	to.Dispatcher = New(Config{
		Domain:    "north",
		Platform:  Platform{Store: store, Requests: requests, States: states, Pulse: pulse, Registry: platform.Partition{Topic: "registry"}},
		Ownership: ownership.Settings{Node: "n1", Incarnation: 7, OwnerTimeout: time.Second, RenewInterval: 500 * time.Millisecond, ResignCooldown: time.Minute},
		Clock:     clock, Logger: logger, View: view, Metrics: noMetrics{},
		RequestsFollower:  follower(requests, func(r platform.KeyedRecord) { to.ApplyRequest(r) }),
		StatesFollower:    follower(states, func(r platform.KeyedRecord) { to.ApplyState(r) }),
		OnOwnershipChange: func(bool) {},
	})
	to.previousRequests = storelog.NewOwnerWriter(store, requests, previousToken)
	to.previousStates = storelog.NewOwnerWriter(store, states, previousToken)
	t.Cleanup(to.cancel)
	return to
}

// claim appends a claim of this node and returns its offset.
func (to *takeover) claim() (ownership.Record, int64) {
	to.t.Helper()
	record := to.ownership.Record(ownership.KindClaim)
	result, err := to.store.Append(to.ctx, platform.Append{Partition: to.cfg.Platform.Requests, Records: []platform.KeyedRecord{ownershipRecord(record)}})
	assert.NilError(to.t, err)
	return record, result.Offset
}

// placeByPreviousOwner lets a client hand in a job of one task, which the previous
// owner then places on worker w1.
func (to *takeover) placeByPreviousOwner() {
	to.t.Helper()
	step := job.Step{Count: 1, Need: domain.Resources{CPUMilli: 500, MemoryMiB: 10}, Estimate: time.Second}
	table := ledger.New()
	entry := table.Accept(&job.Job{ID: takenOverJob, Payload: "text", Queue: job.Queue{Route: "checks", Service: "desk"}, Steps: []job.Step{step}})
	accepted, err := ledger.EncodeJob(entry.Job)
	assert.NilError(to.t, err)
	_, err = to.store.Append(to.ctx, platform.Append{
		Partition: to.cfg.Platform.Requests, Records: []platform.KeyedRecord{{Key: jobview.Key(jobview.KindJob, takenOverJob), Value: accepted}},
	})
	assert.NilError(to.t, err)
	table.Place(job.TaskID{StepID: job.StepID{Job: takenOverJob}}, 1, "w1")
	state, err := ledger.EncodeState(entry)
	assert.NilError(to.t, err)
	_, err = to.previousStates.Append(to.ctx, []platform.KeyedRecord{{Key: jobview.Key(jobview.KindState, takenOverJob), Value: state}})
	assert.NilError(to.t, err)
}

// advanceUntil handles events and rounds until the condition holds, at most for the
// given time. It reports whether the condition holds.
func (to *takeover) advanceUntil(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		to.drainEvents()
		to.advance()
		if holds() {
			return true
		}
	}
	return false
}

func (to *takeover) isScheduling() bool { return to.term != nil && to.term.jobScheduler != nil }

// follow runs a follower until the test ends.
func (to *takeover) follow(f *storelog.Follower) {
	ctx, cancel := context.WithCancel(to.ctx)
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	to.t.Cleanup(func() { cancel(); <-done })
}

// A job that was accepted while this node claimed ownership, and that the previous
// owner has placed. Guards against a new owner that learns of the job only after it has
// read the previous owner's states, and places its tasks again while they run.
func TestJobPlacedDuringAClaimIsNotPlacedAgain(t *testing.T) {
	to := newTakeover(t)
	to.cfg.Scheduler = scheduler.Settings{Lease: 5 * time.Second, LeaseLimit: 6 * time.Second, MaxOffline: 5 * time.Second}
	record, offset := to.claim()
	to.placeByPreviousOwner()
	to.observeOwner(record, offset)
	to.follow(to.cfg.StatesFollower)
	const slowRead = 300 * time.Millisecond
	to.advanceUntil(slowRead, to.isScheduling)
	to.follow(to.cfg.RequestsFollower)
	assert.Assert(t, to.advanceUntil(5*time.Second, func() bool { return to.isScheduling() && to.term.jobScheduler.State(takenOverJob) != "" }))
	task, ok := to.term.jobScheduler.Ledger().Entry(takenOverJob).Task(job.TaskID{StepID: job.StepID{Job: takenOverJob}})
	assert.Assert(t, ok)
	assert.Equal(t, task.Phase, ledger.Placed)
	assert.Equal(t, task.Worker, domain.WorkerID("w1"))
	assert.Equal(t, task.Attempt, 1)
}

// Guards against an owner that goes on renewing its claim, and with it the leases of
// workers, after the next owner has begun to schedule.
func TestPreviousOwnerCannotRenewOnceTheNextOneSchedules(t *testing.T) {
	to := newTakeover(t)
	_, err := to.previousRequests.Append(to.ctx, []platform.KeyedRecord{ownershipRecord(ownership.Record{Kind: ownership.KindClaim, Node: "n2", Incarnation: 1})})
	assert.NilError(t, err)
	record, offset := to.claim()
	to.observeOwner(record, offset)
	to.follow(to.cfg.StatesFollower)
	to.follow(to.cfg.RequestsFollower)
	assert.Assert(t, to.advanceUntil(5*time.Second, to.isScheduling))
	_, err = to.previousRequests.Append(to.ctx, []platform.KeyedRecord{ownershipRecord(ownership.Record{Kind: ownership.KindRenewal, Node: "n2", Incarnation: 1, Token: previousToken})})
	assert.ErrorIs(t, err, platform.ErrFenced)
}

// Guards against a new owner that decides by an older record of the workers without a
// lease, because the newest one has been read and is still a queued event: a worker that
// has a lease again would be given up while it runs its tasks.
func TestSchedulingStartsWithAllEventsOfTheRecordsReadSoFar(t *testing.T) {
	to := newTakeover(t)
	_, err := to.previousStates.Append(to.ctx, []platform.KeyedRecord{{Key: jobview.LeaseBoundsKey, Value: []byte("newest")}})
	assert.NilError(t, err)
	record, offset := to.claim()
	to.observeOwner(record, offset)
	to.follow(to.cfg.RequestsFollower)
	assert.Assert(t, to.advanceUntil(5*time.Second, func() bool {
		return to.term.requestsFence >= 0 && to.cfg.RequestsFollower.End() >= to.term.requestsFence
	}))
	to.follow(to.cfg.StatesFollower)
	for to.cfg.StatesFollower.End() < to.term.statesFence {
		time.Sleep(time.Millisecond)
	}
	to.advance()
	assert.Assert(t, to.isScheduling())
	assert.Equal(t, string(to.previousOwner.LeaseBounds), "newest")
}

// hasRecord reports whether a partition has a record that matches.
func (to *takeover) hasRecord(p platform.Partition, matches func(platform.KeyedRecord) bool) bool {
	to.t.Helper()
	result, err := to.store.Read(to.ctx, p, 0, 0)
	assert.NilError(to.t, err)
	return slices.ContainsFunc(result.Records, matches)
}

func isRelease(r platform.KeyedRecord) bool {
	record, err := ownership.Decode(r.Value)
	return r.Key == jobview.OwnerKey && err == nil && record.Kind == ownership.KindRelease
}

// Guards against a release that is stored before the bound of a worker that does not
// respond: the next owner would assume that its lease was renewed until the release.
func TestReleaseIsStoredAfterTheLeaseBounds(t *testing.T) {
	to := newTakeover(t)
	record, offset := to.claim()
	to.placeByPreviousOwner()
	to.observeOwner(record, offset)
	to.follow(to.cfg.StatesFollower)
	to.follow(to.cfg.RequestsFollower)
	assert.Assert(t, to.advanceUntil(5*time.Second, to.isScheduling))
	to.ResignForShutdown(time.Minute)
	partitions := to.cfg.Platform
	assert.Assert(t, to.advanceUntil(5*time.Second, func() bool { return to.hasRecord(partitions.Requests, isRelease) }))
	assert.Assert(t, to.hasRecord(partitions.States, func(r platform.KeyedRecord) bool {
		return r.Key == jobview.LeaseBoundsKey && strings.Contains(string(r.Value), "w1")
	}))
	assert.Assert(t, to.advanceUntil(5*time.Second, func() bool { return to.term == nil }), "the term goes on after the release")
}
