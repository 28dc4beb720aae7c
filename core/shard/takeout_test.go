package shard

import (
	"fmt"
	"testing"

	"github.com/basilferry/basilferry/core/domain"
)

// Guards against starts in a failure domain that is taken out (invariant I4), and
// against violations of the other invariants while tasks move between failure
// domains. Domains are taken out and brought back at random, together with all
// other faults, and calls between the shards are lost.
func TestInvariantsHoldUnderTakeOuts(t *testing.T) {
	for seed := uint64(1); seed <= *faultSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			h := newPairHistory(seed)
			h.run(60)
			h.clearFaults()
			for _, problem := range h.violations() {
				t.Error(problem)
			}
			if t.Failed() {
				t.Log(h.traces())
			}
		})
	}
}

// newPairHistory returns a history of two failure domains whose isolated owners
// start nothing, as with the preset maintenance.
func newPairHistory(seed uint64) *history {
	clock := newSimClock(seed)
	a := newSimDomain(clock, "larissa", disableNone)
	b := newSimDomain(clock, "volos", disableNone)
	a.other, b.other = b, a
	a.config.Preset.IsolatedStarts = domain.IsolatedNone
	b.config = a.config
	return startHistory(a, b)
}
