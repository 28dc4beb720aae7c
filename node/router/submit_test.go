package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/service"
	"github.com/basilferry/basilferry/node/settings"
)

// Guards against answers that reach another caller and requests that run twice
// when many are on their way through three nodes.
func TestConcurrentRequestsGetTheirOwnAnswers(t *testing.T) {
	c := newCluster(t, false)
	var running sync.WaitGroup
	number := 0
	for _, n := range c.nodes {
		ids, err := n.ReserveIDs(t.Context(), 100)
		assert.NilError(t, err)
		for i := range 300 {
			payload := fmt.Sprintf("%s-%d-%s", n.self.ID, i, strings.Repeat("x", i*7))
			req := service.SubmitRequest{Task: urgentTask(testTimeout, payload)}
			switch i % 3 {
			case 0:
				number++
				req.Key = fmt.Sprintf("%c/%d/%d", "ab"[i%2], i/2%2, number)
			case 1:
				req.Task.ID = ids[i/3]
			}
			running.Go(func() {
				out, err := n.Router.Submit(t.Context(), req)
				assert.Check(t, err)
				assert.Check(t, string(out.Answer) == string(expectedAnswer(req.Task.Payload)))
			})
		}
	}
	running.Wait()
	c.assertStartedAtMostOnce(t)
	assert.Equal(t, len(c.starts), 900)
}

// Guards against a wrong verdict when an owner cannot be reached, refuses, or
// loses an answer: "not run" may be reported only if it is certain.
func TestNotRunIsReportedOnlyIfCertain(t *testing.T) {
	// A case that ends at its deadline has a short one, and one that must reach
	// the owner before it a longer one.
	const short, long = 150 * time.Millisecond, 2 * time.Second
	refuse := func(kind domain.ErrorKind) func(*cluster) {
		return func(c *cluster) {
			for _, n := range c.nodes {
				n.submit = func(context.Context, shard.Submitted) (domain.Outcome, error) {
					return domain.Outcome{}, &domain.Error{Kind: kind, Message: "refused", Remedy: "none"}
				}
			}
		}
	}
	unreachable := func(c *cluster) {
		for _, r := range c.relays {
			r.Close()
		}
	}
	silent := func(c *cluster) {
		c.nodes["a2"].submit = func(ctx context.Context, req shard.Submitted) (domain.Outcome, error) {
			c.relays["a2"].Close()
			return c.run(req.Task), nil
		}
	}
	noOwner := func(c *cluster) { clear(c.owners) }
	noOwnShard := func(c *cluster) { c.moveShard(shardOf("a", 0), "a2") }
	drawn, keyed, named := "", "a/1/5", "id"
	cases := []struct {
		name    string
		request string
		prepare []func(*cluster)
		state   domain.OutcomeState
		err     domain.ErrorKind
		remedy  string
		reached bool
	}{
		{"drawn, no owner", drawn, []func(*cluster){noOwner}, "", domain.KindUnavailable, "", false},
		{"drawn, unreachable", drawn, []func(*cluster){noOwnShard, unreachable}, "", domain.KindUnavailable, "", false},
		{"drawn, owners refuse as stale", drawn, []func(*cluster){refuse(domain.KindStaleEpoch)}, domain.OutcomeNotRun, "", "", false},
		{"drawn, owner is overloaded", drawn, []func(*cluster){refuse(domain.KindUnavailable)}, domain.OutcomeNotRun, "", "", true},
		{"drawn, answer lost", drawn, []func(*cluster){noOwnShard, silent}, domain.OutcomeUnknown, "", "GET /v1/requests", true},
		{"key, no owner", keyed, []func(*cluster){noOwner}, domain.OutcomeUnknown, "", "POST /v1/ids", false},
		{"key, unreachable", keyed, []func(*cluster){unreachable}, domain.OutcomeUnknown, "", "POST /v1/ids", false},
		{"key, owner refuses as stale", keyed, []func(*cluster){refuse(domain.KindStaleEpoch)}, domain.OutcomeUnknown, "", "POST /v1/ids", false},
		{"key, owner is overloaded", keyed, []func(*cluster){refuse(domain.KindUnavailable)}, "", domain.KindUnavailable, "", true},
		{"key, answer lost", keyed, []func(*cluster){silent}, domain.OutcomeUnknown, "", "GET /v1/requests", true},
		{"key, reused", keyed, []func(*cluster){refuse(domain.KindKeyConflict)}, "", domain.KindKeyConflict, "", true},
		{"key, not run", keyed, []func(*cluster){refuse(domain.KindNotRun)}, domain.OutcomeNotRun, "", "", true},
		{"id, no owner", named, []func(*cluster){noOwner}, domain.OutcomeUnknown, "", "POST /v1/ids", false},
		{"id, unreachable", named, []func(*cluster){unreachable}, domain.OutcomeUnknown, "", "POST /v1/ids", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, true)
			for _, prepare := range tc.prepare {
				prepare(c)
			}
			budget := short
			if tc.reached {
				budget = long
			}
			req := service.SubmitRequest{Task: urgentTask(budget, "payload")}
			switch tc.request {
			case keyed:
				req.Key = keyed
			case named:
				req.Task.ID = domain.RequestID{Shard: shardOf("a", 1), Epoch: 1, Seq: 9}
			}
			start := time.Now()
			out, err := c.nodes["a1"].Router.Submit(t.Context(), req)
			assert.Assert(t, time.Since(start) < testTimeout/3)
			assert.Equal(t, domain.KindOf(err), tc.err, "%v", err)
			assert.Equal(t, out.State, tc.state, "%v", out.Err)
			if tc.remedy != "" {
				assert.Assert(t, strings.Contains(out.Err.Remedy, tc.remedy), out.Err.Remedy)
			}
			if out.State == domain.OutcomeNotRun {
				assert.Equal(t, c.starts[out.ID], 0)
			}
			c.assertStartedAtMostOnce(t)
		})
	}
}

// Guards against a request that is lost, or runs twice, when its shard moves
// while it is on its way.
func TestRequestFollowsItsShard(t *testing.T) {
	c := newCluster(t, false)
	c.nodes["a2"].submit = func(context.Context, shard.Submitted) (domain.Outcome, error) {
		c.moveShard(shardOf("a", 1), "b1")
		return domain.Outcome{}, errStale
	}
	out, err := c.nodes["a1"].Router.Submit(t.Context(), service.SubmitRequest{Key: "a/1/5", Task: urgentTask(testTimeout, "p")})
	assert.NilError(t, err)
	assert.Equal(t, out.State, domain.OutcomeSucceeded)
	c.assertStartedAtMostOnce(t)
}

// Guards against a second start or a needless unknown outcome when the answer
// is lost: the connection breaks or goes silent after the task ran, and the
// owner stays or moves.
func TestLostAnswerIsLookedUp(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, to := range []domain.NodeID{"a2", "b1", "a1"} {
			t.Run(fmt.Sprintf("silent=%t/owner=%s", silent, to), func(t *testing.T) {
				c := newCluster(t, true)
				c.nodes["a2"].submit = func(_ context.Context, req shard.Submitted) (domain.Outcome, error) {
					if silent {
						c.relays["a2"].FreezeReplies()
					} else {
						c.relays["a2"].CloseConnections()
					}
					out := c.run(req.Task)
					c.moveShard(shardOf("a", 1), to)
					return out, nil
				}
				start := time.Now()
				req := service.SubmitRequest{Key: "a/1/5", Task: urgentTask(testTimeout, "p")}
				out, err := c.nodes["a1"].Router.Submit(t.Context(), req)
				assert.NilError(t, err)
				assert.Equal(t, string(out.Answer), "answer to p")
				t.Logf("settled after %v", time.Since(start))
				c.assertStartedAtMostOnce(t)
			})
		}
	}
}

// Guards against a request without an id that fails although another shard
// could take it.
func TestRequestWithoutIDMovesToAnotherShard(t *testing.T) {
	c := newCluster(t, true)
	c.moveShard(shardOf("a", 0), "a2")
	c.relays["a2"].Close()
	out, err := c.nodes["a1"].Router.Submit(t.Context(), service.SubmitRequest{Task: urgentTask(testTimeout, "p")})
	assert.NilError(t, err)
	assert.Equal(t, out.State, domain.OutcomeSucceeded)
	assert.Equal(t, out.ID.Shard.Domain, domain.FailureDomain("b"))
	c.assertStartedAtMostOnce(t)
}

// Guards against a batch task that waits longer than CallTimeout and against an
// accepted task that is reported as unknown.
func TestBatchAnswerComesWithinCallTimeout(t *testing.T) {
	c := newCluster(t, true)
	task := urgentTask(0, "p")
	task.Kind = domain.KindBatch
	c.nodes["a2"].submit = func(_ context.Context, req shard.Submitted) (domain.Outcome, error) {
		assert.Check(t, req.Budget == 0)
		c.mutex.Lock()
		c.outcomes[req.Task.ID] = domain.Outcome{ID: req.Task.ID, State: domain.OutcomeAccepted}
		c.mutex.Unlock()
		c.relays["a2"].CloseConnections()
		return domain.Outcome{}, nil
	}
	out, err := c.nodes["a1"].Router.Submit(t.Context(), service.SubmitRequest{Key: "a/1/1", Task: task})
	assert.NilError(t, err)
	assert.Equal(t, out.State, domain.OutcomeAccepted)
	assert.Assert(t, submitBudget(task)+answerGracePeriod <= service.CallTimeout)
}

// Guards against accepting what cannot be routed and against holding more
// requests than the limit.
func TestSubmitRejectsUnroutableAndExcessRequests(t *testing.T) {
	c := newCluster(t, false)
	n := c.nodes["a1"]
	id := domain.RequestID{Shard: shardOf("nowhere", 0), Seq: 1}
	_, err := n.Router.Submit(t.Context(), service.SubmitRequest{Key: "a/0/1", Task: domain.Task{}})
	assert.Equal(t, domain.KindOf(err), domain.KindBadRequest)
	task := urgentTask(time.Second, "p")
	task.ID = id
	_, err = n.Router.Submit(t.Context(), service.SubmitRequest{Task: task})
	assert.Equal(t, domain.KindOf(err), domain.KindNotFound)
	_, err = n.Router.Submit(t.Context(), service.SubmitRequest{Key: "a/0/1", Task: task})
	assert.Equal(t, domain.KindOf(err), domain.KindBadRequest)
	n.Limits.MaxDeadline = settings.Duration(time.Second)
	_, err = n.Router.Submit(t.Context(), service.SubmitRequest{Task: urgentTask(2*time.Second, "p")})
	assert.Equal(t, domain.KindOf(err), domain.KindBadRequest)
	n.submits = newLimiter(0)
	_, err = n.Router.Submit(t.Context(), service.SubmitRequest{Task: urgentTask(time.Second, "p")})
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
}

// Guards against false "not run", repeats and mixed-up answers while
// connections break or go silent and shards move, in a random order.
func TestRequestsStartAtMostOnceUnderRandomFaults(t *testing.T) {
	const seed, workers, requests = 11, 8, 40
	t.Logf("seed %d", seed)
	c := newCluster(t, true)
	nodes := []domain.NodeID{"a1", "a2", "b1"}
	var mutex sync.Mutex
	faults := rand.New(rand.NewPCG(seed, 0))
	fault := func() {
		mutex.Lock()
		defer mutex.Unlock()
		node := nodes[faults.IntN(len(nodes))]
		switch faults.IntN(12) {
		case 0:
			c.relays[node].FreezeReplies()
		case 1:
			c.relays[node].Freeze()
		case 2, 3, 4:
			c.relays[node].CloseConnections()
		case 5, 6, 7:
			c.moveShard(shardOf("a", faults.IntN(2)), nodes[faults.IntN(2)])
		}
	}
	var running sync.WaitGroup
	states := make(map[domain.OutcomeState]int)
	for w := range workers {
		running.Go(func() {
			n := c.nodes[nodes[w%len(nodes)]].Router
			for i := range requests {
				req := service.SubmitRequest{Task: urgentTask(5*time.Second, fmt.Sprintf("%d-%d", w, i))}
				if i%2 == 0 {
					req.Key = fmt.Sprintf("%c/%d/%d", "ab"[i/2%2], i/4%2, w*requests+i)
				}
				fault()
				out, err := n.Submit(t.Context(), req)
				assert.Check(t, err)
				mutex.Lock()
				states[out.State]++
				mutex.Unlock()
				c.mutex.Lock()
				assert.Check(t, out.State != domain.OutcomeNotRun || c.starts[out.ID] == 0, "%s", out.ID)
				c.mutex.Unlock()
				assert.Check(t, out.State != domain.OutcomeSucceeded || string(out.Answer) == "answer to "+string(req.Task.Payload))
			}
		})
	}
	running.Wait()
	t.Logf("outcomes: %v", states)
	c.assertStartedAtMostOnce(t)
}
