// Package decisionlog writes the structured log of a process as JSON lines. Lines
// pass through a bounded queue, so that logging never blocks a decision.
package decisionlog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait for the writer. One
	// scheduling round logs up to a few hundred lines.
	maxQueuedLines = 4096
	// flushBytes is the number of queued bytes from which each new line wakes the
	// writer. The first queued line always does.
	flushBytes = 32 << 10
	// flushInterval is how long the writer waits after it was woken, so that one system
	// call writes several lines.
	flushInterval = 100 * time.Millisecond
)

// Sink is the bounded queue between the logger and its output. It drops and counts
// lines while the queue is full.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	lines   int
	dropped atomic.Int64
	// reportedDropped is the number of dropped lines that the log has reported. Only
	// Run uses it.
	reportedDropped int64
	wake            chan struct{}
	done            chan struct{}
}

// NewSink returns a sink that writes to out. Run must be called to start it.
func NewSink(out io.Writer) *Sink {
	return &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Write queues one line. It never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lines >= maxQueuedLines {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.lines++
	if s.lines == 1 || len(s.pending) >= flushBytes {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the process started.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes queued lines until ctx ends, and then those that remain.
func (s *Sink) Run(ctx context.Context) {
	defer close(s.done)
	var buffer []byte
	for {
		select {
		case <-ctx.Done():
			s.flush(buffer)
			return
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
		case <-time.After(flushInterval):
		}
		buffer = s.flush(buffer)
	}
}

// Wait blocks until Run has returned.
func (s *Sink) Wait() { <-s.done }

func (s *Sink) flush(buffer []byte) []byte {
	s.mu.Lock()
	lines := s.pending
	s.pending, s.lines = buffer[:0], 0
	s.mu.Unlock()
	if dropped := s.dropped.Load(); dropped > s.reportedDropped {
		lines = fmt.Appendf(lines, `{"time":%q,"level":"WARN","msg":"log lines dropped","count":%d,"since_start":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), dropped-s.reportedDropped, dropped)
		s.reportedDropped = dropped
	}
	if len(lines) > 0 {
		// An error of the log output cannot be reported anywhere.
		_, _ = s.out.Write(lines)
	}
	return lines
}

// New returns a logger that writes JSON lines with the node's name.
func New(sink *Sink, level slog.Level, node string) *slog.Logger {
	handler := slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With(slog.String("node", node))
}

// Component returns a logger for one part of the process.
func Component(l *slog.Logger, name string) *slog.Logger { return l.With(slog.String("part", name)) }
