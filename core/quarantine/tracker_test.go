package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

type fixture struct {
	t   *Tracker
	seq uint64
}

func newFixture(n int) *fixture {
	f := &fixture{t: New()}
	for i := range n {
		f.t.AddWorker(workerID(i))
	}
	return f
}

func workerID(i int) domain.WorkerID { return domain.WorkerID(fmt.Sprint("w", i)) }

func (f *fixture) runTask(now time.Duration, w int, class domain.Class, failed bool) bool {
	f.seq++
	id := domain.RequestID{Epoch: 1, Seq: f.seq}
	f.t.RecordStart(workerID(w), id)
	changed, _ := f.t.RecordResult(now, Result{Worker: workerID(w), Task: id, Class: class, Failed: failed})
	return changed
}

// Guards against a faulty worker that is not quarantined, and against quarantining
// healthy workers for a class that fails on all workers or often on each of them.
func TestQuarantinesFaultyWorkerNotFailingClass(t *testing.T) {
	const workers = 10
	f := newFixture(workers)
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		for w := range workers {
			f.runTask(0, w, "good", w == 3)
			f.runTask(0, w, "hopeless", true)
			f.runTask(0, w, "flaky", w == 3 || random.Float64() < 0.3)
		}
	}
	for w := range workers {
		assert.Equal(t, f.t.IsQuarantined(workerID(w)), w == 3, "worker %d", w)
	}
}

// Guards against concurrent probes of a worker, probes without back-off, and a
// quarantine that never ends.
func TestProbesOneTaskAtATime(t *testing.T) {
	f := newFixture(4)
	for w := 1; w < 4; w++ {
		f.runTask(0, w, "c", false)
	}
	for !f.t.IsQuarantined(workerID(0)) {
		f.runTask(0, 0, "c", true)
	}
	assert.Equal(t, len(f.t.WorkersDueForProbe(firstBackoff-1, 9)), 0)
	assert.Equal(t, len(f.t.WorkersDueForProbe(firstBackoff, 9)), 1)
	probe := domain.RequestID{Epoch: 9, Seq: 1}
	f.t.RecordStart(workerID(0), probe)
	assert.Equal(t, len(f.t.WorkersDueForProbe(firstBackoff, 9)), 0)
	f.t.RecordResult(firstBackoff, Result{Worker: workerID(0), Task: probe, Class: "c", Failed: true})
	assert.Equal(t, len(f.t.WorkersDueForProbe(3*firstBackoff-1, 9)), 0)
	assert.Equal(t, len(f.t.WorkersDueForProbe(3*firstBackoff, 9)), 1)
	assert.Assert(t, !f.runTask(3*firstBackoff, 0, "c", false))
	assert.Assert(t, f.runTask(3*firstBackoff, 0, "c", false))
	assert.Assert(t, !f.t.IsQuarantined(workerID(0)))
}

// Guards against a quarantine of most of the workers, which would stop the
// service because of a fault outside the workers.
func TestQuarantinesAtMostHalfTheWorkers(t *testing.T) {
	f := newFixture(10)
	for w := range 4 {
		f.runTask(0, w, "c", false)
	}
	for range 100 {
		for w := 4; w < 10; w++ {
			f.runTask(0, w, "c", true)
		}
	}
	assert.Assert(t, len(f.t.quarantined) <= 5)
}

// Guards against repeated probes without delay when a probe fails whose class no
// other worker has run, so that the failure does not show a faulty worker.
func TestInconclusiveProbeIsDelayed(t *testing.T) {
	f := newFixture(4)
	for w := 1; w < 4; w++ {
		f.runTask(0, w, "c", false)
	}
	for !f.t.IsQuarantined(workerID(0)) {
		f.runTask(0, 0, "c", true)
	}
	f.runTask(firstBackoff, 0, "new", true)
	assert.Equal(t, len(f.t.WorkersDueForProbe(2*firstBackoff-1, 9)), 0)
	assert.Equal(t, len(f.t.WorkersDueForProbe(2*firstBackoff, 9)), 1)
}
