package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/ring"
)

var (
	testShard  = domain.ShardID{Domain: "larissa"}
	testConfig = Config{
		Domains: []domain.FailureDomain{"larissa", "volos", "lamia"},
		Nodes: []Node{
			{"a1", "larissa"}, {"a2", "larissa"}, {"a3", "larissa"},
			{"b1", "volos"}, {"b2", "volos"}, {"c1", "lamia"}, {"c2", "lamia"},
		},
	}
	ranked = ring.RankedOwners(testShard, []domain.NodeID{"a1", "a2", "a3"})
)

// simulation calls Step of one node's state every 100 ms. Peers that are not dead
// answer each ping.
type simulation struct {
	*State
	now        Instant
	dead       map[domain.NodeID]bool
	owner      Ownership
	logUp      bool
	notServing bool
	claims     []Claim
}

func newSimulation(self domain.NodeID) *simulation {
	c := testConfig
	c.Self = self
	return &simulation{
		State: New(c, 0), logUp: true, dead: map[domain.NodeID]bool{"b1": true, "b2": true, "c1": true, "c2": true},
		owner: Ownership{Shard: testShard},
	}
}

// run advances the clock by d and collects the claims.
func (m *simulation) run(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += 100 * time.Millisecond
		for _, n := range testConfig.Nodes {
			if m.dead[n.ID] || n.ID == m.config.Self {
				continue
			}
			ev := Answered{From: n.ID}
			if m.owner.Owner == n.ID && !m.notServing {
				ev.OwnedShards = []ShardReport{{Shard: testShard, Epoch: m.owner.Epoch, Ready: true}}
			}
			m.claims = append(m.claims, m.Step(m.now, ev)...)
		}
		logRead := LogRead{OK: m.logUp, SentAt: m.now, AtEnd: true, Owners: []Ownership{m.owner}}
		m.claims = append(m.claims, m.Step(m.now, logRead)...)
	}
}

// Guards against two nodes that claim an unowned shard at the same time, and
// against repeating a claim before the first one can take effect.
func TestOnlyPreferredNodeClaimsFirst(t *testing.T) {
	first := newSimulation(ranked[0])
	first.run(100 * time.Millisecond)
	assert.DeepEqual(t, first.claims, []Claim{{Shard: testShard, Reason: "the shard never had an owner"}})
	first.run(1900 * time.Millisecond)
	assert.Equal(t, len(first.claims), 1)
	first.run(100 * time.Millisecond)
	assert.Equal(t, len(first.claims), 2)

	second := newSimulation(ranked[1])
	second.run(2 * time.Second)
	assert.Equal(t, len(second.claims), 0)
	// The preferred node answers pings but does not claim.
	second.run(2 * time.Second)
	assert.Equal(t, len(second.claims), 1)
}

// Guards against claims that come too early, too late or not at all when the
// owner fails or changes.
func TestClaimsWhenOwnerNeedsReplacement(t *testing.T) {
	cases := []struct {
		name   string
		change func(*simulation)
		after  time.Duration
		reason string
	}{
		{"owner serves", func(*simulation) {}, 10 * time.Second, ""},
		{"owner has missed pings for less than the timeout", func(m *simulation) { m.dead[ranked[1]] = true }, 900 * time.Millisecond, ""},
		{"owner is dead", func(m *simulation) { m.dead[ranked[1]] = true }, time.Second, "the owner is dead"},
		{"owner released", func(m *simulation) { m.owner.Released = true }, 100 * time.Millisecond, "the owner released the shard"},
		{"owner does not serve the shard", func(m *simulation) { m.notServing = true }, 2 * time.Second, "the owner does not serve the shard"},
		{"log is down", func(m *simulation) { m.logUp, m.dead[ranked[1]] = false, true }, 10 * time.Second, ""},
		{"this process is paused", func(m *simulation) { m.now += 5 * time.Second }, 100 * time.Millisecond, ""},
		{"earlier process of this node owned the shard", func(m *simulation) { m.owner = Ownership{Shard: testShard, Owner: ranked[0], Epoch: 9} },
			100 * time.Millisecond, "an earlier process of this node owned the shard"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newSimulation(ranked[0])
			m.owner = Ownership{Shard: testShard, Owner: ranked[1], Epoch: 7}
			m.run(time.Second)
			assert.Equal(t, len(m.claims), 0)
			c.change(m)
			m.run(c.after)
			if c.reason == "" {
				assert.Equal(t, len(m.claims), 0)
				return
			}
			assert.DeepEqual(t, m.claims, []Claim{{Shard: testShard, Previous: m.owner.Epoch, Reason: c.reason}})
		})
	}
}

// Guards against a stopping node that claims shards, and against nodes that wait
// for it to claim first.
func TestStoppingNodeClaimsNothing(t *testing.T) {
	m := newSimulation(ranked[0])
	m.Step(0, SelfReport{Stopping: true})
	m.run(10 * time.Second)
	assert.Equal(t, len(m.claims), 0)

	next := newSimulation(ranked[1])
	next.Step(0, Answered{From: ranked[0], Stopping: true})
	assert.Equal(t, len(next.Step(0, LogRead{OK: true, AtEnd: true, Owners: []Ownership{next.owner}})), 1)
}

// Guards against a domain that does not notice that it is isolated, and against
// one that counts as isolated while the log service or another domain answers.
func TestIsolatedOnlyWithoutLogAndOtherDomains(t *testing.T) {
	m := newSimulation("a1")
	assert.Assert(t, !m.Isolated(IsolationTimeout-1))
	assert.Assert(t, m.Isolated(IsolationTimeout))
	m.run(3 * time.Second)
	assert.Assert(t, !m.Isolated(m.now))
	m.logUp = false
	m.run(2 * time.Second)
	assert.Assert(t, m.Isolated(m.now) && !m.LogUp(m.now))
	m.dead["c1"] = false
	m.run(100 * time.Millisecond)
	assert.Assert(t, !m.Isolated(m.now))
}

// Guards against pings that go to dead nodes only, so that the domain looks
// isolated, or that miss the owners, so that delegated tasks have no target.
func TestRemotePeersCoverOwnersAndLiveNodes(t *testing.T) {
	m := newSimulation("a1")
	assert.DeepEqual(t, m.RemotePeers(0), []domain.NodeID{"b1", "c1"})
	m.Step(0, Answered{From: "b2", OwnedShards: []ShardReport{{Shard: domain.ShardID{Domain: "volos"}, Epoch: 1, Ready: true, FreeSlots: 3}}})
	assert.DeepEqual(t, m.RemotePeers(0), []domain.NodeID{"b2", "c1"})
	assert.DeepEqual(t, m.ReachableShards(0), []domain.ShardID{{Domain: "volos"}})

	// All nodes of volos and c1 are dead: in each interval one ping goes to c2, the
	// other one probes a dead node.
	m = newSimulation("a1")
	m.dead["c2"] = false
	m.run(RemotePeerTimeout)
	pings := map[domain.NodeID]int{}
	for range 12 {
		remote := m.RemotePeers(m.now)
		assert.Equal(t, len(remote), 2)
		assert.Assert(t, remote[0] == "c2" || remote[1] == "c2", "%v at %s", remote, m.now)
		pings[remote[0]]++
		pings[remote[1]]++
		m.run(RemotePingInterval)
	}
	assert.Assert(t, pings["b1"] > 0 && pings["b2"] > 0, "%v", pings)
}

// Guards against requests that are sent to an owner that has been replaced.
func TestOwnerHasHighestEpoch(t *testing.T) {
	m := newSimulation("a1")
	m.owner = Ownership{Shard: testShard, Owner: "a2", Epoch: 7}
	m.run(100 * time.Millisecond)
	owner, ok := m.Owner(m.now, testShard)
	assert.Assert(t, ok && owner == "a2")
	m.Step(m.now, Answered{From: "a3", OwnedShards: []ShardReport{{Shard: testShard, Epoch: 8}}})
	owner, _ = m.Owner(m.now, testShard)
	assert.Equal(t, owner, domain.NodeID("a3"))
	m.dead["a3"] = true
	m.run(PeerTimeout)
	owner, ok = m.Owner(m.now, testShard)
	assert.Assert(t, ok && owner == "a2")
}
