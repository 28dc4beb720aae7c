package ring

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

func newRing(t *testing.T) *Ring {
	t.Helper()
	r, err := New([]domain.FailureDomain{"larissa", "volos", "lamia"}, 2)
	assert.NilError(t, err)
	return r
}

// Guards against a change of the hash. Two versions of the program that run
// concurrently would assign the same key to different shards.
func TestRequestIDForKeyIsStable(t *testing.T) {
	r := newRing(t)
	assert.Equal(t, r.RequestIDForKey("order-1").String(), "lamia-1-0-3baf4120aa43a0ad")
	assert.Equal(t, r.RequestIDForKey("order-2").String(), "lamia-1-0-8f8f6c2e829b9f6d")
	assert.Assert(t, r.RequestIDForKey("order-1").DerivedFromKey())
}

// Guards against shards that get far more or fewer keys or workers than others.
func TestSpreadsKeysAndWorkersEvenly(t *testing.T) {
	const count = 6000
	r := newRing(t)
	keys := map[domain.ShardID]int{}
	workers := map[domain.ShardID]int{}
	for i := range count {
		keys[r.RequestIDForKey(fmt.Sprintf("key-%d", i)).Shard]++
		workers[r.ShardOfWorker("volos", domain.WorkerID(fmt.Sprintf("volos-w%d", i)))]++
	}
	assert.Equal(t, len(keys), 6)
	for s, n := range keys {
		assert.Assert(t, n > 850 && n < 1150, "%s has %d keys", s, n)
	}
	assert.Equal(t, len(workers), 2)
	for s, n := range workers {
		assert.Assert(t, n > 2800 && n < 3200, "%s has %d workers", s, n)
	}
}

// Guards against a preferred owner that depends on the order of the live nodes,
// and against moving shards of the remaining nodes when another node leaves.
func TestPreferredOwnerIsStable(t *testing.T) {
	live := []domain.NodeID{"n1", "n2", "n3"}
	for i := range 200 {
		id := domain.ShardID{Domain: "larissa", Index: i}
		first, ok := PreferredOwner(id, live)
		assert.Assert(t, ok)
		reversed := slices.Clone(live)
		slices.Reverse(reversed)
		again, _ := PreferredOwner(id, reversed)
		assert.Equal(t, again, first)
		fewer := slices.DeleteFunc(slices.Clone(live), func(n domain.NodeID) bool { return n == "n2" })
		after, _ := PreferredOwner(id, fewer)
		assert.Assert(t, first == "n2" || after == first)
	}
	_, ok := PreferredOwner(domain.ShardID{Domain: "larissa"}, nil)
	assert.Assert(t, !ok)
}

// Guards against settings under which a key has no shard or two shards.
func TestNewRefusesBadTopology(t *testing.T) {
	for _, c := range []struct {
		domains []domain.FailureDomain
		shards  int
	}{{nil, 2}, {[]domain.FailureDomain{"a"}, 0}, {[]domain.FailureDomain{"a", "a"}, 1}} {
		_, err := New(c.domains, c.shards)
		assert.Equal(t, domain.KindOf(err), domain.KindBadRequest)
	}
}
