// Package guard confines a panic to the request, record, command or round in which it
// occurs, so that one unexpected input does not end the process.
package guard

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync/atomic"

	"github.com/basilferry/basilferry/core/domain"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 2 << 10

// Guard reports panics. It is safe for concurrent use. A nil Guard reports nothing.
type Guard struct {
	logger *slog.Logger
	// count is called with 1 for each panic.
	count  func(int64)
	panics atomic.Int64
}

// New returns a guard that logs each panic and calls count with 1.
func New(logger *slog.Logger, count func(int64)) *Guard {
	return &Guard{logger: logger, count: count}
}

// Do calls f. If f panics, Do reports the panic and returns an *Error of kind
// KindInternal. The name and the attributes say in the log what was being done.
func (g *Guard) Do(name string, f func(), attrs ...any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = g.report(name, cause, attrs)
		}
	}()
	f()
	return nil
}

// Panics returns the number of panics since the start of the process.
func (g *Guard) Panics() int64 {
	if g == nil {
		return 0
	}
	return g.panics.Load()
}

func (g *Guard) report(name string, cause any, attrs []any) error {
	err := &domain.Error{
		Kind: domain.KindInternal, Message: fmt.Sprintf("%s: unexpected error: %v", name, cause),
		Remedy: "report this as a defect, with the stack in the log",
	}
	if g == nil {
		return err
	}
	g.panics.Add(1)
	g.count(1)
	stack := debug.Stack()
	g.logger.Error("unexpected error confined", append(attrs,
		"in", name, "err", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxStackBytes)]))...)
	return err
}
