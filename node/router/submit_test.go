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

// Guards against answers that reach another client and requests that run twice
// when three nodes handle many requests concurrently.
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

// Guards against a wrong outcome when an owner cannot be reached or rejects the
// request, or its answer is lost: "not run" may be reported only if it is certain.
func TestNotRunIsReportedOnlyIfCertain(t *testing.T) {
	// Cases that last until the deadline have a short one. Cases that must reach
	// the owner in time have a longer one.
	const short, long = 150 * time.Millisecond, 2 * time.Second
	rejectWith := func(kind domain.ErrorKind) func(*cluster) {
		return func(c *cluster) {
			for _, n := range c.nodes {
				n.submitFunc = func(context.Context, shard.Submitted) (domain.Outcome, error) {
					return domain.Outcome{}, &domain.Error{Kind: kind, Message: "rejected", Remedy: "none"}
				}
				if kind == domain.KindStaleEpoch {
					// A node that is not the owner does not record the request as not run either.
					n.lookupErr = errStale
				}
			}
		}
	}
	unreachable := func(c *cluster) {
		for _, r := range c.relays {
			r.Close()
		}
	}
	// A request without an id goes to another owner if a2 reserves no id in time.
	loseAnswer := func(c *cluster) {
		for _, id := range []domain.NodeID{"a2", "b1"} {
			c.nodes[id].submitFunc = func(ctx context.Context, req shard.Submitted) (domain.Outcome, error) {
				c.relays[id].Close()
				return c.recordStart(req.Task), nil
			}
		}
	}
	noOwner := func(c *cluster) { clear(c.owners) }
	noOwnShard := func(c *cluster) { c.moveShard(shardOf("a", 0), "a2") }
	withoutID, withKey, withID := "", "a/1/5", "id"
	cases := []struct {
		name         string
		request      string
		prepare      []func(*cluster)
		state        domain.OutcomeState
		err          domain.ErrorKind
		remedy       string
		reachesOwner bool
	}{
		{"no id, no owner", withoutID, []func(*cluster){noOwner}, "", domain.KindUnavailable, "", false},
		{"no id, unreachable", withoutID, []func(*cluster){noOwnShard, unreachable}, "", domain.KindUnavailable, "", false},
		{"no id, owners reject as stale", withoutID, []func(*cluster){rejectWith(domain.KindStaleEpoch)}, domain.OutcomeNotRun, "", "", false},
		{"no id, owner is overloaded", withoutID, []func(*cluster){rejectWith(domain.KindUnavailable)}, domain.OutcomeNotRun, "", "", true},
		{"no id, answer lost", withoutID, []func(*cluster){noOwnShard, loseAnswer}, domain.OutcomeUnknown, "", "GET /v1/requests", true},
		{"key, no owner", withKey, []func(*cluster){noOwner}, domain.OutcomeUnknown, "", "POST /v1/ids", false},
		{"key, unreachable", withKey, []func(*cluster){unreachable}, domain.OutcomeUnknown, "", "POST /v1/ids", false},
		{"key, owner rejects as stale", withKey, []func(*cluster){rejectWith(domain.KindStaleEpoch)}, domain.OutcomeUnknown, "", "POST /v1/ids", false},
		{"key, owner is overloaded", withKey, []func(*cluster){rejectWith(domain.KindUnavailable)}, "", domain.KindUnavailable, "", true},
		{"key, answer lost", withKey, []func(*cluster){loseAnswer}, domain.OutcomeUnknown, "", "GET /v1/requests", true},
		{"key, reused", withKey, []func(*cluster){rejectWith(domain.KindKeyConflict)}, "", domain.KindKeyConflict, "", true},
		{"key, not run", withKey, []func(*cluster){rejectWith(domain.KindNotRun)}, domain.OutcomeNotRun, "", "", true},
		{"id, no owner", withID, []func(*cluster){noOwner}, domain.OutcomeUnknown, "", "POST /v1/ids", false},
		{"id, unreachable", withID, []func(*cluster){unreachable}, domain.OutcomeUnknown, "", "POST /v1/ids", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, true)
			for _, prepare := range tc.prepare {
				prepare(c)
			}
			budget := short
			if tc.reachesOwner {
				budget = long
			}
			req := service.SubmitRequest{Task: urgentTask(budget, "payload")}
			switch tc.request {
			case withKey:
				req.Key = withKey
			case withID:
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

// Guards against a request that is lost, or runs twice, when its shard changes
// its owner during the call.
func TestRequestFollowsItsShard(t *testing.T) {
	c := newCluster(t, false)
	c.nodes["a2"].submitFunc = func(context.Context, shard.Submitted) (domain.Outcome, error) {
		c.moveShard(shardOf("a", 1), "b1")
		return domain.Outcome{}, errStale
	}
	out, err := c.nodes["a1"].Router.Submit(t.Context(), service.SubmitRequest{Key: "a/1/5", Task: urgentTask(testTimeout, "p")})
	assert.NilError(t, err)
	assert.Equal(t, out.State, domain.OutcomeSucceeded)
	c.assertStartedAtMostOnce(t)
}

// Guards against a second start or a needless unknown outcome when the answer is
// lost: the connection breaks or stops delivering data after the task ran, and
// the owner stays the same or changes.
func TestLostAnswerIsLookedUp(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		for _, to := range []domain.NodeID{"a2", "b1", "a1"} {
			t.Run(fmt.Sprintf("frozen=%t/owner=%s", frozen, to), func(t *testing.T) {
				c := newCluster(t, true)
				c.nodes["a2"].submitFunc = func(_ context.Context, req shard.Submitted) (domain.Outcome, error) {
					if frozen {
						c.relays["a2"].FreezeReplies()
					} else {
						c.relays["a2"].CloseConnections()
					}
					out := c.recordStart(req.Task)
					c.moveShard(shardOf("a", 1), to)
					return out, nil
				}
				start := time.Now()
				req := service.SubmitRequest{Key: "a/1/5", Task: urgentTask(testTimeout, "p")}
				out, err := c.nodes["a1"].Router.Submit(t.Context(), req)
				assert.NilError(t, err)
				assert.Equal(t, string(out.Answer), "answer to p")
				t.Logf("resolved after %v", time.Since(start))
				c.assertStartedAtMostOnce(t)
			})
		}
	}
}

// Guards against a request without an id that fails although another shard
// could accept it.
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

// Guards against a batch submission that takes longer than CallTimeout, and
// against an accepted task whose outcome is reported as unknown.
func TestBatchAnswerComesWithinCallTimeout(t *testing.T) {
	c := newCluster(t, true)
	task := urgentTask(0, "p")
	task.Kind = domain.KindBatch
	c.nodes["a2"].submitFunc = func(_ context.Context, req shard.Submitted) (domain.Outcome, error) {
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

// Guards against accepting requests that cannot be routed, and against more
// requests in progress than the limit.
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

// Guards against wrong "not run" outcomes, second starts and swapped answers
// while connections break or stop delivering data and shards change their owners,
// in random order.
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

// Guards against sending a request after its deadline: the owner, which may reject every
// other copy, would record it as not run.
func TestRequestWithoutTimeLeftIsNotSent(t *testing.T) {
	c := newCluster(t, false)
	expired, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Millisecond))
	defer cancel()
	task := urgentTask(time.Second, "payload")
	task.ID = domain.RequestID{Shard: shardOf("a", 1), Epoch: 1, Seq: 5}
	s := &submission{r: c.nodes["a1"].Router, task: task, sendCtx: expired, answerCtx: t.Context(), retry: newRetry()}
	_, err := s.sendOnce(task)
	assert.Assert(t, notHandled(err), "%v", err)
	assert.Equal(t, len(c.outcomes), 0)
}
