package router

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/peer/peertest"
	"github.com/basilferry/basilferry/node/service"
	"github.com/basilferry/basilferry/node/settings"
)

// testTimeout is far longer than any wait in these tests should take, also on a
// busy machine.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cluster is a set of nodes in this process that call each other over TCP. Its
// fields are the state that the nodes share.
type cluster struct {
	nodes  map[domain.NodeID]*testNode
	relays map[domain.NodeID]*peertest.Relay

	mutex    sync.Mutex
	owners   map[domain.ShardID]domain.NodeID
	starts   map[domain.RequestID]int
	outcomes map[domain.RequestID]domain.Outcome
	nextSeq  uint64
	logUp    bool
}

// testNode is one node. It implements service.Shards with the cluster's state.
// fakePeers and fakeConfig implement service.Peers and service.Config for it.
type testNode struct {
	*Router
	c    *cluster
	self settings.Node
	pool *peer.Pool
	// submitFunc replaces the default, which runs the task immediately.
	submitFunc func(ctx context.Context, req shard.Submitted) (domain.Outcome, error)
	// lookupErr is the answer to lookups and cancels, if it is set.
	lookupErr   error
	provisional []domain.FailureDomain
	version     domain.Version
	proposeFunc func() (configlog.Decision, error)
}

// testOwners maps the shards of each test cluster to their owners: two nodes in
// domain a, one in domain b, two shards in each domain.
var testOwners = map[domain.ShardID]domain.NodeID{
	{Domain: "a", Index: 0}: "a1", {Domain: "a", Index: 1}: "a2",
	{Domain: "b", Index: 0}: "b1", {Domain: "b", Index: 1}: "b1",
}

func shardOf(d domain.FailureDomain, i int) domain.ShardID {
	return domain.ShardID{Domain: d, Index: i}
}

// newCluster starts the nodes of testOwners. If relayed is true, the calls to each
// node pass through a relay that can simulate failures of connections.
func newCluster(t testing.TB, relayed bool) *cluster {
	t.Helper()
	c := &cluster{
		nodes: make(map[domain.NodeID]*testNode), relays: make(map[domain.NodeID]*peertest.Relay),
		owners: make(map[domain.ShardID]domain.NodeID), starts: make(map[domain.RequestID]int),
		outcomes: make(map[domain.RequestID]domain.Outcome), logUp: true,
	}
	for s, n := range testOwners {
		c.owners[s] = n
	}
	addresses := make(map[domain.NodeID]string)
	listeners := make(map[domain.NodeID]net.Listener)
	for _, id := range []domain.NodeID{"a1", "a2", "b1"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[id], addresses[id] = l, l.Addr().String()
		if relayed {
			c.relays[id], err = peertest.NewRelay(addresses[id])
			assert.NilError(t, err)
			addresses[id] = c.relays[id].Address()
			t.Cleanup(c.relays[id].Close)
		}
	}
	for id, l := range listeners {
		c.startNode(t, id, l, addresses)
	}
	return c
}

func (c *cluster) startNode(t testing.TB, id domain.NodeID, l net.Listener, addresses map[domain.NodeID]string) {
	n := &testNode{c: c, pool: peer.NewPool(addresses, "token"), version: 1}
	n.self = settings.Node{ID: id, Domain: domain.FailureDomain(id[:1])}
	n.Router = New(Options{
		Node:    n.self,
		Cluster: settings.Cluster{Domains: []domain.FailureDomain{"a", "b"}, ShardsPerDomain: 2},
		Shards:  n, Peers: fakePeers{n}, Config: fakeConfig{n}, Ring: keyRing{}, Clients: n.pool,
	})
	s, err := peer.NewServer(n.Router.Handler(), "token")
	assert.NilError(t, err)
	go s.Serve(l)
	c.nodes[id] = n
	t.Cleanup(func() {
		n.pool.Close()
		n.Router.Close()
		s.Close()
	})
}

func (c *cluster) moveShard(s domain.ShardID, to domain.NodeID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.owners[s] = to
}

func (c *cluster) owner(s domain.ShardID) domain.NodeID {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.owners[s]
}

// recordStart records a start of the task and returns its outcome.
func (c *cluster) recordStart(task domain.Task) domain.Outcome {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.recordStartLocked(task)
}

// recordStartLocked is recordStart for a caller that holds the mutex. It also
// counts a second start of the same request, because a router must not rely on
// the owner to reject it. A request that is recorded as not run does not start.
func (c *cluster) recordStartLocked(task domain.Task) domain.Outcome {
	if out, ok := c.outcomes[task.ID]; ok && out.State == domain.OutcomeNotRun {
		return out
	}
	c.starts[task.ID]++
	out := domain.Outcome{ID: task.ID, State: domain.OutcomeSucceeded, Answer: expectedAnswer(task.Payload)}
	c.outcomes[task.ID] = out
	return out
}

func expectedAnswer(payload []byte) []byte { return append([]byte("answer to "), payload...) }

// assertStartedAtMostOnce checks that no request was started by two owners or
// twice by one.
func (c *cluster) assertStartedAtMostOnce(t *testing.T) {
	t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, n := range c.starts {
		assert.Equal(t, n, 1, "request %s", id)
	}
}

var errStale = &domain.Error{Kind: domain.KindStaleEpoch, Message: "not the owner", Remedy: "ask the owner"}

func (n *testNode) Owned() []service.OwnedShard {
	n.c.mutex.Lock()
	defer n.c.mutex.Unlock()
	var list []service.OwnedShard
	for s, owner := range n.c.owners {
		if owner == n.self.ID {
			list = append(list, service.OwnedShard{Shard: s, Epoch: 1, Ready: true, FreeSlots: 8})
		}
	}
	slices.SortFunc(list, func(a, b service.OwnedShard) int { return a.Shard.Index - b.Shard.Index })
	return list
}

func (n *testNode) Draw(s domain.ShardID, count int) (domain.Epoch, uint64, error) {
	n.c.mutex.Lock()
	defer n.c.mutex.Unlock()
	first := n.c.nextSeq + 1
	n.c.nextSeq += uint64(count)
	if n.c.owners[s] != n.self.ID {
		return 0, 0, errStale
	}
	return 1, first, nil
}

func (n *testNode) Submit(ctx context.Context, s domain.ShardID, req shard.Submitted) (domain.Outcome, error) {
	n.c.mutex.Lock()
	defer n.c.mutex.Unlock()
	if n.c.owners[s] != n.self.ID {
		return domain.Outcome{}, errStale
	}
	if n.submitFunc != nil {
		n.c.mutex.Unlock()
		defer n.c.mutex.Lock()
		return n.submitFunc(ctx, req)
	}
	return n.c.recordStartLocked(req.Task), nil
}

// Lookup records an unknown request as not run, so that it cannot start later.
func (n *testNode) Lookup(_ context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	n.c.mutex.Lock()
	defer n.c.mutex.Unlock()
	if n.lookupErr != nil {
		return domain.Outcome{}, n.lookupErr
	}
	if n.c.owners[at] != n.self.ID {
		return domain.Outcome{}, errStale
	}
	if out, ok := n.c.outcomes[id]; ok {
		return out, nil
	}
	notRun := domain.Outcome{ID: id, State: domain.OutcomeNotRun}
	n.c.outcomes[id] = notRun
	return notRun, nil
}

func (n *testNode) Cancel(ctx context.Context, at domain.ShardID, id domain.RequestID) (domain.Outcome, error) {
	return n.Lookup(ctx, at, id)
}

func (n *testNode) Explain(domain.RequestID) []explain.Entry {
	return []explain.Entry{{Node: string(n.self.ID)}}
}

func (n *testNode) Workers() []service.WorkerStatus {
	return []service.WorkerStatus{{ID: domain.WorkerID("worker-" + n.self.ID)}}
}

type fakePeers struct{ n *testNode }

func (p fakePeers) Owner(s domain.ShardID) (domain.NodeID, bool) {
	node := p.n.c.owner(s)
	return node, node != ""
}
func (p fakePeers) LiveInDomain() []domain.NodeID { return nil }
func (p fakePeers) Isolated() bool                { return false }
func (p fakePeers) LogUp() bool                   { return p.n.c.logUp }
func (p fakePeers) ReachableShards() []domain.ShardID {
	if p.n.self.Domain == "b" {
		return []domain.ShardID{shardOf("a", 0), shardOf("a", 1)}
	}
	return []domain.ShardID{shardOf("b", 0), shardOf("b", 1)}
}
func (p fakePeers) Status() []service.NodeStatus {
	return []service.NodeStatus{{ID: "a1", Domain: "a"}, {ID: "a2", Domain: "a"}, {ID: "b1", Domain: "b"}}
}

type fakeConfig struct{ n *testNode }

func (c fakeConfig) Current() domain.Configuration       { return domain.Configuration{Version: c.n.version} }
func (c fakeConfig) History(int) []configlog.Decision    { return nil }
func (c fakeConfig) Provisional() []domain.FailureDomain { return c.n.provisional }
func (c fakeConfig) Propose(context.Context, configlog.Change) (configlog.Decision, error) {
	return c.n.proposeFunc()
}
func (c fakeConfig) AddProvisional(d domain.FailureDomain, _, _ string) {
	c.n.provisional = append(c.n.provisional, d)
}

// keyRing maps a key "domain/index/number" to the id with that shard and sequence
// number.
type keyRing struct{}

func (keyRing) RequestIDForKey(key string) domain.RequestID {
	var d string
	var id domain.RequestID
	fmt.Sscanf(key, "%1s/%d/%d", &d, &id.Shard.Index, &id.Seq)
	id.Shard.Domain = domain.FailureDomain(d)
	return id
}

func urgentTask(deadline time.Duration, payload string) domain.Task {
	return domain.Task{
		Kind: domain.KindUrgent, Class: "credit-check", Team: "loans", Deadline: deadline,
		Resources: domain.Resources{CPUMilli: 100, MemoryMiB: 64}, Payload: []byte(payload),
	}
}
