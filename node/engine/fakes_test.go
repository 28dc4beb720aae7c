package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/ring"
	"github.com/basilferry/basilferry/core/shard"
)

var errLogDown = errors.New("log is down")

// memLog is a log with one stream in memory that can simulate faults.
type memLog struct {
	mu      sync.Mutex
	records []platform.Record
	// first is the offset of records[0].
	first platform.Offset
	// grown is closed and replaced when an append stores a record.
	grown chan struct{}
	// appends is the number of append calls.
	appends int
	// latency delays each append.
	latency time.Duration
	// readLatency delays records on their way to readers.
	readLatency time.Duration
	// down makes every call fail.
	down bool
	// loseReplies is how many appends store the record and then return an error.
	loseReplies int
	// maxBytes limits a record's data; zero means no limit.
	maxBytes int
	// hang is how many appends store the record and then wait until ctx ends.
	hang int
	// competingRecord, if set, is another node's record that is stored just before
	// the record of the next append.
	competingRecord *platform.Record
}

func newMemLog() *memLog { return &memLog{first: 1, grown: make(chan struct{})} }

func (l *memLog) Append(ctx context.Context, _ platform.Stream, rec platform.Record) (platform.Offset, error) {
	l.mu.Lock()
	latency := l.latency
	l.mu.Unlock()
	sleep(ctx, latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return 0, errLogDown
	}
	if l.maxBytes > 0 && len(rec.Data) > l.maxBytes {
		return 0, &domain.Error{Kind: domain.KindTooLarge}
	}
	if l.competingRecord != nil {
		l.add(*l.competingRecord)
		l.competingRecord = nil
	}
	rec.Offset = l.add(rec)
	close(l.grown)
	l.grown = make(chan struct{})
	if l.loseReplies > 0 {
		l.loseReplies--
		return 0, errors.New("reply lost")
	}
	if l.hang > 0 {
		l.hang--
		l.mu.Unlock()
		<-ctx.Done()
		l.mu.Lock()
		return 0, ctx.Err()
	}
	return rec.Offset, nil
}

func (l *memLog) add(rec platform.Record) platform.Offset {
	rec.Offset = l.first + platform.Offset(len(l.records))
	l.records = append(l.records, rec)
	return rec.Offset
}

func (l *memLog) Read(ctx context.Context, _ platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.ReadReply, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		reply, grown, down, delay := l.reply(from, limit), l.grown, l.down, l.readLatency
		l.mu.Unlock()
		if down {
			return platform.ReadReply{}, errLogDown
		}
		if len(reply.Records) > 0 {
			sleep(ctx, delay)
			return reply, ctx.Err()
		}
		select {
		case <-grown:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return platform.ReadReply{}, ctx.Err()
		}
	}
}

func (l *memLog) reply(from platform.Offset, limit int) platform.ReadReply {
	next := l.first + platform.Offset(len(l.records))
	from = min(max(from, l.first), next)
	records := l.records[from-l.first:]
	records = slices.Clone(records[:min(limit, len(records))])
	return platform.ReadReply{Records: records, First: l.first, Next: next, Retention: time.Hour}
}

func (l *memLog) set(change func(*memLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// dropFirst drops the first n records. The caller holds l.mu.
func (l *memLog) dropFirst(n int) {
	l.records = l.records[n:]
	l.first += platform.Offset(n)
}

// expire drops the first n records.
func (l *memLog) expire(n int) {
	l.set(func(l *memLog) { l.dropFirst(n) })
}

func (l *memLog) entries(t *testing.T) []journal.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []journal.Entry
	for _, rec := range l.records {
		entries, err := journal.Decode(rec)
		assert.NilError(t, err)
		all = append(all, entries...)
	}
	return all
}

// fakeReadModel applies claims, releases and the jobs of the epoch in force.
type fakeReadModel struct {
	owners map[domain.ShardID]membership.Ownership
	live   map[domain.ShardID][]journal.Entry
}

func newFakeReadModel() ReadModel {
	return &fakeReadModel{owners: map[domain.ShardID]membership.Ownership{}, live: map[domain.ShardID][]journal.Entry{}}
}

func (f *fakeReadModel) Apply(offset platform.Offset, _ time.Time, entries []journal.Entry) {
	for _, e := range entries {
		o := f.owners[e.Shard]
		switch {
		case e.Claim != nil && e.Claim.Previous == o.Epoch:
			f.owners[e.Shard] = membership.Ownership{Owner: e.Claim.Node, Epoch: domain.Epoch(offset)}
		case e.Release != nil && e.Epoch == o.Epoch:
			o.Released = true
			f.owners[e.Shard] = o
		case e.Job != nil && e.Epoch == o.Epoch:
			f.live[e.Shard] = append(f.live[e.Shard], e)
		}
	}
}

func (f *fakeReadModel) Ownership(id domain.ShardID) membership.Ownership { return f.owners[id] }

func (f *fakeReadModel) Journal(id domain.ShardID) Journal {
	return fakeJournal(slices.Clone(f.live[id]))
}

type fakeJournal []journal.Entry

func (j fakeJournal) Snapshot() []journal.Entry { return j }

// fakeScheduler appends an intent for each request, starts the request on worker "w"
// and replies with the worker's result.
type fakeScheduler struct {
	cfg SchedulerConfig
	// trace is called with each event.
	trace    func(shard.Event)
	calls    map[domain.RequestID]shard.CallID
	pending  []domain.Task
	token    shard.AppendToken
	seq      uint64
	draining bool
}

func (s *fakeScheduler) Step(_ shard.Instant, ev shard.Event) []shard.Effect {
	s.trace(ev)
	switch ev := ev.(type) {
	case shard.Submitted:
		return s.submit(ev)
	case shard.AppendDone:
		task := s.pending[0]
		s.pending = s.pending[1:]
		return []shard.Effect{shard.SendStart{Worker: "w", Request: platform.StartRequest{Epoch: s.cfg.Epoch, Task: task}}}
	case shard.StartDone:
		call := s.calls[ev.ID]
		delete(s.calls, ev.ID)
		out := domain.Outcome{ID: ev.ID, State: domain.OutcomeSucceeded, Answer: ev.Status.Answer, Err: ev.Err}
		return s.withDrained(shard.Reply{Call: call, Outcome: out})
	case shard.Draining:
		s.draining = true
		return s.withDrained()
	}
	return nil
}

func (s *fakeScheduler) submit(ev shard.Submitted) []shard.Effect {
	s.calls[ev.Task.ID] = ev.Call
	s.pending = append(s.pending, ev.Task)
	s.token++
	intent := journal.Entry{Shard: s.cfg.Shard, Epoch: s.cfg.Epoch, Intent: &journal.Intent{ID: ev.Task.ID}}
	return []shard.Effect{shard.Append{Token: s.token, Entries: []journal.Entry{intent}}}
}

func (s *fakeScheduler) withDrained(effects ...shard.Effect) []shard.Effect {
	if s.draining && len(s.calls) == 0 {
		effects = append(effects, shard.Drained{})
	}
	return effects
}

func (s *fakeScheduler) Draw(n int) uint64 {
	first := s.seq + 1
	s.seq += uint64(n)
	return first
}

func (s *fakeScheduler) Status() Status { return Status{Ready: true, FreeSlots: 1} }

// fakeWorker answers Run with the task's payload once unblock is closed.
type fakeWorker struct {
	platform.Worker
	runCalls chan platform.StartRequest
	unblock  chan struct{}
}

func (w *fakeWorker) Attach(context.Context, platform.AttachRequest) (platform.AttachReply, error) {
	return platform.AttachReply{Session: 1}, nil
}

func (w *fakeWorker) Run(ctx context.Context, req platform.StartRequest) (platform.TaskStatus, error) {
	w.runCalls <- req
	select {
	case <-w.unblock:
		return platform.TaskStatus{Task: req.Task, State: platform.TaskSucceeded, Answer: req.Task.Payload}, nil
	case <-ctx.Done():
		return platform.TaskStatus{}, ctx.Err()
	}
}

type fakeReasons struct{}

func (fakeReasons) Record(domain.RequestID, string)          {}
func (fakeReasons) Entries(domain.RequestID) []explain.Entry { return nil }

// fixture is the engine of one node with a log, a worker and a scheduler that are
// fakes.
type fixture struct {
	*Engine
	log    *memLog
	worker *fakeWorker
	mu     sync.Mutex
	events []string
}

const testDomain domain.FailureDomain = "larissa"

var testShard = domain.ShardID{Domain: testDomain}

func newFixture(t testing.TB, l *memLog, node domain.NodeID) *fixture {
	t.Helper()
	return newFixtureWith(t, l, node, nil)
}

func newFixtureWith(t testing.TB, l *memLog, node domain.NodeID, observe func(LogRead)) *fixture {
	t.Helper()
	topology, err := ring.New([]domain.FailureDomain{testDomain}, 1)
	assert.NilError(t, err)
	fx := &fixture{log: l, worker: &fakeWorker{runCalls: make(chan platform.StartRequest, 10000), unblock: make(chan struct{})}}
	close(fx.worker.unblock)
	fx.Engine = New(Config{
		Node: node, Domain: testDomain, Ring: topology, Log: l,
		Dial:         func(string) platform.Worker { return fx.worker },
		NewScheduler: fx.newScheduler,
		NewReadModel: newFakeReadModel,
		Reasons:      fakeReasons{},
		Logger:       log.New(io.Discard),
		OnLogRead:    observe,
		Start:        time.Now(),
	})
	fx.Start()
	return fx
}

func (fx *fixture) newScheduler(cfg SchedulerConfig) (Scheduler, []shard.Effect) {
	s := &fakeScheduler{cfg: cfg, trace: fx.trace, calls: map[domain.RequestID]shard.CallID{}}
	return s, []shard.Effect{shard.SendAttach{Worker: "w", Address: "127.0.0.1:1"}}
}

func (fx *fixture) trace(ev shard.Event) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	switch ev := ev.(type) {
	case shard.Tick, shard.OwnershipRead:
	default:
		text, _ := json.Marshal(ev)
		fx.events = append(fx.events, string(text))
	}
}

// recordedEvents returns the events of the scheduler as text, without ticks and
// ownership reads.
func (fx *fixture) recordedEvents() string {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return strings.Join(fx.events, "\n")
}

// claim makes the node the owner of testShard and returns the epoch.
func (fx *fixture) claim(t testing.TB, previous domain.Epoch) domain.Epoch {
	t.Helper()
	done := make(chan *domain.Error, 1)
	fx.Claim(testShard, previous, func(err *domain.Error) { done <- err })
	assert.Assert(t, <-done == nil)
	owned := fx.Owned()
	assert.Equal(t, len(owned), 1)
	return owned[0].Epoch
}

// close stops the engine without releasing its shards.
func (fx *fixture) close(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = fx.Stop(ctx)
}

// waitForRefresh waits until the runner has refreshed its status and the follower
// has completed its reads.
func waitForRefresh() { time.Sleep(2 * TickInterval) }

func urgent(seq uint64) shard.Submitted {
	return shard.Submitted{Task: domain.Task{
		ID:   domain.RequestID{Shard: testShard, Epoch: 1, Seq: seq},
		Kind: domain.KindUrgent, Class: "c", Team: "t", Deadline: time.Minute, Payload: []byte("answer"),
	}}
}
