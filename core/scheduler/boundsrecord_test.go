package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

// Guards against a takeover of a large fleet whose rounds spend their time on the bounds.
func BenchmarkLeaseBounds(b *testing.B) {
	for _, long := range []bool{false, true} {
		b.Run(fmt.Sprintf("15000 workers, long leases %v", long), func(b *testing.B) {
			s := New(longLimitSettings(), 5, time.Minute, time.Minute)
			for i := range 15000 {
				w := s.fleet.RegisterWorker(platform.RegistryEntry{ID: domain.WorkerID(fmt.Sprintf("i-%010d", i))})
				if long {
					w.Lease.ExtendLatestEnd(time.Minute+fleet.LongestLease(10*time.Second), fleet.LeaseOfAnyCommand)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				s.AreLeaseBoundsStored(time.Minute)
			}
		})
	}
}

// unresponsiveFleet returns a new owner that no worker has answered yet. Each has an attempt
// of the previous owner, and a lease of its own length.
func unresponsiveFleet(workers int) *Scheduler {
	rng := rand.New(rand.NewPCG(1, 0))
	s := New(testSettings, 5, time.Minute, time.Minute)
	for i := range workers {
		w := s.fleet.RegisterWorker(platform.RegistryEntry{
			ID:      domain.WorkerID(fmt.Sprintf("i-%08x", rng.Uint32())),
			Address: fmt.Sprintf("10.%d.%d.%d:8164", rng.IntN(20), rng.IntN(256), rng.IntN(256)),
		})
		w.Add(&fleet.Attempt{ID: job.TaskID{StepID: job.StepID{Job: testJobID}, Index: i}, Attempt: 1, Phase: fleet.AttemptInherited, Step: &job.Step{}})
		w.UnresponsiveSince = time.Minute
		w.Lease.SetLatestEnd(time.Minute+time.Duration(rng.Int64N(int64(testSettings.Lease))), fleet.LeaseOfPreviousOwner)
	}
	return s
}

// Guards against a new owner of a large fleet that starts nothing, because the store refuses
// the record of all workers that have not answered yet.
func TestLeaseBoundsOfALargeFleetFitIntoARecord(t *testing.T) {
	const workers, maxRecord = 15_000, 256 << 10
	s := unresponsiveFleet(workers)
	record, bounds, err := s.encodeLeaseBounds(time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, len(bounds.suspended), workers)
	assert.Assert(t, len(record) < maxRecord, "%d bytes", len(record))
	next := New(testSettings, 6, time.Minute, time.Minute)
	assert.NilError(t, next.Restore(ledger.New(), PreviousOwner{LeaseBounds: record, LeaseBoundsReadAt: time.Minute}, time.Minute, 0))
	for _, w := range s.fleet.All() {
		restored := next.fleet.Worker(w.ID)
		assert.Equal(t, restored.Address, w.Address)
		difference := restored.Lease.Remaining(time.Minute) - w.Lease.Remaining(time.Minute)
		assert.Assert(t, difference >= 0 && difference <= time.Millisecond, "%v", difference)
	}
}

// Guards against a takeover of a large fleet that spends its time on the first record.
func BenchmarkEncodeLeaseBounds(b *testing.B) {
	s := unresponsiveFleet(15_000)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := s.encodeLeaseBounds(time.Minute); err != nil {
			b.Fatal(err)
		}
	}
}
