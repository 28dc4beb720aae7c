package shard

import (
	"fmt"
	"testing"

	"github.com/basilferry/basilferry/core/domain"
)

// Guards I4, and I2, I3, I6 and I7 while tasks move between failure domains:
// domains are taken out and brought back at random, together with all other
// faults, and offers between the shards are lost.
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

// newPairHistory has two failure domains whose isolated owners start nothing,
// as in the preset maintenance.
func newPairHistory(seed uint64) *history {
	clock := newSimClock(seed)
	a := newSimDomain(clock, "larissa", disableNone)
	b := newSimDomain(clock, "volos", disableNone)
	a.other, b.other = b, a
	a.config.Preset.IsolatedStarts = domain.IsolatedNone
	b.config = a.config
	return startHistory(a, b)
}
