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
	// keepTrying is how long a caller repeats a request that has a key while
	// it gets no outcome.
	keepTrying = 20 * time.Second
	// tryDelay separates the tries of one request.
	tryDelay = 100 * time.Millisecond
	// twinEvery makes every so manyth request, if it has a key, go to two
	// nodes at once.
	twinEvery = 10
)

// told is one outcome that a caller was given.
type told struct {
	id     domain.RequestID
	state  domain.OutcomeState
	answer []byte
	at     time.Time
}

// request is one request of a caller and all that it was told.
type request struct {
	n     int
	key   string
	task  domain.Task
	began time.Time

	mu   sync.Mutex
	told []told
	// failures are calls without an outcome after the request was sent.
	failures []error
}

func (r *request) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err)
}

// last returns the latest outcome, or a zero one.
func (r *request) last() told {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.told) == 0 {
		return told{}
	}
	return r.told[len(r.told)-1]
}

func (r *request) add(o domain.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, told{id: o.ID, state: o.State, answer: o.Answer, at: time.Now()})
}

// mix is the rate of requests and their kinds.
type mix struct {
	seed uint64
	// interval separates two requests.
	interval time.Duration
	// batchEvery and watchEvery make every so manyth request a batch task or a
	// watch; zero for none.
	batchEvery int
	watchEvery int
	// count ends the traffic; zero goes on until stop.
	count int
	// urgentMillis is the longest run time of an urgent request; the shortest
	// is 5 ms.
	urgentMillis int64
	// ignoreHealth sends to nodes whose health check fails as well, as callers
	// without a load balancer do.
	ignoreHealth bool
	// batchMillis is the longest run time of a batch task; half of it the
	// shortest.
	batchMillis int64
}

// usualMix is the load of the fault tests. Its callers do not heed the health
// check, so that more requests meet the fault.
func usualMix(seed uint64) mix {
	return mix{seed: seed, interval: 15 * time.Millisecond, batchEvery: 40, watchEvery: 400, batchMillis: 4000, urgentMillis: 120, ignoreHealth: true}
}

// traffic sends requests to the nodes in turn and keeps what it was told.
type traffic struct {
	t        *testing.T
	c        *cluster
	mix      mix
	rng      *rand.Rand
	caller   *load.APIClient
	health   *health
	stopping chan struct{}
	stopOnce sync.Once
	ran      atomic.Int64
	work     sync.WaitGroup

	mu       sync.Mutex
	requests []*request
}

// startTraffic sends the mix until stop is called or its count is reached.
func startTraffic(c *cluster, m mix) *traffic {
	c.t.Logf("seed %d", m.seed)
	tr := &traffic{
		t: c.t, c: c, mix: m,
		rng:      rand.New(rand.NewPCG(m.seed, 0)),
		caller:   load.NewAPIClient(64),
		health:   watchHealth(c, healthInterval),
		stopping: make(chan struct{}),
	}
	c.t.Cleanup(tr.end)
	tr.work.Go(tr.send)
	return tr
}

// end stops sending and waits for the answers.
func (tr *traffic) end() {
	tr.stopOnce.Do(func() { close(tr.stopping) })
	tr.work.Wait()
	tr.caller.Close()
}

// wait waits until the count of the mix is sent and answered.
func (tr *traffic) wait() {
	tr.work.Wait()
	tr.end()
}

func (tr *traffic) send() {
	ticker := time.NewTicker(tr.mix.interval)
	defer ticker.Stop()
	for n := 1; tr.mix.count == 0 || n <= tr.mix.count; n++ {
		select {
		case <-tr.stopping:
			return
		case <-ticker.C:
		}
		r := tr.next(n)
		tr.mu.Lock()
		tr.requests = append(tr.requests, r)
		tr.mu.Unlock()
		tr.work.Go(func() { tr.serve(r, 0) })
		if r.key != "" && n%twinEvery == 1 {
			tr.work.Go(func() { tr.serve(r, 1) })
		}
	}
}

// next makes the n-th request. Two of three have a key.
func (tr *traffic) next(n int) *request {
	r := &request{n: n, began: time.Now()}
	switch {
	case tr.mix.watchEvery > 0 && n%tr.mix.watchEvery == 7:
		r.task = tr.watch(n)
	case tr.mix.batchEvery > 0 && n%tr.mix.batchEvery == 3:
		r.task = tr.batch(n)
	default:
		r.task = urgentTask(n, minUrgentMillis+tr.rng.Int64N(max(1, tr.mix.urgentMillis-minUrgentMillis)))
	}
	if n%3 != 0 || r.task.Kind != domain.KindUrgent {
		r.key = fmt.Sprintf("e2e-%d-%d", tr.mix.seed, n)
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

func (tr *traffic) batch(n int) domain.Task {
	millis := tr.mix.batchMillis/2 + tr.rng.Int64N(tr.mix.batchMillis/2)
	return domain.Task{
		Kind:      domain.KindBatch,
		Class:     "schedule-build",
		Team:      domain.Team(fmt.Sprintf("branch-%d", n%4)),
		Resources: domain.Resources{CPUMilli: 1500, MemoryMiB: 1024, Slots: 1},
		Payload:   fmt.Appendf(nil, `{"duration_ms":%d,"progress_steps":40,"n":%d}`, millis, n),
	}
}

func (tr *traffic) watch(n int) domain.Task {
	return domain.Task{
		Kind:      domain.KindWatch,
		Class:     "contract-watch",
		Team:      "desk",
		Resources: domain.Resources{CPUMilli: 50, MemoryMiB: 64, Connections: 1},
		Payload:   fmt.Appendf(nil, `{"n":%d}`, n),
	}
}

// serve sends a request until it has an outcome, first to the node that is
// offset places after the one whose turn it is. A request without a key is
// sent again only if it surely reached no node.
func (tr *traffic) serve(r *request, offset int) {
	limit := r.began.Add(keepTrying)
	for try := 0; time.Now().Before(limit); try++ {
		node := tr.entry(r.n + offset + try)
		o, err := tr.caller.Submit(context.Background(), node.base(), r.key, r.task)
		if err == nil {
			r.add(o)
			tr.count(o)
			if o.State != domain.OutcomeUnknown || r.task.Kind == domain.KindUrgent {
				return
			}
		} else if !errors.Is(err, syscall.ECONNREFUSED) {
			r.fail(fmt.Errorf("%s after %s: %w", node.ID, time.Since(r.began), err))
			if r.key == "" {
				return
			}
		}
		<-time.After(tryDelay)
	}
}

// entry returns the n-th node in turn of those that are healthy.
func (tr *traffic) entry(n int) *entryNode {
	for i := range tr.c.nodes {
		node := tr.c.nodes[(n+i)%len(tr.c.nodes)]
		if tr.mix.ignoreHealth || tr.health.ok(node) {
			return node
		}
	}
	return tr.c.nodes[n%len(tr.c.nodes)]
}

func (tr *traffic) count(o domain.Outcome) {
	if o.State == domain.OutcomeSucceeded {
		tr.ran.Add(1)
	}
}

// all returns the requests that were made so far.
func (tr *traffic) all() []*request {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]*request{}, tr.requests...)
}
