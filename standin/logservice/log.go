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
	// DefaultRetention is the retention if Options.Retention is not positive.
	DefaultRetention = 24 * time.Hour
	// MaxReadRecords is the maximum number of records that one read returns, even
	// if the limit of the read is larger or absent.
	MaxReadRecords = 1000
	// maxAppendWait is the maximum time that an append waits because of the append
	// rate. An append that would wait longer is refused without effect.
	maxAppendWait = time.Second
)

// Options configure a Log. The zero value is usable.
type Options struct {
	// Clock is the clock of the log; nil means the real clock.
	Clock clockwork.Clock
	// Retention is how long records are kept; zero means DefaultRetention.
	Retention time.Duration
	// AppendsPerSecond limits the append rate of all streams together; zero means
	// no limit.
	AppendsPerSecond float64
	// Seed seeds the random choice of the answers that are lost.
	Seed uint64
}

// Log implements platform.Log in memory. Create it with New.
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
	// next is the offset of the next record.
	next platform.Offset
	// appended is closed and replaced when a record is appended.
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
		return 0, fault.UnavailableError("the answer to the append was lost")
	}
	return offset, nil
}

// awaitGate waits for the delay that is set and applies the outage mode.
func (l *Log) awaitGate(ctx context.Context) error {
	if err := l.gate.Enter(ctx); err != nil {
		return err
	}
	if err := l.gate.WaitDelay(ctx); err != nil {
		return err
	}
	// An outage that started during the delay also applies.
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

// awaitAppendRate waits until the append rate allows the next append.
func (l *Log) awaitAppendRate(ctx context.Context) error {
	wait, ok := l.reserveAppend(l.clock.Now())
	if !ok {
		return fault.UnavailableError("the append rate is over the limit; nothing was appended")
	}
	return fault.Sleep(ctx, l.clock, wait)
}

// reserveAppend reserves the time of the next append and returns how long to wait for
// it. ok is false if the wait would be longer than maxAppendWait; then nothing is
// reserved.
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

// losesAnswer decides whether the answer to the current append is lost.
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

// dropExpiredRecords drops the records of s that are older than the retention.
func (l *Log) dropExpiredRecords(s *stream) {
	oldest := l.clock.Now().Add(-l.retention)
	expired := 0
	for expired < len(s.records) && s.records[expired].AppendedAt.Before(oldest) {
		expired++
	}
	if expired > 0 {
		s.records = append([]platform.Record(nil), s.records[expired:]...)
	}
}

// Read implements platform.Log. If from is below the offset of the first retained
// record, it reads from that record; the reader recognizes the gap by ReadReply.First.
func (l *Log) Read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.ReadReply, error) {
	if err := l.awaitGate(ctx); err != nil {
		return platform.ReadReply{}, err
	}
	timer := l.clock.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		_, _, faulted := l.gate.State()
		reply, appended := l.read(name, from, limit)
		if len(reply.Records) > 0 || wait <= 0 {
			return reply, nil
		}
		select {
		case <-appended:
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
