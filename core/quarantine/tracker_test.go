package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

type fleet struct {
	t   *Tracker
	seq uint64
}

func newFleet(n int) *fleet {
	f := &fleet{t: New()}
	for i := range n {
		f.t.Add(name(i))
	}
	return f
}

func name(i int) domain.WorkerID { return domain.WorkerID(fmt.Sprint("w", i)) }

func (f *fleet) run(now time.Duration, w int, class domain.Class, failed bool) bool {
	f.seq++
	id := domain.RequestID{Epoch: 1, Seq: f.seq}
	f.t.Started(name(w), id)
	changed, _ := f.t.Ended(now, Result{Worker: name(w), Task: id, Class: class, Failed: failed})
	return changed
}

// Guards against a worker that takes and fails ever more tasks, and against
// blame for a class that fails everywhere.
func TestFindsTheWorkerNotTheClass(t *testing.T) {
	const workers = 10
	f := newFleet(workers)
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		for w := range workers {
			f.run(0, w, "good", w == 3)
			f.run(0, w, "hopeless", true)
			f.run(0, w, "flaky", w == 3 || random.Float64() < 0.3)
		}
	}
	for w := range workers {
		assert.Equal(t, f.t.Isolated(name(w)), w == 3, "worker %d", w)
	}
}

// Guards against more than one probe at a time, probes without back-off, and a
// quarantine that never ends.
func TestProbes(t *testing.T) {
	f := newFleet(4)
	for w := 1; w < 4; w++ {
		f.run(0, w, "c", false)
	}
	for !f.t.Isolated(name(0)) {
		f.run(0, 0, "c", true)
	}
	assert.Equal(t, len(f.t.Due(firstBackoff-1, 9)), 0)
	assert.Equal(t, len(f.t.Due(firstBackoff, 9)), 1)
	probe := domain.RequestID{Epoch: 9, Seq: 1}
	f.t.Started(name(0), probe)
	assert.Equal(t, len(f.t.Due(firstBackoff, 9)), 0)
	f.t.Ended(firstBackoff, Result{Worker: name(0), Task: probe, Class: "c", Failed: true})
	assert.Equal(t, len(f.t.Due(3*firstBackoff-1, 9)), 0)
	assert.Equal(t, len(f.t.Due(3*firstBackoff, 9)), 1)
	assert.Assert(t, !f.run(3*firstBackoff, 0, "c", false))
	assert.Assert(t, f.run(3*firstBackoff, 0, "c", false))
	assert.Assert(t, !f.t.Isolated(name(0)))
}

// Guards against a quarantine of most of the fleet, which would stop the
// service for a fault that is not the workers' own.
func TestLeavesHalfTheFleet(t *testing.T) {
	f := newFleet(10)
	for w := range 4 {
		f.run(0, w, "c", false)
	}
	for range 100 {
		for w := 4; w < 10; w++ {
			f.run(0, w, "c", true)
		}
	}
	assert.Assert(t, len(f.t.isolated) <= 5)
}

// Guards against one probe after the other while the class of the probe has
// not ended anywhere else.
func TestInconclusiveProbeWaits(t *testing.T) {
	f := newFleet(4)
	for w := 1; w < 4; w++ {
		f.run(0, w, "c", false)
	}
	for !f.t.Isolated(name(0)) {
		f.run(0, 0, "c", true)
	}
	f.run(firstBackoff, 0, "new", true)
	assert.Equal(t, len(f.t.Due(2*firstBackoff-1, 9)), 0)
	assert.Equal(t, len(f.t.Due(2*firstBackoff, 9)), 1)
}
