package logservice

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/standin/internal/fault"
	"github.com/jonboulle/clockwork"
)

const (
	// DefaultRetention applies when Options.Retention is zero.
	DefaultRetention = 24 * time.Hour
	// MaxReadRecords bounds one read; a larger or absent limit is lowered to it.
	MaxReadRecords = 1000
	// maxAppendWait is the longest wait for the append rate; above it an
	// append is refused without effect.
	maxAppendWait = time.Second
)

// Options configure a Log. The zero value is usable.
type Options struct {
	// Clock is the log's clock; nil is the real one.
	Clock clockwork.Clock
	// Retention is how long records are kept.
	Retention time.Duration
	// AppendsPerSecond limits the append rate of all streams; zero for none.
	AppendsPerSecond float64
	// Seed seeds the choice of the answers that are lost.
	Seed uint64
}

// Log implements platform.Log in memory. Use New.
type Log struct {
	clock clockwork.Clock
	gate  *fault.Gate

	mu               sync.Mutex
	streams          map[platform.Stream]*stream
	retention        time.Duration
	appendsPerSecond float64
	nextAppend       time.Time
	rng              *rand.Rand
	answersToLose    int
	lostAnswerShare  float64
}

type stream struct {
	records []platform.Record
	next    platform.Offset
	// appended is closed when a record is appended.
	appended chan struct{}
}

var _ platform.Log = (*Log)(nil)

// New returns an empty log.
func New(o Options) *Log {
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	clock := fault.ClockOrReal(o.Clock)
	return &Log{
		clock:            clock,
		gate:             fault.NewGate(clock),
		streams:          map[platform.Stream]*stream{},
		retention:        o.Retention,
		appendsPerSecond: o.AppendsPerSecond,
		rng:              rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name platform.Stream, rec platform.Record) (platform.Offset, error) {
	if err := l.awaitGate(ctx); err != nil {
		return 0, err
	}
	if err := checkAppend(name, rec); err != nil {
		return 0, err
	}
	if err := l.awaitAppendRate(ctx); err != nil {
		return 0, err
	}
	offset, lost := l.append(name, rec)
	if lost {
		return 0, fault.Unavailable("the answer to the append was lost")
	}
	return offset, nil
}

func (l *Log) awaitGate(ctx context.Context) error {
	if err := l.gate.Enter(ctx); err != nil {
		return err
	}
	if err := l.gate.WaitDelay(ctx); err != nil {
		return err
	}
	// An outage that began during the delay applies as well.
	return l.gate.Enter(ctx)
}

func checkAppend(name platform.Stream, rec platform.Record) error {
	if name != "" && rec.ID != "" {
		return nil
	}
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: "the append has no stream name or no record id",
		Remedy:  "set both; the id lets readers drop a repeated append",
	}
}

// awaitAppendRate waits for the next slot that the append rate allows.
func (l *Log) awaitAppendRate(ctx context.Context) error {
	wait, ok := l.reserveAppend(l.clock.Now())
	if !ok {
		return fault.Unavailable("the append rate is over the limit; nothing was appended")
	}
	return fault.Sleep(ctx, l.clock, wait)
}

func (l *Log) reserveAppend(now time.Time) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.appendsPerSecond <= 0 {
		return 0, true
	}
	if l.nextAppend.Before(now) {
		l.nextAppend = now
	}
	wait = l.nextAppend.Sub(now)
	if wait > maxAppendWait {
		return 0, false
	}
	l.nextAppend = l.nextAppend.Add(time.Duration(float64(time.Second) / l.appendsPerSecond))
	return wait, true
}

func (l *Log) append(name platform.Stream, rec platform.Record) (offset platform.Offset, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	rec.Offset = s.next
	rec.AppendedAt = l.clock.Now()
	rec.Data = append([]byte(nil), rec.Data...)
	s.records = append(s.records, rec)
	s.next++
	close(s.appended)
	s.appended = make(chan struct{})
	l.dropExpiredRecords(s)
	return rec.Offset, l.losesAnswer()
}

func (l *Log) losesAnswer() bool {
	if l.answersToLose > 0 {
		l.answersToLose--
		return true
	}
	return l.lostAnswerShare > 0 && l.rng.Float64() < l.lostAnswerShare
}

func (l *Log) stream(name platform.Stream) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{next: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// dropExpiredRecords drops the records that are older than the retention.
func (l *Log) dropExpiredRecords(s *stream) {
	limit := l.clock.Now().Add(-l.retention)
	n := 0
	for n < len(s.records) && s.records[n].AppendedAt.Before(limit) {
		n++
	}
	if n > 0 {
		s.records = append([]platform.Record(nil), s.records[n:]...)
	}
}

// Read implements platform.Log. A from below the first offset that is kept
// reads from the first; the reader sees the gap in ReadReply.First.
func (l *Log) Read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.ReadReply, error) {
	if err := l.awaitGate(ctx); err != nil {
		return platform.ReadReply{}, err
	}
	timer := l.clock.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		_, _, faulted := l.gate.State()
		reply, grew := l.read(name, from, limit)
		if len(reply.Records) > 0 || wait <= 0 {
			return reply, nil
		}
		select {
		case <-grew:
		case <-faulted:
		case <-timer.Chan():
			return reply, nil
		case <-ctx.Done():
			return platform.ReadReply{}, fault.ContextError(ctx)
		}
		if err := l.gate.Enter(ctx); err != nil {
			return platform.ReadReply{}, err
		}
	}
}

func (l *Log) read(name platform.Stream, from platform.Offset, limit int) (platform.ReadReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.dropExpiredRecords(s)
	if limit <= 0 || limit > MaxReadRecords {
		limit = MaxReadRecords
	}
	first := s.next - platform.Offset(len(s.records))
	reply := platform.ReadReply{First: first, Next: s.next, Retention: l.retention}
	from = max(from, first)
	if from < s.next {
		start := int(from - first)
		end := min(start+limit, len(s.records))
		reply.Records = append(reply.Records, s.records[start:end]...)
	}
	return reply, s.appended
}
