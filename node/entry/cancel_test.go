package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/platform"
)

// assertDoesNotRun waits until a job that was handed in later has run, and checks that no
// task of the given one has started and that the nodes show it as cancelled.
func (c *cluster) assertDoesNotRun(id job.ID, nodes ...*testNode) {
	c.t.Helper()
	later := testJob(9999)
	assert.NilError(c.t, nodes[0].intake.Submit(context.Background(), later))
	for _, n := range nodes {
		n.awaitState(c.t, later.ID, job.StateCompleted)
		n.awaitState(c.t, id, job.StateCancelled)
	}
	for _, task := range []string{".0.0.0", ".0.0.1"} {
		assert.Equal(c.t, c.workers.StartCount(string(id)+task), 0)
	}
}

// deafStore returns no records of the requests while deaf is set.
type deafStore struct {
	platform.Store
	deaf *atomic.Bool
}

func (s deafStore) Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.ReadResult, error) {
	result, err := s.Store.Read(ctx, p, from, wait)
	if p == requestsPartition && s.deaf.Load() {
		return platform.ReadResult{}, platform.ErrRefused
	}
	return result, err
}

// A job is accepted and cancelled while the owner reads nothing, and then the history is
// dropped: the owner reads the newest record of each key, the cancellation first. Guards
// against a job that runs after its cancellation was confirmed.
func TestOwnerThatReadsACancellationBeforeItsJobDoesNotRunIt(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0)
	store := deafStore{c.store, &atomic.Bool{}}
	c.nodeStore = store
	owner := c.start("n1")
	c.owner()
	c.nodeStore = c.store
	accepting := c.start("n2")
	store.deaf.Store(true)
	ctx, cancelled := context.Background(), testJob(1)
	assert.NilError(t, accepting.intake.Submit(ctx, cancelled))
	assert.NilError(t, accepting.intake.Cancel(ctx, cancelled.ID, ""))
	assert.NilError(t, c.store.AppendAndDropHistory(requestsPartition, platform.KeyedRecord{Key: "other", Value: []byte("v")}))
	store.deaf.Store(false)
	c.waitForLog(0, `"msg":"history dropped"`)
	c.assertDoesNotRun(cancelled.ID, owner, accepting)
	assert.Assert(t, !strings.Contains(owner.log.String(), `"msg":"ownership term ended"`))
}

// lossyStore loses the appends of a kind of records: the caller gets no response, and
// carryOutLate carries them out.
type lossyStore struct {
	platform.Store
	mu    sync.Mutex
	loses jobview.Kind
	lost  []platform.Append
}

func (s *lossyStore) Append(ctx context.Context, a platform.Append) (platform.AppendResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind, _, _ := jobview.ParseKey(a.Records[0].Key); a.Partition == requestsPartition && kind == s.loses {
		s.lost = append(s.lost, a)
		return platform.AppendResult{}, errors.New("no response")
	}
	return s.Store.Append(ctx, a)
}

func (s *lossyStore) setLoses(kind jobview.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses = kind
}

func (s *lossyStore) carryOutLate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.Store.Append(context.Background(), s.lost[0])
	return err
}

// startBehind starts a node whose appends pass through a lossy store.
func (c *cluster) startBehind(store *lossyStore, name string) *testNode {
	c.t.Helper()
	c.nodeStore = store
	defer func() { c.nodeStore = c.store }()
	return c.start(name)
}

// The append of a job is lost, its client cancels the job, and the store carries the append
// out afterwards. Guards against an answer that there is no such job, after which it runs.
func TestJobThatIsStoredAfterItsCancellationDoesNotRun(t *testing.T) {
	stopOwner := func(c *cluster) {
		owner := c.owner()
		assert.NilError(c.t, owner.app.Stop(context.Background()))
		c.nodes = slices.DeleteFunc(c.nodes, func(n *testNode) bool { return n == owner })
	}
	dropHistory := func(c *cluster) {
		assert.NilError(c.t, c.store.AppendAndDropHistory(requestsPartition, platform.KeyedRecord{Key: "other", Value: []byte("v")}))
	}
	for name, betweenThem := range map[string][]func(*cluster){
		"same owner":            nil,
		"another owner":         {stopOwner},
		"history dropped":       {dropHistory},
		"another owner, reload": {dropHistory, stopOwner},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 0)
			store := &lossyStore{Store: c.store}
			accepting, asked := c.startBehind(store, "n1"), c.start("n2")
			c.start("n3")
			c.owner()
			ctx, lost := context.Background(), testJob(1)
			store.setLoses(jobview.KindJob)
			assert.Equal(t, domain.KindOf(accepting.intake.Submit(ctx, lost)), domain.KindOutcomeUnknown)
			store.setLoses(0)
			assert.Equal(t, domain.KindOf(asked.intake.Cancel(ctx, lost.ID, "")), domain.KindNotFound)
			for _, do := range betweenThem {
				do(c)
			}
			assert.NilError(t, store.carryOutLate())
			c.assertDoesNotRun(lost.ID, c.nodes...)
		})
	}
}

// The append of a cancellation is lost. Guards against an answer that there is no such job
// although nothing prevents it from running.
func TestCancellationOfUnknownJobIsNotConfirmedBeforeItIsStored(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0)
	store := &lossyStore{Store: c.store}
	n := c.startBehind(store, "n1")
	c.owner()
	store.setLoses(jobview.KindCancel)
	assert.Equal(t, domain.KindOf(n.intake.Cancel(context.Background(), testJob(1).ID, "")), domain.KindOutcomeUnknown)
	store.setLoses(0)
	assert.Equal(t, domain.KindOf(n.intake.Cancel(context.Background(), testJob(1).ID, "")), domain.KindNotFound)
}

// A client hands in a job under an id whose cancellation was answered "no such job", and
// cancels it again. Guards against a job that runs, against one that its client cannot look
// up, and against a record for each repeat of a cancellation.
func TestJobHandedInAfterItsCancellationIsACancelledJob(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.owner()
	ctx, cancelled := context.Background(), testJob(1)
	for i := range 6 {
		assert.Equal(t, domain.KindOf(c.nodes[i%2].intake.Cancel(ctx, cancelled.ID, "")), domain.KindNotFound)
	}
	_, err := c.nodes[0].intake.State(ctx, cancelled.ID, "")
	assert.Equal(t, domain.KindOf(err), domain.KindNotFound)
	stored := 0
	log, err := c.store.Read(ctx, requestsPartition, 0, 0)
	assert.NilError(t, err)
	for _, r := range log.Records {
		if r.Key == jobview.Key(jobview.KindCancel, cancelled.ID) {
			stored++
		}
	}
	assert.Equal(t, stored, 1)
	assert.NilError(t, c.nodes[0].intake.Submit(ctx, cancelled))
	c.assertDoesNotRun(cancelled.ID, c.nodes...)
	assert.NilError(t, c.nodes[1].intake.Cancel(ctx, cancelled.ID, ""))
}
