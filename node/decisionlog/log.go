// Package decisionlog writes the structured log of a process: JSON lines on
// standard output, through a bounded queue that never blocks a decision.
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
	// maxQueuedLines bounds the lines that wait for the writer. The heaviest burst
	// of a day is a few hundred lines in one planning round.
	maxQueuedLines = 4096
	// flushBytes is how much is written with one call.
	flushBytes = 32 << 10
	// flushInterval bounds how late a line is written; it groups the system calls.
	flushInterval = 100 * time.Millisecond
)

// Sink is the bounded queue behind the log. Lines over the bound are dropped
// and counted.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	lines   int
	dropped atomic.Int64
	// reportedDropped is how many dropped lines the log has told of. Only Run uses it.
	reportedDropped int64
	wake            chan struct{}
	done            chan struct{}
}

// NewSink returns a sink that writes to out; Run starts it.
func NewSink(out io.Writer) *Sink {
	return &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Write takes one line. It never blocks on the output.
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

// Dropped returns how many lines were dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes lines until ctx ends, and then the rest.
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

// Wait blocks until Run has written the rest.
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
		// There is nowhere to report that the output is gone.
		_, _ = s.out.Write(lines)
	}
	return lines
}

// New returns a logger of JSON lines. Each line carries the node's name.
func New(sink *Sink, level slog.Level, node string) *slog.Logger {
	handler := slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With(slog.String("node", node))
}

// Component returns the logger of one part of the process.
func Component(l *slog.Logger, name string) *slog.Logger { return l.With(slog.String("part", name)) }
