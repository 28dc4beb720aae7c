package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/fleet"
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
