package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/ring"
	"github.com/basilferry/basilferry/node/engine"
	"github.com/basilferry/basilferry/node/logclient"
	"github.com/basilferry/basilferry/standin/logservice"
)

// appendLatency is the assumed latency of an append to the log service.
const appendLatency = 2 * time.Millisecond

// slowLog delays each append by appendLatency and counts the appends and their
// entries.
type slowLog struct {
	platform.Log
	mu      sync.Mutex
	appends int
	entries int
}

// Append implements platform.Log.
func (l *slowLog) Append(ctx context.Context, s platform.Stream, rec platform.Record) (platform.Offset, error) {
	time.Sleep(appendLatency)
	entries, err := journal.Decode(rec)
	l.mu.Lock()
	l.appends++
	l.entries += len(entries)
	l.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return l.Log.Append(ctx, s, rec)
}

func (l *slowLog) counts() (appends, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.entries
}

// readModel adapts a journal.Domain to engine.ReadModel, as package app does.
type readModel struct{ domain *journal.Domain }

// Apply implements engine.ReadModel.
func (m readModel) Apply(offset platform.Offset, at time.Time, entries []journal.Entry) {
	m.domain.Apply(offset, at, entries)
}

// Ownership implements engine.ReadModel.
func (m readModel) Ownership(id domain.ShardID) membership.Ownership {
	s := m.domain.Shard(id)
	return membership.Ownership{Shard: id, Owner: s.Owner, Epoch: s.Epoch, Released: s.Released}
}

// Journal implements engine.ReadModel.
func (m readModel) Journal(id domain.ShardID) engine.Journal { return m.domain.Shard(id).Clone() }

// newEngine returns a started engine that owns no shard.
func newEngine(l platform.Log) (*engine.Engine, error) {
	r, err := ring.New([]domain.FailureDomain{"d01"}, 2)
	if err != nil {
		return nil, err
	}
	e := engine.New(engine.Config{
		Node: "d01-n1", Domain: "d01", Ring: r, Log: l,
		NewReadModel: func() engine.ReadModel { return readModel{journal.NewDomain()} },
		Logger:       log.New(io.Discard), Start: time.Now(),
	})
	e.Start()
	return e, nil
}

// mismatchedEpoch is an epoch that is never in force. A claim that names it as
// the previous epoch has no effect.
const mismatchedEpoch = 1 << 40

// commitResult is the result of one run of the group commit. Latencies are in
// milliseconds.
type commitResult struct{ appends, entriesPerAppend, p50, p99, failed float64 }

// measureCommit commits entries that arrive at random times at a mean rate of
// size per second. The entries are claims that name mismatchedEpoch. They have
// no effect and are about as large as an intent.
func measureCommit(size float64, o Options) (commitResult, error) {
	l := &slowLog{Log: logservice.New(logservice.Options{})}
	e, err := newEngine(l)
	if err != nil {
		return commitResult{}, err
	}
	var mu sync.Mutex
	failed := 0
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	ctx, cancel := context.WithTimeout(context.Background(), o.window())
	defer cancel()
	commit := func() {
		start, done := time.Now(), make(chan *domain.Error, 1)
		e.Claim(domain.ShardID{Domain: "d01"}, mismatchedEpoch, func(err *domain.Error) { done <- err })
		err := <-done
		mu.Lock()
		defer mu.Unlock()
		_ = latency.RecordValue(time.Since(start).Microseconds())
		if err != nil {
			failed++
		}
	}
	runPoissonArrivals(ctx, size, commit)
	appends, entries := l.counts()
	e.Stop(context.Background())
	result := commitResult{
		appends: float64(appends) / o.window().Seconds(),
		p50:     float64(latency.ValueAtQuantile(50)) / 1000,
		p99:     float64(latency.ValueAtQuantile(99)) / 1000,
		failed:  float64(failed),
	}
	if appends > 0 {
		result.entriesPerAppend = float64(entries) / float64(appends)
	}
	return result, nil
}

// serveLog serves a log over counted connections until the returned function is
// called.
func serveLog(c *byteCounter, l *logservice.Log) (base string, stop func(), err error) {
	ln, err := c.listen()
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = logservice.Serve(ctx, ln, l) })
	return "http://" + ln.Addr().String(), func() { cancel(); serving.Wait() }, nil
}

// intentWriters is the number of nodes that append to the stream while
// measureStreamReader reads it.
const intentWriters = 2

// writerInterval is the minimum time between two appends of a node; see
// appendInterval of node/engine.
const writerInterval = 20 * time.Millisecond

// measureStreamReader measures an engine that reads the stream of a failure
// domain over HTTP, while two owners append the intents of starts that arrive
// at a mean rate of size per second.
func measureStreamReader(size float64, o Options) (resourceUse, error) {
	var c byteCounter
	l := logservice.New(logservice.Options{})
	base, stop, err := serveLog(&c, l)
	if err != nil {
		return resourceUse{}, err
	}
	defer stop()
	client := logclient.New(base)
	defer client.Close()
	e, err := newEngine(client)
	if err != nil {
		return resourceUse{}, err
	}
	defer e.Stop(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	var writers sync.WaitGroup
	defer writers.Wait()
	defer cancel()
	for i := range intentWriters {
		w := &intentWriter{log: l, shard: i}
		writers.Go(func() { runPoissonArrivals(ctx, size/intentWriters, w.add) })
		writers.Go(func() { w.flush(ctx) })
	}
	return c.measureUse(o), nil
}

// intentWriter appends intents in groups, as the committer of node/engine does.
type intentWriter struct {
	log     platform.Log
	shard   int
	mu      sync.Mutex
	pending []journal.Entry
	seq     uint64
}

func (w *intentWriter) add() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	w.pending = append(w.pending, sampleIntent(w.shard, w.seq))
}

// sampleIntent returns an intent: the entry that an owner logs before it starts
// a request that must not run twice.
func sampleIntent(index int, seq uint64) journal.Entry {
	s := domain.ShardID{Domain: "d01", Index: index}
	id := domain.RequestID{Shard: s, Epoch: 1 << 24, Seq: 1<<32 + seq}
	return journal.Entry{Shard: s, Epoch: 1 << 24, Intent: &journal.Intent{ID: id, BodyHash: 1<<63 + seq}}
}

func (w *intentWriter) flush(ctx context.Context) {
	for sleepContext(ctx, writerInterval) {
		w.mu.Lock()
		entries := w.pending
		w.pending = nil
		w.mu.Unlock()
		if len(entries) == 0 {
			continue
		}
		rec, err := journal.Encode(uuid.NewString(), entries)
		if err != nil {
			panic(fmt.Sprintf("encode intents: %v", err))
		}
		_, _ = w.log.Append(ctx, journal.StreamOf("d01"), rec)
	}
}

// measureJournal returns a function that measures the heap of a journal.Domain
// after it has applied size entries, decoded from records of 100 entries.
func measureJournal(entry func(seq uint64) journal.Entry) func(float64, Options) (float64, error) {
	return func(size float64, _ Options) (float64, error) {
		var err error
		bytes := heapGrowth(func() any {
			d := journal.NewDomain()
			err = applyEntries(d, int(size), entry)
			return d
		})
		return bytes, err
	}
}

func applyEntries(d *journal.Domain, n int, entry func(seq uint64) journal.Entry) error {
	const group = 100
	// The offset of the claim is the epoch of all entries.
	s := domain.ShardID{Domain: "d01"}
	at := time.Unix(0, 0)
	d.Apply(1<<24, at, []journal.Entry{{Shard: s, Claim: &journal.Claim{Shard: s, Node: "d01-n1"}}})
	for done := 0; done < n; done += group {
		var entries []journal.Entry
		for i := done; i < min(n, done+group); i++ {
			entries = append(entries, entry(uint64(i)))
		}
		rec, err := journal.Encode(uuid.NewString(), entries)
		if err != nil {
			return err
		}
		rec.Offset, rec.AppendedAt = platform.Offset(1<<24+1+done), at
		if err := d.ApplyRecord(rec); err != nil {
			return err
		}
	}
	return nil
}

func sampleJob(seq uint64) journal.Entry {
	e := sampleIntent(0, seq)
	return journal.Entry{Shard: e.Shard, Epoch: e.Epoch, Job: &journal.Job{Task: sampleTask(e.Intent.ID, domain.KindBatch)}}
}

func sampleFinished(seq uint64) journal.Entry {
	e := sampleIntent(0, seq)
	o := domain.Outcome{ID: e.Intent.ID, State: domain.OutcomeSucceeded, Answer: make([]byte, payloadBytes), Worker: "d01-w00001", Attempt: 1}
	return journal.Entry{Shard: e.Shard, Epoch: e.Epoch, Finished: &journal.Finished{Outcome: o}}
}

// perDomain returns an At function for a system-wide total that is divided evenly
// among the failure domains.
func perDomain(total float64) func(Topology) float64 {
	return func(Topology) float64 { return total / TwoYearTarget.Domains }
}

func logQuantities() []Quantity {
	return slices.Concat(commitQuantities(), streamQuantities(), journalQuantities())
}

func commitQuantities() []Quantity {
	commits := newSharedRuns(measureCommit)
	quantity := func(name, unit string, pick func(commitResult) float64) Quantity {
		return Quantity{
			Name: "commit/" + name, Role: "node that owns shards", Mechanism: "node/engine committer, 2 ms an append", Size: "entries/s",
			Unit: unit, Resource: Other, Sizes: []float64{2, 5, 20, 40, 100, 1600, 5000}, QuickSizes: []float64{20, 40, 100},
			Measure: commits.quantity(pick), Interpolate: true,
			At: func(t Topology) float64 { return t.busiestNodeShare(TwoYearTarget.StartsPerSecond) },
		}
	}
	system := quantity("system-appends", "appends/s", func(r commitResult) float64 { return r.appends })
	system.Multiplier = func(t Topology) float64 { return t.Shards() / t.MaxOwnedShards() }
	return []Quantity{
		system,
		quantity("entries-per-append", "entries", func(r commitResult) float64 { return r.entriesPerAppend }),
		quantity("latency-p50", "ms", func(r commitResult) float64 { return r.p50 }),
		quantity("latency-p99", "ms", func(r commitResult) float64 { return r.p99 }),
		quantity("failed", "entries", func(r commitResult) float64 { return r.failed }),
	}
}

func streamQuantities() []Quantity {
	reads := newSharedRuns(measureStreamReader)
	quantity := Quantity{
		Role: "every node", Mechanism: "node/engine follower over node/logclient", Size: "starts/s in the domain",
		Sizes: []float64{20, 80, 320}, QuickSizes: []float64{10, 20, 40}, At: perDomain(TwoYearTarget.StartsPerSecond),
	}
	bytes, cpu := quantity, quantity
	bytes.Name, bytes.Unit, bytes.Resource, bytes.Measure = "stream/bytes", "B/s", Network, reads.quantity(bytesOf)
	cpu.Name, cpu.Unit, cpu.Resource, cpu.Measure = "stream/cpu", "us/s, both ends", CPU, reads.quantity(cpuOf)
	return []Quantity{bytes, cpu}
}

func journalQuantities() []Quantity {
	quantity := func(name, size string, at func(Topology) float64, entry func(uint64) journal.Entry) Quantity {
		return Quantity{
			Name: "journal/" + name, Role: "every node", Mechanism: "core/journal Domain, all shards of the domain", Size: size, Unit: "B",
			Resource: Memory, Sizes: taskSizes, QuickSizes: quickSizes, SlopeOnly: true, Measure: measureJournal(entry), At: at,
		}
	}
	hour := journal.KeyRetention.Seconds()
	day := (24 * time.Hour).Seconds()
	intent := func(seq uint64) journal.Entry { return sampleIntent(0, seq) }
	return []Quantity{
		quantity("job-memory", "live jobs, payload of 1 KiB", perDomain(2*TwoYearTarget.RunningBatch), sampleJob),
		quantity("intent-memory", "intents of one hour at the peak", perDomain(TwoYearTarget.StartsPerSecond*hour), intent),
		quantity("ended-memory", "outcomes of one hour, answer of 1 KiB", perDomain(TwoYearTarget.JobsPerDay/day*hour), sampleFinished),
	}
}
