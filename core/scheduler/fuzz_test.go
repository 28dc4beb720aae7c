package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/ledger"
)

// Guards against a lease bounds record that ends the process of each new owner, or that
// makes it wait longer than for the longest lease.
func FuzzLeaseBoundsRecord(f *testing.F) {
	h := &harness{}
	s := New(testSettings, 5, h.now, h.now)
	record, _, err := s.encodeLeaseBounds(0)
	assert.NilError(f, err)
	f.Add(record)
	record, _, err = unresponsiveFleet(4000).encodeLeaseBounds(time.Minute)
	assert.NilError(f, err)
	f.Add(record)
	f.Add([]byte{0x82, 0x05, 0x81, 0x83, 0x61, 'w', 0x61, 'a', 0x1b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, record []byte) {
		next := New(testSettings, 6, 0, 0)
		// An error means that the longest lease is assumed.
		_ = next.Restore(ledger.New(), PreviousOwner{LeaseBounds: record}, 0, 0)
		for _, w := range next.Fleet().All() {
			longest := testSettings.MaxOffline + next.maxLeaseDuration()
			assert.Assert(t, w.Lease.Remaining(0) <= longest, "%v", w.Lease.Remaining(0))
		}
	})
}
