package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
)

// Guards against combinations of log faults and claims after which an entry that
// was reported as appended has no effect, an append is reported never or twice, the
// shard has no scheduler or two, or the log still counts as down.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			t.Logf("seed %d", seed)
			f := &faultTest{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), l: newMemLog(), answers: map[uint64][]bool{}}
			for i := range 3 {
				f.fixtures = append(f.fixtures, newFixture(t, f.l, domain.NodeID(fmt.Sprintf("n%d", i))))
			}
			for range 60 {
				f.doRandomAction()
				time.Sleep(time.Duration(f.rnd.IntN(150)) * time.Millisecond)
			}
			f.endFaults()
			for _, fx := range f.fixtures {
				fx.close(t)
			}
			f.checkAnswers()
		})
	}
}

type faultTest struct {
	t            *testing.T
	rnd          *rand.Rand
	l            *memLog
	fixtures     []*fixture
	sent         uint64
	owners       int
	nodesWithLog int

	mu sync.Mutex
	// answers holds the reported results by entry: true if the entry was reported
	// as appended to a runner that still owned the shard.
	answers map[uint64][]bool
}

func (f *faultTest) doRandomAction() {
	milliseconds := func(n int) time.Duration { return time.Duration(f.rnd.IntN(n)) * time.Millisecond }
	switch f.rnd.IntN(10) {
	case 0:
		f.l.set(func(l *memLog) { l.loseReplies = f.rnd.IntN(3) })
	case 1:
		f.l.set(func(l *memLog) { l.hang = f.rnd.IntN(2) })
	case 2:
		f.l.set(func(l *memLog) { l.down = f.rnd.IntN(3) == 0 })
	case 3:
		f.l.set(func(l *memLog) { l.latency, l.readLatency = milliseconds(200), milliseconds(100) })
	case 4:
		fx := f.fixtures[f.rnd.IntN(len(f.fixtures))]
		fx.Claim(testShard, fx.follower.owners()[0].Epoch, func(*domain.Error) {})
	default:
		for _, fx := range f.fixtures {
			for _, r := range fx.sortedRunners() {
				f.append(fx, r)
			}
		}
	}
}

func (f *faultTest) append(fx *fixture, r *runner) {
	f.sent++
	n := f.sent
	e := journal.Entry{Shard: testShard, Epoch: r.epoch, Job: &journal.Job{Task: urgent(n).Task}}
	fx.committer.add([]journal.Entry{e}, nil, func(err *domain.Error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.answers[n] = append(f.answers[n], err == nil && !r.fenced.Load())
	})
}

// endFaults ends all faults, waits, and records how many nodes own the shard and how
// many find the log up.
func (f *faultTest) endFaults() {
	f.l.set(func(l *memLog) { l.down, l.hang, l.loseReplies, l.latency, l.readLatency = false, 0, 0, 0, 0 })
	time.Sleep(4 * time.Second)
	for _, fx := range f.fixtures {
		f.owners += len(fx.Owned())
		if fx.logState().Up {
			f.nodesWithLog++
		}
	}
}

// checkAnswers compares the reported results with the stream, in which snapshots may
// repeat entries after firstSnapshotDelay.
func (f *faultTest) checkAnswers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	model, window, copies := newFakeReadModel().(*fakeReadModel), newDedupWindow(dedupSpan), map[uint64]int{}
	for _, rec := range f.l.records {
		entries, err := journal.Decode(rec)
		assert.NilError(f.t, err)
		if window.addIfNew(rec.ID, rec.Offset) {
			model.Apply(rec.Offset, time.Time{}, entries)
		}
	}
	for _, e := range model.live[testShard] {
		copies[e.Job.Task.ID.Seq]++
	}
	assert.Equal(f.t, uint64(len(f.answers)), f.sent)
	for n, answers := range f.answers {
		assert.Equal(f.t, len(answers), 1, "entry %d", n)
		assert.Assert(f.t, !answers[0] || copies[n] > 0, "entry %d was reported as appended but is not in the stream", n)
	}
	claimed := model.owners[testShard].Epoch != 0
	assert.Assert(f.t, f.owners == 1 || !claimed, "%d owners", f.owners)
	assert.Equal(f.t, f.nodesWithLog, len(f.fixtures))
}
