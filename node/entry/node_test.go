package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/node/dispatcher"
	"github.com/basilferry/basilferry/node/intake"
	"github.com/basilferry/basilferry/node/internal/testport"
	"github.com/basilferry/basilferry/standin/fleet"
)

// cluster runs several nodes with a shared store and shared workers in one process.
type cluster struct {
	t       *testing.T
	store   *fleet.Store
	workers *fleet.Workers
	nodes   []*testNode
	// nodeStore is the store of the nodes' own records.
	nodeStore platform.Store
	// operatorStore is the store from which nodes read the operator's records.
	operatorStore platform.Store
	// decodeConfig decodes the operator's configuration; nil for version 1 with one route.
	decodeConfig func(platform.KeyedRecord) (platform.OperatorChange, error)
}

type testNode struct {
	app    *fx.App
	intake *intake.Intake
	log    *lockedBuffer
	// requests is the URL for client requests.
	requests string
	// statesRead counts the records of the states partition that the node has read.
	statesRead atomic.Int64
}

// countingStore counts the records of states that a node reads.
type countingStore struct {
	platform.Store
	count *atomic.Int64
}

func (n *testNode) reads(store platform.Store) platform.Store {
	return countingStore{store, &n.statesRead}
}

func (s countingStore) Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.ReadResult, error) {
	result, err := s.Store.Read(ctx, p, from, wait)
	if p == statesPartition {
		s.count.Add(int64(len(result.Records)))
	}
	return result, err
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

var (
	requestsPartition = platform.Partition{Topic: "own", Part: 0}
	statesPartition   = platform.Partition{Topic: "own", Part: 1}
	pulsePartition    = platform.Partition{Topic: "own", Part: 2}
	registryPartition = platform.Partition{Topic: "registry"}
	operatorPartition = platform.Partition{Topic: "operator"}
)

// panickingKey is the key of a record that the decoders of the test cluster panic on,
// and panickingPayload the payload of a job that the client of the workers panics on.
const panickingKey, panickingPayload = "odd", "odd"

type panickingWorkers struct{ platform.WorkerClient }

func (w panickingWorkers) Start(ctx context.Context, to platform.Endpoint, command platform.StartCommand) (time.Duration, error) {
	if command.Payload == panickingPayload {
		panic("odd payload")
	}
	return w.WorkerClient.Start(ctx, to, command)
}

const testTaskDuration = 300 * time.Millisecond

func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	ids := []domain.WorkerID{"w1", "w2"}
	c := &cluster{t: t, store: fleet.NewStore(), workers: fleet.NewWorkers(ids, testTaskDuration)}
	c.nodeStore, c.operatorStore = c.store, c.store
	c.write(operatorPartition, platform.KeyedRecord{Key: "config", Value: []byte("{}")})
	for _, id := range ids {
		c.write(registryPartition, platform.KeyedRecord{Key: string(id), Value: []byte("{}")})
	}
	for i := range nodes {
		c.start(fmt.Sprintf("n%d", i+1))
	}
	return c
}

func (c *cluster) write(p platform.Partition, r platform.KeyedRecord) {
	c.t.Helper()
	_, err := c.store.Append(context.Background(), platform.Append{Partition: p, Records: []platform.KeyedRecord{r}})
	assert.NilError(c.t, err)
}

func (c *cluster) start(name string) *testNode {
	c.t.Helper()
	return c.startWith(name, func(*Settings) {})
}

// startWith starts a node with changed settings.
func (c *cluster) startWith(name string, change func(*Settings)) *testNode {
	c.t.Helper()
	s := defaultSettings()
	change(&s)
	s.Node.Name, s.Node.Domain = name, "north"
	ports := testport.FreeAddresses(c.t, 2)
	s.Listen.Requests, s.Listen.Readiness = ports[0], ports[1]
	s.Store.Address = "unused"
	s.Stop.GraceS = 4
	n := &testNode{log: &lockedBuffer{}, requests: "http://" + s.Listen.Requests}
	n.app = New(s, "", Platform{
		Platform: dispatcher.Platform{
			Store: n.reads(c.nodeStore), WorkerClient: panickingWorkers{c.workers}, Requests: requestsPartition, States: statesPartition, Pulse: pulsePartition, Registry: registryPartition,
			DecodeEntry: func(r platform.KeyedRecord) (platform.RegistryEntry, error) {
				if r.Key == panickingKey {
					panic("odd entry")
				}
				return platform.RegistryEntry{
					ID: domain.WorkerID(r.Key), Address: "a", Service: "desk", Domain: "north",
					Capacity: domain.Resources{CPUMilli: 4000, MemoryMiB: 4000}, Labels: []string{"a", "r1"}, StartedUnixMS: fleet.IncarnationID,
				}, nil
			},
		},
		Operator: operatorPartition, OperatorStore: c.operatorStore,
		DecodeOperatorRecord: func(r platform.KeyedRecord) (platform.OperatorChange, error) {
			if r.Key == panickingKey {
				panic("odd record")
			}
			if zone, ok := strings.CutPrefix(r.Key, "evacuate/"); ok {
				return platform.OperatorChange{Evacuate: domain.FailureDomain(zone), Removed: len(r.Value) == 0}, nil
			}
			if c.decodeConfig != nil {
				return c.decodeConfig(r)
			}
			return platform.OperatorChange{Config: &platform.OperatorConfig{
				Version: 1, Routes: []platform.Route{{Queue: testQueue, Host: "h", PathPrefix: "/"}},
			}}, nil
		},
		Ingress: func(jobs *intake.Intake, _ func() bool) http.Handler {
			n.intake = jobs
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { panic("odd request " + r.URL.Path) })
		},
	}, n.log)
	assert.NilError(c.t, n.app.Start(context.Background()))
	c.t.Cleanup(func() { _ = n.app.Stop(context.Background()) })
	c.nodes = append(c.nodes, n)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if n.intake.Ready() {
			return poll.Success()
		}
		return poll.Continue("node %s is not ready", name)
	}, poll.WithTimeout(10*time.Second))
	return n
}

var testQueue = job.Queue{Route: "checks", Service: "desk", MaxAttempts: 3, Stretch: 1.5, Objective: time.Second}

func testJob(number int) *job.Job {
	step := job.Step{Count: 2, Need: domain.Resources{CPUMilli: 500, MemoryMiB: 10}, Estimate: testTaskDuration}
	second := step
	second.DependsOn = []int{0}
	return &job.Job{ID: job.ID(fmt.Sprintf("%016x", number)), Payload: "text", Queue: testQueue, Steps: []job.Step{step, second}}
}

func (n *testNode) awaitState(t *testing.T, id job.ID, want job.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got, err := n.intake.State(context.Background(), id, "")
		if err == nil && got == want {
			return poll.Success()
		}
		return poll.Continue("job %s is %s (%v)", id, got, err)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// Guards against a break anywhere on the path of a job: one node accepts it, the owner
// runs it, and every node reports its state.
func TestJobCompletesAndEveryNodeReportsIt(t *testing.T) {
	c := newCluster(t, 3)
	for i, n := range c.nodes {
		assert.NilError(t, n.intake.Submit(context.Background(), testJob(i)))
	}
	for i := range c.nodes {
		for _, n := range c.nodes {
			n.awaitState(t, testJob(i).ID, job.StateCompleted)
		}
	}
	assert.DeepEqual(t, c.workers.OverlappingTasks(), []string(nil))
	assert.Equal(t, c.workers.StartCount("0000000000000000.0.1.1"), 1)
}

// Guards against work that is lost or executed twice after a planned stop of the owner
// and lost responses of the store.
func TestJobsCompleteAfterOwnerStops(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 6 {
		assert.NilError(t, c.nodes[i%3].intake.Submit(context.Background(), testJob(i)))
	}
	c.store.DropResponses(3)
	owner := c.owner()
	assert.NilError(t, owner.app.Stop(context.Background()))
	for _, n := range c.nodes {
		if n == owner {
			continue
		}
		for i := range 6 {
			n.awaitState(t, testJob(i).ID, job.StateCompleted)
		}
	}
	assert.DeepEqual(t, c.workers.OverlappingTasks(), []string(nil))
}

// owner waits until a node schedules and returns it.
func (c *cluster) owner() *testNode {
	c.t.Helper()
	var owner *testNode
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, n := range c.nodes {
			if strings.Contains(n.log.String(), `"msg":"scheduling started"`) {
				owner = n
				return poll.Success()
			}
		}
		return poll.Continue("no node schedules yet")
	}, poll.WithTimeout(10*time.Second))
	return owner
}

// Guards against accepting a job, or reporting an unknown outcome for it, while the
// store is unavailable. The job must be refused and must never run.
func TestStoreOutageRefusesJobs(t *testing.T) {
	c := newCluster(t, 1)
	n := c.nodes[0]
	c.owner()
	c.store.SetUnavailable(true)
	err := n.intake.Submit(context.Background(), testJob(7))
	assert.Equal(t, domain.KindOf(err), domain.KindNotRun)
	c.store.SetUnavailable(false)
	assert.NilError(t, n.intake.Submit(context.Background(), testJob(8)))
	n.awaitState(t, testJob(8).ID, job.StateCompleted)
	_, err = n.intake.State(context.Background(), testJob(7).ID, "")
	assert.Equal(t, domain.KindOf(err), domain.KindNotFound)
	assert.Equal(t, c.workers.StartCount("0000000000000007.0.0.0"), 0)
}

// Guards against a job that is accepted although it is too large: for the store, after which
// no state of it can be stored, or for the memory of a node.
func TestTooLargeJobsAreRefusedAndNeverRun(t *testing.T) {
	c := newCluster(t, 0)
	n := c.startWith("n1", func(s *Settings) { s.Store.RecordBytes = 2000 })
	c.owner()
	repeated, wide := testJob(7), testJob(8)
	repeated.Steps = repeated.Steps[:1]
	repeated.Steps[0].Count, repeated.Repeat = job.MaxTasks, job.Repeat{Count: 5, IntervalMS: 1}
	for range 50 {
		wide.Steps = append(wide.Steps, wide.Steps[0])
	}
	for _, j := range []*job.Job{repeated, wide} {
		assert.NilError(t, j.Validate())
		err := n.intake.Submit(context.Background(), j)
		assert.Equal(t, domain.KindOf(err), domain.KindNotRun)
		assert.Equal(t, domain.AsError(err).RetryAfter, time.Duration(0))
		_, err = n.intake.State(context.Background(), j.ID, "")
		assert.Equal(t, domain.KindOf(err), domain.KindNotFound)
	}
}

// Guards against log lines that are not JSON, and against a request without a log
// line.
func TestEachRequestIsLogged(t *testing.T) {
	c := newCluster(t, 1)
	assert.NilError(t, c.nodes[0].intake.Submit(context.Background(), testJob(1)))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(c.nodes[0].log.String(), `"msg":"accept"`) {
			return poll.Success()
		}
		return poll.Continue("the request has not been logged yet")
	})
	decoder := json.NewDecoder(strings.NewReader(c.nodes[0].log.String()))
	for {
		var line map[string]any
		err := decoder.Decode(&line)
		if err == io.EOF {
			return
		}
		assert.NilError(t, err)
		assert.Assert(t, line["node"] == "n1" && line["msg"] != "")
	}
}

// Guards against accepting settings with an invalid or missing field.
func TestInvalidSettingsAreRejected(t *testing.T) {
	good := `{ // a comment
		"node": {"name": "n1", "failure_domain": "north"}, "listen": {"requests": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
		"store": {"address": "127.0.0.1:3"}, "later_field": {}}`
	_, err := parseSettings([]byte(good))
	assert.NilError(t, err)
	for change, want := range map[string]string{
		`"n1"`:                   "",
		`"127.0.0.1:3"`:          "",
		`"later_field": {}`:      `"ownership": {"renew_ms": 2000}`,
		`"later_field": {}}`:     `"later_field": {}`,
		`"later_field"`:          `"accounts": {"strict_revoke": true}, "later_field"`,
		`"failure_domain": "no`:  `"failure_domain": 7, "x": "no`,
		`"readiness": "127.0.0.`: `"other": "127.0.0.`,
	} {
		if want == "" {
			want = `""`
		}
		_, err := parseSettings([]byte(strings.Replace(good, change, want, 1)))
		assert.Equal(t, domain.KindOf(err), domain.KindBadRequest, "%s", change)
	}
}

// Guards against a node that starts although its address is in use.
func TestStartFailsWhenAddressIsInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	s := defaultSettings()
	s.Node.Name, s.Node.Domain, s.Store.Address = "n1", "north", "unused"
	s.Listen.Requests, s.Listen.Readiness = l.Addr().String(), testport.FreeAddresses(t, 1)[0]
	app := New(s, "", Platform{
		Platform: dispatcher.Platform{Store: fleet.NewStore()},
		Ingress:  func(*intake.Intake, func() bool) http.Handler { return http.NotFoundHandler() },
	}, io.Discard)
	assert.ErrorContains(t, app.Start(context.Background()), "cannot listen on")
}

// Guards against a dead owner that is never replaced because the log is idle. A read
// that returns no records must still count as a read of the log to its end; otherwise
// the owner timeout never passes and jobs are lost.
func TestDeadOwnerIsReplacedWhileTheLogIsIdle(t *testing.T) {
	c := newCluster(t, 0)
	deadOwner := ownership.Record{Kind: ownership.KindClaim, Node: "dead", Incarnation: 1}
	value, err := deadOwner.Encode()
	assert.NilError(t, err)
	c.write(requestsPartition, platform.KeyedRecord{Key: jobview.OwnerKey, Value: value})
	c.start("n1")
	c.owner()
}

// Guards against an evacuation that never ends because the record that removes it
// was in a dropped part of the history.
func TestEvacuationEndsWhenItsRemovalIsInDroppedHistory(t *testing.T) {
	c := newCluster(t, 1)
	c.write(operatorPartition, platform.KeyedRecord{Key: "evacuate/north", Value: []byte("{}")})
	c.waitForLog(0, `"failure_domain":"north","out":true`)
	assert.NilError(t, c.store.AppendAndDropHistory(operatorPartition, platform.KeyedRecord{Key: "evacuate/north"}))
	c.waitForLog(0, `"failure_domain":"north","out":false`)
}

// Guards against a node that shows a job for ever, and runs it again as the next owner,
// because the record that removes it was in a dropped part of the history.
func TestJobRemovedInDroppedHistoryIsForgotten(t *testing.T) {
	c := newCluster(t, 1)
	removed := testJob(1)
	removed.Queue.Route, removed.Queue.Service = "removed", "none"
	value, err := ledger.EncodeJob(removed)
	assert.NilError(t, err)
	key := jobview.Key(jobview.KindJob, removed.ID)
	c.write(requestsPartition, platform.KeyedRecord{Key: key, Value: value})
	c.nodes[0].awaitState(t, removed.ID, job.StatePending)
	assert.NilError(t, c.store.AppendAndDropHistory(requestsPartition, platform.KeyedRecord{Key: key}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := c.nodes[0].intake.State(context.Background(), removed.ID, ""); domain.KindOf(err) == domain.KindNotFound {
			return poll.Success()
		}
		return poll.Continue("the job is still known")
	}, poll.WithTimeout(5*time.Second))
}

// waitForLog waits until a line of the node's log contains text.
func (c *cluster) waitForLog(node int, text string) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if strings.Contains(c.nodes[node].log.String(), text) {
			return poll.Success()
		}
		return poll.Continue("no line with %s", text)
	}, poll.WithTimeout(5*time.Second))
}

func onSmallLink(s *Settings) { s.Machine.LinkMbps = 20 }

// Many nodes on small links beside an owner that stores a state for each change of a
// task. Guards against nodes that read all states, which fills their links and takes
// the store's read capacity from the owner, and against an owner that reads back what
// it has written.
func TestNodesOnSmallLinksAnswerWithoutReadingStates(t *testing.T) {
	c := newCluster(t, 0)
	owner := c.startWith("n1", func(*Settings) {})
	c.owner()
	for i := range 3 {
		c.startWith(fmt.Sprintf("small-%d", i), onSmallLink)
	}
	for i := range 8 {
		assert.NilError(t, c.nodes[i%4].intake.Submit(context.Background(), testJob(i)))
	}
	for i := range 8 {
		for _, n := range c.nodes {
			n.awaitState(t, testJob(i).ID, job.StateCompleted)
		}
	}
	for _, n := range c.nodes[1:] {
		assert.Equal(t, n.statesRead.Load(), int64(0))
	}
	stored, err := c.store.Read(context.Background(), statesPartition, 0, 0)
	assert.NilError(t, err)
	assert.Assert(t, owner.statesRead.Load() < int64(len(stored.Records))/2, "%d of %d", owner.statesRead.Load(), len(stored.Records))
}

// slowRequestsStore delays each append to the requests, as a store does that performs the
// appends of hundreds of nodes one by one while it is slow.
type slowRequestsStore struct {
	platform.Store
	delay *atomic.Int64
}

func (s slowRequestsStore) Append(ctx context.Context, a platform.Append) (platform.AppendResult, error) {
	if a.Partition == requestsPartition {
		time.Sleep(time.Duration(s.delay.Load()))
	}
	return s.Store.Append(ctx, a)
}

// The appends to the requests take longer than the owner timeout, while the owner is well.
// Guards against nodes on small links that see no renewal and claim ownership together.
func TestSlowRequestsDoNotReplaceAnOwnerThatIsWell(t *testing.T) {
	c := newCluster(t, 0)
	slow := slowRequestsStore{c.store, &atomic.Int64{}}
	c.nodeStore = slow
	c.startWith("n1", func(*Settings) {})
	c.owner()
	for i := range 2 {
		c.startWith(fmt.Sprintf("small-%d", i), onSmallLink)
	}
	slow.delay.Store(int64(4 * time.Second))
	time.Sleep(5 * time.Second) // Twice the owner timeout with all claim delays.
	for _, n := range c.nodes[1:] {
		assert.Assert(t, !strings.Contains(n.log.String(), `"msg":"claiming ownership"`), n.log.String())
	}
	slow.delay.Store(0)
}

// The only node that followed the states leaves while jobs run. Guards against a node on
// a small link that cannot take over, that loses what the states say, or that executes a
// task twice.
func TestNodeOnSmallLinkTakesOver(t *testing.T) {
	c := newCluster(t, 0)
	owner := c.startWith("n1", func(*Settings) {})
	c.owner()
	small := c.startWith("small", onSmallLink)
	for i := range 6 {
		assert.NilError(t, small.intake.Submit(context.Background(), testJob(i)))
	}
	small.awaitState(t, testJob(0).ID, job.StateActive)
	assert.NilError(t, owner.app.Stop(context.Background()))
	for i := range 6 {
		small.awaitState(t, testJob(i).ID, job.StateCompleted)
	}
	assert.DeepEqual(t, c.workers.OverlappingTasks(), []string(nil))
	for i := range 6 {
		assert.Equal(t, c.workers.StartCount(fmt.Sprintf("%016x.0.0.0", i)), 1)
	}
}

// One odd record, command or request of each kind. Guards against an unexpected error
// that ends the process, or that stops the work that has nothing to do with it.
func TestUnexpectedErrorEndsOnlyWhatItOccursIn(t *testing.T) {
	c := newCluster(t, 1)
	n := c.nodes[0]
	c.owner()
	odd := platform.KeyedRecord{Key: panickingKey, Value: []byte("{}")}
	c.write(operatorPartition, odd)
	c.write(registryPartition, odd)
	oddJob := testJob(1)
	oddJob.Payload = panickingPayload
	assert.NilError(t, n.intake.Submit(context.Background(), oddJob))
	_, err := http.Get(n.requests + "/odd")
	assert.ErrorContains(t, err, "EOF")
	for _, in := range []string{`"in":"apply record"`, `"in":"command"`, `"in":"request"`} {
		c.waitForLog(0, in)
	}
	c.write(operatorPartition, platform.KeyedRecord{Key: "evacuate/south", Value: []byte("{}")})
	c.waitForLog(0, `"failure_domain":"south","out":true`)
	assert.NilError(t, n.intake.Submit(context.Background(), testJob(2)))
	n.awaitState(t, testJob(2).ID, job.StateCompleted)
	assert.NilError(t, n.intake.Cancel(context.Background(), oddJob.ID, ""))
}

// pagedStore returns the newest records in pages of one record, and the second page only
// after a delay.
type pagedStore struct {
	platform.Store
	delay time.Duration
}

func (s pagedStore) ReadNewest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	page, err := s.Store.ReadNewest(ctx, p, "")
	if err != nil {
		return page, err
	}
	if after != "" {
		time.Sleep(s.delay)
	}
	for i, r := range page.Records {
		if r.Key > after {
			page.Records, page.More = page.Records[i:i+1], i+1 < len(page.Records)
			return page, nil
		}
	}
	page.Records = nil
	return page, nil
}

// All nodes restart while a failure domain is evacuated and the store answers slowly.
// Guards against a new process that has read the configuration but not yet the
// evacuation, and starts tasks in the domain.
func TestRestartedNodeStartsNothingInEvacuatedDomain(t *testing.T) {
	c := newCluster(t, 0)
	c.write(operatorPartition, platform.KeyedRecord{Key: "evacuate/north", Value: []byte("{}")})
	c.operatorStore = pagedStore{c.store, 1500 * time.Millisecond}
	n := c.start("n1")
	assert.NilError(t, n.intake.Submit(context.Background(), testJob(1)))
	c.waitForLog(0, `"failure_domain":"north","out":true`)
	time.Sleep(500 * time.Millisecond) // A start that was prepared would be sent by now.
	assert.Equal(t, c.workers.StartCount("0000000000000001.0.0.0"), 0)
	c.write(operatorPartition, platform.KeyedRecord{Key: "evacuate/north"})
	n.awaitState(t, testJob(1).ID, job.StateCompleted)
}

// watchedStore reports each complete read of the requests, and can refuse all reads.
type watchedStore struct {
	platform.Store
	// read receives the number of records of each read of the requests.
	read    chan int
	refuses *atomic.Bool
}

func (s watchedStore) Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.ReadResult, error) {
	if s.refuses.Load() {
		return platform.ReadResult{}, platform.ErrRefused
	}
	result, err := s.Store.Read(ctx, p, from, wait)
	if p == requestsPartition && err == nil {
		select {
		case s.read <- len(result.Records):
		default:
		}
	}
	return result, err
}

// startWatched starts a node whose reads are reported.
func (c *cluster) startWatched(name string) (*testNode, watchedStore) {
	c.t.Helper()
	watched := watchedStore{c.store, make(chan int, 1000), &atomic.Bool{}}
	c.nodeStore = watched
	defer func() { c.nodeStore = c.store }()
	return c.start(name), watched
}

// awaitRead waits until a read of the requests that returned records is complete.
func (s watchedStore) awaitRead(t *testing.T) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case records := <-s.read:
			if records > 0 {
				return
			}
		case <-timeout:
			t.Fatal("no read returned records")
		}
	}
}

// One node accepts a job right after another node has read the requests; the client then
// asks the other node. Guards against answers that there is no such job, after which the
// job runs although its client has taken the cancellation as settled.
func TestAcceptedJobIsKnownToANodeThatReadBeforeIt(t *testing.T) {
	c := newCluster(t, 1)
	accepting := c.nodes[0]
	c.owner()
	asked, watched := c.startWatched("n2")
	ctx := context.Background()
	for i, ask := range []func(job.ID) error{
		func(id job.ID) error { return asked.intake.Cancel(ctx, id, "") },
		func(id job.ID) error { _, err := asked.intake.State(ctx, id, ""); return err },
		func(id job.ID) error { return asked.intake.Cancel(ctx, id, "") },
	} {
		// The node pauses after the first read, and reads again after the pause.
		for part := range 2 {
			assert.NilError(t, accepting.intake.Submit(ctx, testJob(100*i+part+1)))
			watched.awaitRead(t)
		}
		accepted := testJob(100*i + 50)
		assert.NilError(t, accepting.intake.Submit(ctx, accepted))
		assert.NilError(t, ask(accepted.ID), "request %d", i)
		if i != 1 {
			accepting.awaitState(t, accepted.ID, job.StateCancelled)
		}
	}
}

// Guards against a node that says that a job does not exist although it has just lost the
// store and cannot know of jobs that were accepted since.
func TestNodeWithoutStoreDoesNotSayThatAJobDoesNotExist(t *testing.T) {
	c := newCluster(t, 1)
	c.owner()
	asked, watched := c.startWatched("n2")
	ctx := context.Background()
	for part := range 2 {
		assert.NilError(t, c.nodes[0].intake.Submit(ctx, testJob(part+1)))
		watched.awaitRead(t)
	}
	watched.refuses.Store(true)
	accepted := testJob(50)
	assert.NilError(t, c.nodes[0].intake.Submit(ctx, accepted))
	assert.Equal(t, domain.KindOf(asked.intake.Cancel(ctx, accepted.ID, "")), domain.KindUnavailable)
	_, err := asked.intake.State(ctx, accepted.ID, "")
	assert.Equal(t, domain.KindOf(err), domain.KindUnavailable)
	watched.refuses.Store(false)
	assert.NilError(t, asked.intake.Cancel(ctx, accepted.ID, ""))
}

// Many clients ask for jobs that do not exist. Guards against a read of the store for each
// of them: the nodes share the store's reads, and each read is charged for.
func TestRequestsForUnknownJobsShareReads(t *testing.T) {
	c := newCluster(t, 1)
	c.owner()
	asked, watched := c.startWatched("n2")
	before, start := len(watched.read), time.Now()
	var clients sync.WaitGroup
	for client := range 50 {
		clients.Go(func() {
			for i := range 10 {
				_, err := asked.intake.State(context.Background(), testJob(1000*client+i).ID, "")
				assert.Check(t, domain.KindOf(err) == domain.KindNotFound, "%v", err)
			}
		})
	}
	clients.Wait()
	const readsPerSecond = 20
	allowed := 10 + int(time.Since(start).Seconds()*readsPerSecond)
	assert.Assert(t, len(watched.read)-before <= allowed, "%d reads, %d allowed", len(watched.read)-before, allowed)
}

// A submission arrives again at a node that does not know the job yet, once as it is and
// once after its cancellation. Guards against a second job, and against a repeat that
// revives a cancelled one.
func TestRepeatedSubmissionAtAnotherNodeIsOneJob(t *testing.T) {
	c := newCluster(t, 1)
	c.owner()
	other, watched := c.startWatched("n2")
	ctx := context.Background()
	runs, cancelled := testJob(50), testJob(51)
	for part := range 2 {
		assert.NilError(t, c.nodes[0].intake.Submit(ctx, testJob(part+1)))
		watched.awaitRead(t)
	}
	assert.NilError(t, c.nodes[0].intake.Submit(ctx, runs))
	assert.NilError(t, other.intake.Submit(ctx, testJob(50)))
	assert.NilError(t, c.nodes[0].intake.Submit(ctx, cancelled))
	assert.NilError(t, c.nodes[0].intake.Cancel(ctx, cancelled.ID, ""))
	assert.NilError(t, other.intake.Submit(ctx, testJob(51)))
	for _, n := range c.nodes {
		n.awaitState(t, runs.ID, job.StateCompleted)
		n.awaitState(t, cancelled.ID, job.StateCancelled)
	}
	assert.Equal(t, c.workers.StartCount(string(runs.ID)+".0.0.0"), 1)
	assert.DeepEqual(t, c.workers.OverlappingTasks(), []string(nil))
}
