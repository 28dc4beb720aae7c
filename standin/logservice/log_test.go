package logservice

import (
	"context"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// Guards against an append rate above the limit, and against an unbounded queue of
// appends.
func TestAppendRateIsLimited(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := New(Options{Clock: clock, AppendsPerSecond: 1})
	ctx := context.Background()
	appended := make(chan error, 2)
	appendRecord := func() {
		_, err := log.Append(ctx, "s", platform.Record{ID: "a"})
		appended <- err
	}
	appendRecord()
	assert.NilError(t, <-appended)
	go appendRecord()
	assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	_, err := log.Append(ctx, "s", platform.Record{ID: "b"})
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
	clock.Advance(time.Second)
	assert.NilError(t, <-appended)
	reply, err := log.Read(ctx, "s", 1, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Records), 2)
}

// Guards against two logs with the same seed that lose the answers of different
// appends, and against a lost answer whose append has no effect.
func TestLostAnswersAreRepeatable(t *testing.T) {
	const appends, seed = 100, 42
	t.Logf("seed %d", seed)
	var lost [2][]bool
	for i := range lost {
		log := New(Options{Seed: seed})
		log.LoseAnswerShare(0.3)
		for range appends {
			_, err := log.Append(context.Background(), "s", platform.Record{ID: "a"})
			lost[i] = append(lost[i], err != nil)
		}
		reply, err := log.Read(context.Background(), "s", 1, 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(reply.Records), appends)
	}
	assert.DeepEqual(t, lost[0], lost[1])
}
