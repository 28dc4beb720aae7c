package intake

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/steady"
	"github.com/basilferry/basilferry/node/storelog"
	"github.com/basilferry/basilferry/standin/fleet"
)

// admission is an intake whose requests partition has been read, and which stores nothing.
type admission struct {
	*Intake
	t          *testing.T
	log        *bytes.Buffer
	turnedAway map[string]int
	offset     int64
}

func newAdmission(t *testing.T) *admission {
	t.Helper()
	a := &admission{t: t, log: &bytes.Buffer{}, turnedAway: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	logger, clock := slog.New(slog.NewTextHandler(a.log, nil)), steady.New()
	caughtUp := make(chan struct{}, 1)
	requests := storelog.NewFollower(storelog.FollowerConfig{
		Store: fleet.NewStore(), Partition: platform.Partition{Topic: "own"}, Clock: clock, Logger: slog.New(slog.DiscardHandler),
		Apply: func(platform.KeyedRecord) {}, Wait: 20 * time.Millisecond,
		OnCaughtUp: func(int64) {
			select {
			case caughtUp <- struct{}{}:
			default:
			}
		},
	})
	done := make(chan struct{})
	go func() { defer close(done); requests.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	// The follower shows its second read only after its first one is complete.
	<-caughtUp
	<-caughtUp
	a.Intake = New(Config{
		Routes: &Routes{}, View: jobview.New(), Requests: requests, Clock: clock, Logger: logger,
		OnTurnedAway: func(queue string) { a.turnedAway[queue]++ },
	})
	return a
}

// read passes a record of the backlog, which is appended at the next offset, to the node.
func (a *admission) read(value []byte) platform.KeyedRecord {
	a.t.Helper()
	a.offset++
	r := platform.KeyedRecord{Key: jobview.LoadKey, Value: value, Offset: a.offset}
	assert.NilError(a.t, a.cfg.View.Apply(r))
	a.ObserveRequest(r)
	return r
}

func longBacklog(t *testing.T) []byte {
	t.Helper()
	pool := backlog.Pool{ID: dispatch.Pool{Service: "desk"}, Rate: 10, Work: backlog.Histogram{{Work: 400, OnTime: 400}}}
	s := backlog.Summary{Pools: []backlog.Pool{pool}, Queues: []backlog.Queue{{Route: "checks", MeanWork: 10}}}
	record, err := s.Encode()
	assert.NilError(t, err)
	return record
}

var hopeless = &job.Job{
	ID: "0123456789abcdef", Steps: []job.Step{{Count: 10, Need: domain.Resources{CPUMilli: 1000}, Estimate: time.Second}},
	Queue: job.Queue{Route: "checks", Service: "desk", Priority: 1, Stretch: 1.5, Objective: time.Second},
}

// Guards against a refusal that a client takes for a failure of a job that may run, and
// against one whose cause an operator cannot find.
func TestHopelessJobIsRefused(t *testing.T) {
	a := newAdmission(t)
	a.read(longBacklog(t))
	err := domain.AsError(a.Submit(context.Background(), hopeless))
	assert.Equal(t, err.Kind, domain.KindNotRun)
	assert.Assert(t, err.RetryAfter >= time.Second && err.RetryAfter <= 10*time.Second)
	assert.Assert(t, strings.Contains(err.Message, "41.0 s"), err.Message)
	assert.DeepEqual(t, a.turnedAway, map[string]int{"checks": 1})
	for _, part := range []string{
		"job=0123456789abcdef", "reason=backlog", "finish_ms=41000", "limit_ms=9375", "before=400", "bound=desk/reserved",
	} {
		assert.Assert(t, strings.Contains(a.log.String(), part), "%s in %s", part, a.log)
	}
}

// Guards against a refusal of a job that was accepted before.
func TestKnownJobIsAcceptedWithALongBacklog(t *testing.T) {
	a := newAdmission(t)
	a.read(longBacklog(t))
	value, err := ledger.EncodeJob(hopeless)
	assert.NilError(t, err)
	assert.NilError(t, a.cfg.View.Apply(platform.KeyedRecord{Key: jobview.Key(jobview.KindJob, hopeless.ID), Value: value}))
	assert.NilError(t, a.Submit(context.Background(), hopeless))
}

// Guards against refusals without a recent record of the owner: after its death, when the
// record is lost, cannot be decoded, is read again, or is read after a gap.
func TestWithoutARecentBacklogNothingIsRefused(t *testing.T) {
	a := newAdmission(t)
	assert.NilError(t, a.checkBacklog(hopeless))
	r := a.read(longBacklog(t))
	assert.Assert(t, a.checkBacklog(hopeless) != nil)
	a.backlog.Load().at -= maxBacklogAge + time.Second // The owner has died.
	assert.NilError(t, a.checkBacklog(hopeless))
	assert.NilError(t, a.cfg.View.Apply(r))
	a.ObserveRequest(r)
	assert.NilError(t, a.checkBacklog(hopeless))
	a.read(longBacklog(t)) // The next owner's record.
	assert.Assert(t, a.checkBacklog(hopeless) != nil)
	a.read([]byte("garbled"))
	assert.NilError(t, a.checkBacklog(hopeless))
	a.read(longBacklog(t))
	a.read(nil)
	assert.NilError(t, a.checkBacklog(hopeless))
	a.cfg.View.StartReload()
	a.read(longBacklog(t))
	a.cfg.View.FinishReload()
	assert.NilError(t, a.checkBacklog(hopeless))
}
