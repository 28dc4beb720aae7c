package e2e

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/load"
	"github.com/basilferry/basilferry/node/workerclient"
	"github.com/basilferry/basilferry/standin/worker"
)

const (
	latencySeed = 111
	// latencyCalls is the number of direct calls of a worker that are measured.
	// Twice as many calls are measured through the nodes.
	latencyCalls   = 400
	latencyClients = 4
	latencyMillis  = 10
	renewInterval  = time.Second
)

// samples are the latencies of calls over one route to a worker.
type samples struct {
	mu   sync.Mutex
	list []time.Duration
}

func (s *samples) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, d)
}

func (s *samples) quantile(q float64) time.Duration {
	if len(s.list) == 0 {
		return 0
	}
	slices.Sort(s.list)
	return s.list[min(len(s.list)-1, int(q*float64(len(s.list))))]
}

// directWorker is a worker outside the cluster that the test calls as its owner.
type directWorker struct {
	client  *workerclient.Client
	session platform.SessionID
}

// attachDirect starts a worker, attaches to it and renews the session until the
// test ends.
func attachDirect(t *testing.T) *directWorker {
	t.Helper()
	vm := startWorker(t, "direct-w1", "direct")
	d := &directWorker{client: workerclient.New(vm.addr)}
	reply, err := d.client.Attach(t.Context(), platform.AttachRequest{Epoch: 1, Owner: "test"})
	assert.NilError(t, err)
	d.session = reply.Session
	go d.renew(t.Context(), reply.Now)
	return d
}

// renew keeps the session open until ctx ends.
func (d *directWorker) renew(ctx context.Context, echo platform.WorkerTime) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		reply, err := d.client.Renew(ctx, platform.RenewRequest{Epoch: 1, Session: d.session, Echo: echo})
		if err == nil {
			echo = reply.Now
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.client.Close()
			return
		}
	}
}

// run runs a task on the worker and checks that the answer belongs to it.
func (d *directWorker) run(ctx context.Context, task domain.Task) error {
	status, err := d.client.Run(ctx, platform.StartRequest{
		Epoch: 1, Session: d.session, Task: task, Attempt: 1, Reserved: task.Resources,
	})
	if err != nil {
		return err
	}
	if !bytes.Equal(status.Answer, worker.ExpectedAnswer(task)) {
		return fmt.Errorf("answer %q does not belong to request %s", status.Answer, task.ID)
	}
	return nil
}

// forEachConcurrently calls f with 1 to n from the given number of concurrent
// clients.
func forEachConcurrently(n, clients int, f func(i int)) {
	next := make(chan int)
	var goroutines sync.WaitGroup
	for range clients {
		goroutines.Go(func() {
			for i := range next {
				f(i)
			}
		})
	}
	for i := range n {
		next <- i + 1
	}
	close(next)
	goroutines.Wait()
}

// Measures the latency that the entry nodes add to a call of a worker, by
// route: the request enters at the owner, in the failure domain of the owner,
// or in another one, with and without an intent in the log. Guards against an
// added latency above the sum of the expected waits.
func TestAddedLatency(t *testing.T) {
	t.Logf("seed %d", latencySeed)
	c := startCluster(t, options{})
	direct := measureDirect(t)
	t.Logf("direct call of a worker: median %s, p99 %s (%d calls)",
		direct.quantile(0.5), direct.quantile(0.99), len(direct.list))
	samplesByRoute := measureRoutes(c)
	for _, name := range []string{"owner", "same domain", "other domain"} {
		for _, intent := range []bool{false, true} {
			s := samplesByRoute[route{name, intent}]
			t.Logf("entry at %s, intent %t: adds median %s, p99 %s (%d calls)", name, intent,
				s.quantile(0.5)-direct.quantile(0.5), s.quantile(0.99)-direct.quantile(0.99), len(s.list))
			assert.Check(t, len(s.list) > 20)
		}
	}
	assert.Check(t, samplesByRoute[route{"owner", false}].quantile(0.5)-direct.quantile(0.5) < maxAddedMedian)
	assert.Check(t, samplesByRoute[route{"other domain", true}].quantile(0.5)-direct.quantile(0.5) < maxAddedMedian+groupCommitInterval)
}

const (
	// maxAddedMedian bounds the latency of the hops. They take about 1 ms on an
	// idle host, and several times as long while other clusters share the
	// processors.
	maxAddedMedian = 25 * time.Millisecond
	// groupCommitInterval is the minimum time between two appends of a node; see
	// appendInterval of node/engine. An entry waits at most that long before it
	// is appended to an idle log.
	groupCommitInterval = 20 * time.Millisecond
)

// measureDirect measures direct calls of a worker.
func measureDirect(t *testing.T) *samples {
	t.Helper()
	d := attachDirect(t)
	s := &samples{}
	forEachConcurrently(latencyCalls, latencyClients, func(i int) {
		task := urgentTask(i, latencyMillis)
		task.ID = domain.RequestID{Shard: domain.ShardID{Domain: "direct"}, Epoch: 1, Seq: uint64(i)}
		began := time.Now()
		if err := d.run(t.Context(), task); err != nil {
			t.Errorf("direct call: %v", err)
		}
		s.add(time.Since(began))
	})
	return s
}

// route is where a request enters and whether it needs an intent in the log.
type route struct {
	entry  string
	intent bool
}

// measureRoutes measures requests through all nodes of the cluster, by route.
func measureRoutes(c *cluster) map[route]*samples {
	client := load.NewAPIClient(latencyClients)
	defer client.Close()
	shardOwners := c.shardOwners(c.nodes[0])
	samplesByRoute := map[route]*samples{}
	for _, name := range []string{"owner", "same domain", "other domain"} {
		samplesByRoute[route{name, false}] = &samples{}
		samplesByRoute[route{name, true}] = &samples{}
	}
	forEachConcurrently(2*latencyCalls, latencyClients, func(i int) {
		task := urgentTask(i, latencyMillis)
		task.Idempotent = i%2 == 0
		n := c.nodes[i/2%len(c.nodes)]
		began := time.Now()
		o, err := client.Submit(c.t.Context(), n.baseURL(), fmt.Sprintf("latency-%d", i), task)
		took := time.Since(began)
		if err != nil || o.State != domain.OutcomeSucceeded {
			c.t.Errorf("request %d: %+v, %v", i, o, err)
			return
		}
		task.ID = o.ID
		if !bytes.Equal(o.Answer, worker.ExpectedAnswer(task)) {
			c.t.Errorf("request %s got %q", o.ID, o.Answer)
		}
		samplesByRoute[route{entryName(n, shardOwners[o.ID.Shard]), !task.Idempotent}].add(took)
	})
	return samplesByRoute
}

// entryName names the position of the entry node relative to the owner.
func entryName(n, owner *entryNode) string {
	switch {
	case n == owner:
		return "owner"
	case n.Domain == owner.Domain:
		return "same domain"
	}
	return "other domain"
}
