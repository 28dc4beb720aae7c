package router

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/peer"
)

// Guards against a change that is reported as in force on a node that does not
// have it yet, and against a take-out that depends on the log service.
func TestChangeReportsNodesInForce(t *testing.T) {
	takeOut := domain.FailureDomain("b")
	decideWith := func(accepted bool) func() (configlog.Decision, error) {
		return func() (configlog.Decision, error) {
			return configlog.Decision{Version: 7, InForce: 7, Accepted: accepted}, nil
		}
	}
	logTimeout := func() (configlog.Decision, error) {
		return configlog.Decision{}, &domain.Error{Kind: domain.KindUnavailable, Message: "no answer"}
	}
	cases := []struct {
		name             string
		change           configlog.Change
		logDown          bool
		proposeFunc      func() (configlog.Decision, error)
		have             []domain.NodeID
		inForce, missing []domain.NodeID
		provisional      bool
		err              domain.ErrorKind
	}{
		{name: "on all nodes", proposeFunc: decideWith(true), have: []domain.NodeID{"a1", "a2", "b1"}, inForce: []domain.NodeID{"a1", "a2", "b1"}},
		{name: "one node behind", proposeFunc: decideWith(true), have: []domain.NodeID{"a1", "b1"}, inForce: []domain.NodeID{"a1", "b1"}, missing: []domain.NodeID{"a2"}},
		{name: "rejected", proposeFunc: decideWith(false)},
		{name: "log down", proposeFunc: logTimeout, err: domain.KindUnavailable},
		{name: "take-out, log down", change: configlog.Change{TakeOut: &takeOut}, logDown: true, provisional: true, inForce: []domain.NodeID{"a1"}, missing: []domain.NodeID{"a2", "b1"}},
		{name: "take-out, no answer", change: configlog.Change{TakeOut: &takeOut}, proposeFunc: logTimeout, provisional: true, inForce: []domain.NodeID{"a1"}, missing: []domain.NodeID{"a2", "b1"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, false)
			c.logUp = !tc.logDown
			for _, id := range tc.have {
				c.nodes[id].version = 7
			}
			c.nodes["a1"].proposeFunc = tc.proposeFunc
			wait := testTimeout
			if tc.missing != nil {
				wait = 2 * time.Second
			}
			result, err := c.nodes["a1"].Change(t.Context(), tc.change, wait)
			assert.Equal(t, domain.KindOf(err), tc.err)
			assert.DeepEqual(t, result.InForce, tc.inForce)
			assert.DeepEqual(t, result.Missing, tc.missing)
			assert.Equal(t, result.Provisional, tc.provisional)
		})
	}
	unknown := domain.FailureDomain("nowhere")
	_, err := newCluster(t, false).nodes["a1"].Change(t.Context(), configlog.Change{TakeOut: &unknown}, 0)
	assert.Equal(t, domain.KindOf(err), domain.KindBadRequest)
}

// Guards against lists that do not show which nodes and domains did not answer.
func TestNodesAndWorkersReportWhatIsMissing(t *testing.T) {
	c := newCluster(t, true)
	n := c.nodes["a1"]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		workers, missing, err := n.Router.Workers(t.Context())
		if err != nil || len(workers) != 3 || len(missing) != 0 {
			return poll.Continue("workers %v, missing %v, error %v", workers, missing, err)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
	c.relays["b1"].Freeze()
	workers, missing, err := n.Router.Workers(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(workers), 2)
	assert.DeepEqual(t, missing, []domain.FailureDomain{"b"})
	c.relays["a2"].Close()
	nodes, err := n.Nodes(t.Context())
	assert.NilError(t, err)
	live := map[domain.NodeID]bool{}
	for _, node := range nodes {
		live[node.ID] = node.Live
	}
	assert.Assert(t, live["a1"] && !live["a2"], "%v", live)
}

// Guards against lookups, cancellations and explanations that do not reach the
// owner of the request.
func TestQueriesGoToTheOwner(t *testing.T) {
	c := newCluster(t, false)
	task := urgentTask(time.Second, "p")
	task.ID = domain.RequestID{Shard: shardOf("b", 1), Epoch: 1, Seq: 3}
	want := c.recordStart(task)
	n := c.nodes["a1"].Router
	for _, ask := range []func(context.Context, domain.RequestID) (domain.Outcome, error){n.Lookup, n.Cancel} {
		out, err := ask(t.Context(), task.ID)
		assert.NilError(t, err)
		assert.DeepEqual(t, out, want)
		_, err = ask(t.Context(), domain.RequestID{Shard: shardOf("b", 2), Seq: 1})
		assert.Equal(t, domain.KindOf(err), domain.KindNotFound)
	}
	entries, err := n.Explain(t.Context(), task.ID)
	assert.NilError(t, err)
	assert.Equal(t, entries[0].Node, "b1")
	c.moveShard(task.ID.Shard, "")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	out, err := n.Lookup(ctx, task.ID)
	assert.NilError(t, err)
	assert.Equal(t, out.State, domain.OutcomeUnknown)
}

// Guards against a forwarded request that is served by the wrong shard, or
// reported as "not run" although an earlier copy was started.
func TestForwardServesOnlyTheOwnersRequests(t *testing.T) {
	c := newCluster(t, false)
	h := c.nodes["a2"].Router.Handler()
	here, elsewhere := shardOf("a", 1), shardOf("a", 0)
	ran := urgentTask(time.Second, "ran")
	// The fake shard issues ids of epoch 1, so ids of epoch 2 cannot collide with
	// them.
	ran.ID = domain.RequestID{Shard: here, Epoch: 2, Seq: 1}
	c.recordStart(ran)
	unused, foreign := ran, ran
	unused.ID.Seq = 2
	foreign.ID.Shard = elsewhere
	withoutID := urgentTask(time.Second, "without id")
	cases := []struct {
		name  string
		args  peer.ForwardArgs
		state domain.OutcomeState
		err   domain.ErrorKind
	}{
		{"runs", peer.ForwardArgs{Shard: here, Task: unused, Budget: time.Second}, domain.OutcomeSucceeded, ""},
		{"reserves an id", peer.ForwardArgs{Shard: here, Task: withoutID, Draw: true, Budget: time.Second}, domain.OutcomeSucceeded, ""},
		{"delegated", peer.ForwardArgs{Shard: here, Task: foreign, Delegated: true, Budget: time.Second}, domain.OutcomeSucceeded, ""},
		{"not the owner", peer.ForwardArgs{Shard: elsewhere, Task: foreign, Budget: time.Second}, "", domain.KindStaleEpoch},
		{"id of another shard", peer.ForwardArgs{Shard: here, Task: foreign, Budget: time.Second}, "", domain.KindBadRequest},
		{"no id", peer.ForwardArgs{Shard: here, Task: withoutID, Budget: time.Second}, "", domain.KindBadRequest},
		{"too late, ran before", peer.ForwardArgs{Shard: here, Task: ran}, domain.OutcomeSucceeded, ""},
		{"too late, delegated", peer.ForwardArgs{Shard: here, Task: foreign, Delegated: true}, "", domain.KindUnavailable},
		{"too late, no id yet", peer.ForwardArgs{Shard: here, Task: withoutID, Draw: true}, "", domain.KindUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			reply, err := h.Forward(tc.args)
			assert.Equal(t, domain.KindOf(err), tc.err, "%v", err)
			assert.Equal(t, reply.Outcome.State, tc.state)
			assert.Equal(t, reply.Length, len(reply.Outcome.Answer))
		})
	}
	c.assertStartedAtMostOnce(t)
	late := unused
	late.ID.Seq = 3
	reply, err := h.Forward(peer.ForwardArgs{Shard: here, Task: late})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome.State, domain.OutcomeNotRun)
}

// Guards against a delegated task that is lost when its target shard changes its
// owner.
func TestDelegatedTaskFollowsItsShard(t *testing.T) {
	c := newCluster(t, false)
	task := urgentTask(testTimeout, "p")
	task.ID = domain.RequestID{Shard: shardOf("a", 0), Epoch: 1, Seq: 8}
	c.nodes["b1"].submitFunc = func(_ context.Context, req shard.Submitted) (domain.Outcome, error) {
		assert.Check(t, req.Delegated && req.Attempt == 3)
		c.moveShard(shardOf("b", 0), "a2")
		return domain.Outcome{}, errStale
	}
	req := shard.Submitted{Task: task, Budget: testTimeout, Attempt: 3}
	out, err := c.nodes["a1"].Delegate(t.Context(), shardOf("b", 0), req)
	assert.NilError(t, err)
	assert.Equal(t, out.State, domain.OutcomeSucceeded)
	c.moveShard(shardOf("b", 0), "")
	req.Budget = 20 * time.Millisecond
	_, err = c.nodes["a1"].Delegate(t.Context(), shardOf("b", 0), req)
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
}

// Guards against ids that are used twice, ids of an owner that was replaced, and
// a pool that grows without bound.
func TestPooledIDsAreUsedOnceAndBounded(t *testing.T) {
	p := newIDPool()
	c := candidate{shard: shardOf("a", 0), node: "a1", epoch: 1}
	fill := func() { p.put(c.shard, idRange{node: "a1", epoch: 1, next: 1, left: idLowWaterMark}) }
	fill()
	first, ok := p.take(c)
	assert.Assert(t, ok && first.refill)
	second, ok := p.take(c)
	assert.Assert(t, ok && !second.refill, "only one refill at a time")
	assert.Assert(t, first.id != second.id)
	for _, replaced := range []candidate{{shard: c.shard, node: "a2", epoch: 1}, {shard: c.shard, node: "a1", epoch: 2}} {
		fill()
		_, ok = p.take(replaced)
		assert.Assert(t, !ok)
		_, ok = p.take(c)
		assert.Assert(t, !ok, "stale ids must be dropped")
	}
	for i := range 2 * maxPoolShards {
		p.put(shardOf("a", i), idRange{left: idBatchSize})
	}
	assert.Equal(t, len(p.ranges), maxPoolShards)
}

// Guards against requests that wait for ids: the pool must be refilled in the
// background.
func TestIDPoolIsRefilledInBackground(t *testing.T) {
	c := newCluster(t, false)
	n := c.nodes["a1"]
	from := candidate{shard: shardOf("a", 1), node: "a2"}
	seen := make(map[domain.RequestID]bool)
	for range 3 * idBatchSize {
		id, err := n.newID(t.Context(), from)
		assert.NilError(t, err)
		assert.Assert(t, !seen[id])
		seen[id] = true
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n.ids.mutex.Lock()
		defer n.ids.mutex.Unlock()
		if pooled := n.ids.ranges[from.shard]; pooled == nil || pooled.left < idLowWaterMark {
			return poll.Continue("the id pool is low")
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
}

// Guards against new requests that are sent to a full shard while another one
// has free slots, or to another failure domain while this node's own is ready.
func TestCandidatesPreferFreeAndLocalShards(t *testing.T) {
	c := newCluster(t, false)
	n := c.nodes["a1"]
	pingWith := func(ready bool, freeSlots int64) peer.PingArgs {
		return peer.PingArgs{From: "a2", Domain: "a", Owned: []peer.OwnedShard{
			{Shard: shardOf("a", 1), Epoch: 4, Ready: ready, FreeSlots: freeSlots},
			{Shard: shardOf("a", 9), Epoch: 4}, {Shard: shardOf("b", 0), Epoch: 4},
		}}
	}
	shards := func() []domain.ShardID {
		var list []domain.ShardID
		for _, c := range n.candidates() {
			list = append(list, c.shard)
		}
		return list
	}
	others := []domain.ShardID{shardOf("b", 0), shardOf("b", 1)}
	n.RecordPing(pingWith(true, 100))
	assert.DeepEqual(t, shards(), slices.Concat([]domain.ShardID{shardOf("a", 0), shardOf("a", 1)}, others))
	n.RecordPing(pingWith(false, 100))
	assert.DeepEqual(t, shards(), slices.Concat([]domain.ShardID{shardOf("a", 0)}, others))
	assert.Equal(t, len(n.loads.loads), 1)
	full := candidate{own: true}
	withFreeSlots := candidate{freeSlots: 1}
	assert.Assert(t, compareCandidates(withFreeSlots, full) < 0)
	clear(c.owners)
	assert.Equal(t, len(n.candidates()), 0)
	_, err := n.ReserveIDs(t.Context(), maxReservedIDs+1)
	assert.Equal(t, domain.KindOf(err), domain.KindBadRequest)
}

// Guards against a ConfigReply that exceeds the message size limit.
func TestConfigRecordsAreLimited(t *testing.T) {
	big := platform.Record{Data: make([]byte, maxConfigBytes/2)}
	assert.Equal(t, len(limitRecords([]platform.Record{big, big, big})), 2)
	big.Data = make([]byte, 2*maxConfigBytes)
	assert.Equal(t, len(limitRecords([]platform.Record{big, big})), 1)
}
