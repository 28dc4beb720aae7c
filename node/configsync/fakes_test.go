package configsync

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/peer"
)

const retention = time.Hour

// memLog is an in-memory log service that holds the config stream.
type memLog struct {
	mu      sync.Mutex
	records []platform.Record
	down    bool
	// appendsDown makes only appends fail.
	appendsDown bool
	// dropReplies is how many appends store the record and then return an error.
	dropReplies int
	// readLatency is the delay before a read returns records.
	readLatency time.Duration
	// changed is closed at the next change.
	changed chan struct{}
}

func newMemLog() *memLog { return &memLog{changed: make(chan struct{})} }

func (l *memLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *memLog) Append(_ context.Context, _ platform.Stream, rec platform.Record) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.appendsDown {
		return 0, errors.New("log is down")
	}
	rec.Offset = platform.Offset(len(l.records) + 1)
	rec.AppendedAt = time.Now()
	l.records = append(l.records, rec)
	l.notify()
	if l.dropReplies > 0 {
		l.dropReplies--
		return 0, errors.New("reply lost")
	}
	return rec.Offset, nil
}

func (l *memLog) Read(ctx context.Context, _ platform.Stream, from platform.Offset, limit int, poll time.Duration) (platform.ReadReply, error) {
	end := time.Now().Add(poll)
	for {
		l.mu.Lock()
		changed, delay := l.changed, l.readLatency
		next, down := platform.Offset(len(l.records)+1), l.down
		records := slices.Clone(l.records[min(from, next)-1:])
		l.mu.Unlock()
		if down || ctx.Err() != nil {
			return platform.ReadReply{}, errors.New("log is down")
		}
		if len(records) > 0 || !time.Now().Before(end) {
			if len(records) > 0 {
				wait(ctx, delay, nil)
			}
			records = records[:min(limit, len(records))]
			return platform.ReadReply{Records: records, First: 1, Next: next, Retention: retention}, nil
		}
		wait(ctx, time.Until(end), changed)
	}
}

func (l *memLog) set(change func(*memLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
	l.notify()
}

func (l *memLog) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// newState returns the production implementation of State.
func newState() State { return configlog.New(configlog.Initial()) }

// nodeGroup is a set of nodes that can fetch from each other.
type nodeGroup map[domain.NodeID]*Sync

// start adds a node whose peers are all nodes that are already in the group.
func (g nodeGroup) start(t *testing.T, l *memLog, id domain.NodeID, delay time.Duration) *Sync {
	t.Helper()
	var peers []domain.NodeID
	for n := range g {
		peers = append(peers, n)
	}
	s := New(Config{
		Node: id, Log: l, State: newState(), SnapshotDelay: delay, Logger: log.New(io.Discard),
		Encoder: Encoder{Change: configlog.EncodeChange, Snapshot: configlog.EncodeSnapshot},
		Peers:   func() []domain.NodeID { return peers },
		Fetch: func(_ context.Context, from domain.NodeID, after domain.Version) (peer.ConfigReply, error) {
			return g[from].Reply(peer.ConfigArgs{After: after}), nil
		},
	})
	s.Start(t.Context())
	g[id] = s
	return s
}

func (g nodeGroup) stop() {
	for _, s := range g {
		s.Stop()
	}
}

// ping passes a ping of each node to all others.
func (g nodeGroup) ping() {
	for id, s := range g {
		args := peer.PingArgs{From: id, ConfigVersion: s.Current().Version, ProvisionalTakeOuts: s.Provisional()}
		for other, o := range g {
			if other != id {
				o.ObservePing(args)
			}
		}
	}
}
