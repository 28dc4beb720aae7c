package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/backlog"
	"github.com/basilferry/basilferry/core/dispatch"
)

// Guards against a record at each renewal, against a backlog that the nodes forget although it
// lasts, and against an owner without work that writes for ever.
func TestBacklogIsStoredWhenItChangesOrGrowsOld(t *testing.T) {
	summary := func(work float64) *backlog.Summary {
		pool := backlog.Pool{ID: dispatch.Pool{Service: "desk"}, Rate: 10, Work: backlog.Histogram{{Work: work, OnTime: work}}}
		return &backlog.Summary{Pools: []backlog.Pool{pool}}
	}
	var b backlogRecord
	for i, c := range []struct {
		summary *backlog.Summary
		due     bool
	}{
		{&backlog.Summary{}, false}, // A new owner without work.
		{summary(50), true},
		{summary(51), false},
		{summary(51), true}, // The last one is a second old.
		{summary(80), true},
		{&backlog.Summary{}, true},
		{&backlog.Summary{}, false},
		{&backlog.Summary{}, false},
		{&backlog.Summary{}, false},
		{summary(1), true},
	} {
		now := time.Duration(i) * 500 * time.Millisecond
		due := b.isDue(c.summary, now)
		assert.Equal(t, due, c.due, "%d", i)
		if due {
			b.stored, b.storedAt = c.summary, now
		}
	}
}
