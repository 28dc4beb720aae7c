package e2e

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/load"
)

const (
	urgentDeadline  = 3 * time.Second
	minUrgentMillis = 5
	// retryDuration is how long a client may send a request again; see
	// sendUntilOutcome.
	retryDuration = 20 * time.Second
	// retryDelay is the time between two sends of the same request.
	retryDelay = 100 * time.Millisecond
	// duplicateEvery makes every n-th request, if it has an idempotency key, go to
	// two nodes concurrently.
	duplicateEvery = 10
)

// outcome is one outcome that a client received.
type outcome struct {
	id         domain.RequestID
	state      domain.OutcomeState
	answer     []byte
	receivedAt time.Time
}

// request is one request of a client with all outcomes that it received.
type request struct {
	n         int
	key       string
	task      domain.Task
	startedAt time.Time

	mu      sync.Mutex
	outcome []outcome
	// failures are the errors of calls that returned no outcome, without those
	// whose connection was refused.
	failures []error
}

func (r *request) addFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err)
}

// lastOutcome returns the latest outcome, or the zero value if there is none.
func (r *request) lastOutcome() outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.outcome) == 0 {
		return outcome{}
	}
	return r.outcome[len(r.outcome)-1]
}

func (r *request) addOutcome(o domain.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome = append(r.outcome, outcome{id: o.ID, state: o.State, answer: o.Answer, receivedAt: time.Now()})
}

// workload specifies the rate, the kinds and the run times of the requests.
type workload struct {
	seed uint64
	// interval is the time between two requests.
	interval time.Duration
	// batchEvery and watchEvery make every n-th request a batch task or a
	// watch. Zero sends none.
	batchEvery int
	watchEvery int
	// count is the number of requests. Zero sends requests until stop is
	// called.
	count int
	// urgentMillis is the longest run time of an urgent request. The shortest is
	// minUrgentMillis.
	urgentMillis int64
	// ignoreHealth also sends requests to nodes whose health check fails, as
	// clients without a load balancer do.
	ignoreHealth bool
	// batchMillis is the longest run time of a batch task. The shortest is half
	// of it.
	batchMillis int64
}

// faultWorkload returns the workload of the fault tests. Its clients ignore the
// health check, so that more requests are affected by the fault.
func faultWorkload(seed uint64) workload {
	return workload{seed: seed, interval: 15 * time.Millisecond, batchEvery: 40, watchEvery: 400, batchMillis: 4000, urgentMillis: 120, ignoreHealth: true}
}

// traffic sends requests to the nodes round robin and records the outcomes.
type traffic struct {
	t            *testing.T
	c            *cluster
	workload     workload
	rng          *rand.Rand
	client       *load.APIClient
	healthChecks *healthChecks
	stopping     chan struct{}
	stopOnce     sync.Once
	succeeded    atomic.Int64
	goroutines   sync.WaitGroup

	mu       sync.Mutex
	requests []*request
}

// startTraffic sends the requests of the workload until stop is called or its
// count is reached.
func startTraffic(c *cluster, m workload) *traffic {
	c.t.Logf("seed %d", m.seed)
	tr := &traffic{
		t: c.t, c: c, workload: m,
		rng:          rand.New(rand.NewPCG(m.seed, 0)),
		client:       load.NewAPIClient(64),
		healthChecks: startHealthChecks(c, healthInterval),
		stopping:     make(chan struct{}),
	}
	c.t.Cleanup(tr.stop)
	tr.goroutines.Go(tr.send)
	return tr
}

// stop stops sending and waits for the outcomes of all requests.
func (tr *traffic) stop() {
	tr.stopOnce.Do(func() { close(tr.stopping) })
	tr.goroutines.Wait()
	tr.client.Close()
}

// awaitAll waits until all requests of the workload are sent and have their
// outcomes.
func (tr *traffic) awaitAll() {
	tr.goroutines.Wait()
	tr.stop()
}

func (tr *traffic) send() {
	ticker := time.NewTicker(tr.workload.interval)
	defer ticker.Stop()
	for n := 1; tr.workload.count == 0 || n <= tr.workload.count; n++ {
		select {
		case <-tr.stopping:
			return
		case <-ticker.C:
		}
		r := tr.newRequest(n)
		tr.mu.Lock()
		tr.requests = append(tr.requests, r)
		tr.mu.Unlock()
		tr.goroutines.Go(func() { tr.sendUntilOutcome(r, 0) })
		if r.key != "" && n%duplicateEvery == 1 {
			tr.goroutines.Go(func() { tr.sendUntilOutcome(r, 1) })
		}
	}
}

// newRequest returns the n-th request. Two of three urgent requests have an
// idempotency key.
func (tr *traffic) newRequest(n int) *request {
	r := &request{n: n, startedAt: time.Now()}
	switch {
	case tr.workload.watchEvery > 0 && n%tr.workload.watchEvery == 7:
		r.task = tr.watchTask(n)
	case tr.workload.batchEvery > 0 && n%tr.workload.batchEvery == 3:
		r.task = tr.batchTask(n)
	default:
		r.task = urgentTask(n, minUrgentMillis+tr.rng.Int64N(max(1, tr.workload.urgentMillis-minUrgentMillis)))
	}
	if n%3 != 0 || r.task.Kind != domain.KindUrgent {
		r.key = fmt.Sprintf("e2e-%d-%d", tr.workload.seed, n)
	}
	return r
}

func urgentTask(n int, millis int64) domain.Task {
	return domain.Task{
		Kind:      domain.KindUrgent,
		Class:     "credit-check",
		Team:      domain.Team(fmt.Sprintf("branch-%d", n%4)),
		Resources: domain.Resources{CPUMilli: 500, MemoryMiB: 256, Slots: 1, Connections: 1},
		Deadline:  urgentDeadline,
		Payload:   fmt.Appendf(nil, `{"duration_ms":%d,"n":%d}`, millis, n),
	}
}

func (tr *traffic) batchTask(n int) domain.Task {
	millis := tr.workload.batchMillis/2 + tr.rng.Int64N(tr.workload.batchMillis/2)
	return domain.Task{
		Kind:      domain.KindBatch,
		Class:     "schedule-build",
		Team:      domain.Team(fmt.Sprintf("branch-%d", n%4)),
		Resources: domain.Resources{CPUMilli: 1500, MemoryMiB: 1024, Slots: 1},
		Payload:   fmt.Appendf(nil, `{"duration_ms":%d,"progress_steps":40,"n":%d}`, millis, n),
	}
}

func (tr *traffic) watchTask(n int) domain.Task {
	return domain.Task{
		Kind:      domain.KindWatch,
		Class:     "contract-watch",
		Team:      "desk",
		Resources: domain.Resources{CPUMilli: 50, MemoryMiB: 64, Connections: 1},
		Payload:   fmt.Appendf(nil, `{"n":%d}`, n),
	}
}

// sendUntilOutcome sends a request until it has an outcome, which for batch tasks
// and watches must not be unknown, or until retryDuration has passed. The first
// send goes to the node that is offset places after the next one in round robin
// order. A request without a key is sent again only if it certainly reached no
// node.
func (tr *traffic) sendUntilOutcome(r *request, offset int) {
	giveUpAt := r.startedAt.Add(retryDuration)
	for sends := 0; time.Now().Before(giveUpAt); sends++ {
		node := tr.nextNode(r.n + offset + sends)
		o, err := tr.client.Submit(context.Background(), node.baseURL(), r.key, r.task)
		if err == nil {
			r.addOutcome(o)
			tr.countSuccess(o)
			if o.State != domain.OutcomeUnknown || r.task.Kind == domain.KindUrgent {
				return
			}
		} else if !errors.Is(err, syscall.ECONNREFUSED) {
			r.addFailure(fmt.Errorf("%s after %s: %w", node.ID, time.Since(r.startedAt), err))
			if r.key == "" {
				return
			}
		}
		<-time.After(retryDelay)
	}
}

// nextNode returns the n-th node in round robin order, skipping unhealthy
// nodes.
func (tr *traffic) nextNode(n int) *entryNode {
	for i := range tr.c.nodes {
		node := tr.c.nodes[(n+i)%len(tr.c.nodes)]
		if tr.workload.ignoreHealth || tr.healthChecks.isHealthy(node) {
			return node
		}
	}
	return tr.c.nodes[n%len(tr.c.nodes)]
}

func (tr *traffic) countSuccess(o domain.Outcome) {
	if o.State == domain.OutcomeSucceeded {
		tr.succeeded.Add(1)
	}
}

// allRequests returns the requests sent so far.
func (tr *traffic) allRequests() []*request {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]*request{}, tr.requests...)
}
