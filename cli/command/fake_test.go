package command

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/basilferry/basilferry/core/burn"
	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/policy"
	"github.com/basilferry/basilferry/node/burnreport"
	"github.com/basilferry/basilferry/node/httpapi"
	"github.com/basilferry/basilferry/node/service"
	"github.com/basilferry/basilferry/node/settings"
)

var (
	testID   = domain.RequestID{Shard: domain.ShardID{Domain: "volos", Index: 1}, Epoch: 3, Seq: 9}
	testTime = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
)

// fakeCluster implements the service behind all nodes of a test. The version of
// its configuration is 11; a change with another base is rejected.
type fakeCluster struct {
	mu      sync.Mutex
	submits []service.SubmitRequest
	changes []configlog.Change
	outcome domain.Outcome
	err     error
	config  domain.Configuration
	history []configlog.Decision
	nodes   []service.NodeStatus
	missing []domain.FailureDomain
	// provisional makes Change return a provisional take-out.
	provisional bool
	// lookup and listNodes, if set, replace the results of Lookup and Nodes.
	lookup    func() domain.Outcome
	listNodes func() []service.NodeStatus
}

func newFakeCluster() *fakeCluster {
	quota := domain.Quota{Team: "lending", Weight: 2, Limit: domain.Resources{CPUMilli: 64000, Slots: 40}}
	takenOut := domain.FailureDomain("larissa")
	inForce := domain.Configuration{
		Version:    11,
		Preset:     policy.DefaultPresets()[0],
		TakeOuts:   []domain.TakeOut{{Domain: takenOut, Since: 11, Operator: "eleni", Reason: "switch repair"}},
		Quotas:     []domain.Quota{quota},
		AppendedAt: testTime,
	}
	conflict := &domain.Error{Kind: domain.KindVersionConflict, Message: "the change is based on version 7 but version 9 is in force", Remedy: "read the configuration again and send the change with its version as base"}
	return &fakeCluster{
		outcome: domain.Outcome{ID: testID, State: domain.OutcomeSucceeded, Answer: []byte("approved"), Worker: "w3", Attempt: 1},
		config:  inForce,
		history: []configlog.Decision{
			{Version: 11, RecordID: "r11", Accepted: true, InForce: 11, Change: configlog.Change{Base: 9, Operator: "eleni", Reason: "switch repair", TakeOut: &takenOut}},
			{Version: 10, RecordID: "r10", InForce: 9, Err: conflict, Change: configlog.Change{Base: 7, Operator: "petros", Preset: &inForce.Preset}},
			{Version: 9, RecordID: "r9", Accepted: true, InForce: 9, Change: configlog.Change{Base: 7, Operator: "eleni", Quota: &quota}},
		},
		nodes: []service.NodeStatus{
			{ID: "larissa1", Domain: "larissa", Address: "10.0.1.1:8080", Live: true, ConfigVersion: 11, Shards: []domain.ShardID{{Domain: "larissa"}, {Domain: "larissa", Index: 1}}, LogUp: true},
			{ID: "volos1", Domain: "volos", Address: "10.0.2.1:8080", Live: true, ConfigVersion: 11, Shards: []domain.ShardID{{Domain: "volos", Index: 1}}, LogUp: true},
		},
	}
}

func (f *fakeCluster) submitted() []service.SubmitRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.submits)
}

func (f *fakeCluster) requestedChanges() []configlog.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.changes)
}

func (f *fakeCluster) ReserveIDs(_ context.Context, n int) ([]domain.RequestID, error) {
	ids := make([]domain.RequestID, n)
	for i := range ids {
		ids[i] = testID
		ids[i].Seq += uint64(i)
	}
	return ids, f.err
}

func (f *fakeCluster) Submit(_ context.Context, req service.SubmitRequest) (domain.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submits = append(f.submits, req)
	return f.outcome, f.err
}

func (f *fakeCluster) Lookup(context.Context, domain.RequestID) (domain.Outcome, error) {
	if f.lookup != nil {
		return f.lookup(), f.err
	}
	return f.outcome, f.err
}

func (f *fakeCluster) Cancel(context.Context, domain.RequestID) (domain.Outcome, error) {
	return f.outcome, f.err
}

func (f *fakeCluster) RequestIDForKey(string) domain.RequestID { return testID }

func (f *fakeCluster) Explain(context.Context, domain.RequestID) ([]explain.Entry, error) {
	return []explain.Entry{
		{At: testTime, Node: "volos1", Reason: "admitted: expected 12ms of 900ms"},
		{At: testTime.Add(2 * time.Millisecond), Node: "volos1", Reason: "placed on w3: most free slots"},
	}, f.err
}

func (f *fakeCluster) Configuration() domain.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *fakeCluster) History(limit int) []configlog.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history[:min(limit, len(f.history))]
}

func (f *fakeCluster) Change(_ context.Context, change configlog.Change, _ time.Duration) (service.ChangeResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, change)
	if f.provisional {
		return service.ChangeResult{Decision: configlog.Decision{Change: change, InForce: f.config.Version}, Provisional: true,
			InForce: []domain.NodeID{"volos1"}, Missing: []domain.NodeID{"larissa1"}}, nil
	}
	d := configlog.Decision{Version: f.history[0].Version + 1, RecordID: "r", Change: change, Accepted: change.Base == f.config.Version}
	if d.Accepted {
		f.config.Version = d.Version
	} else {
		d.Err = &domain.Error{Kind: domain.KindVersionConflict, Message: "the change is based on an old version", Remedy: "read the configuration again"}
	}
	d.InForce = f.config.Version
	f.history = append([]configlog.Decision{d}, f.history...)
	return service.ChangeResult{Decision: d, InForce: []domain.NodeID{"volos1"}}, f.err
}

// Nodes returns the nodes; the live ones have the version in force.
func (f *fakeCluster) Nodes(context.Context) ([]service.NodeStatus, error) {
	if f.listNodes != nil {
		return f.listNodes(), nil
	}
	return f.nodesAt(f.Configuration().Version), f.err
}

func (f *fakeCluster) nodesAt(v domain.Version) []service.NodeStatus {
	nodes := slices.Clone(f.nodes)
	for i := range nodes {
		if nodes[i].Live {
			nodes[i].ConfigVersion = v
		}
	}
	return nodes
}

func (f *fakeCluster) Workers(context.Context) ([]service.WorkerStatus, []domain.FailureDomain, error) {
	whole := domain.Resources{CPUMilli: 16000, MemoryMiB: 32768, Slots: 8, Connections: 64}
	used := domain.Resources{CPUMilli: 4500, MemoryMiB: 4096, Slots: 3, Connections: 7}
	return []service.WorkerStatus{
		{ID: "w1", Domain: "larissa", Rack: "r1", Shard: domain.ShardID{Domain: "larissa"}, State: "attached", Capacity: whole},
		{ID: "w3", Domain: "volos", Rack: "r1", Shard: domain.ShardID{Domain: "volos", Index: 1}, State: "attached", Capacity: whole, Reserved: used, Tasks: 3},
		{ID: "w4", Domain: "volos", Rack: "r2", Shard: domain.ShardID{Domain: "volos"}, State: "lost", Capacity: whole, Reserved: used, Tasks: 3},
	}, f.missing, f.err
}

// burnReport returns a report with one bad event among four urgent requests. With
// an error budget of 0.1, that is a burn rate of 2.5.
func (f *fakeCluster) burnReport() burn.Report {
	r := burn.NewRecorder([]burn.Objective{{Kind: domain.KindUrgent, Target: 0.9, Latency: time.Second}, {Kind: domain.KindWatch, Target: 0.5}})
	r.Record(testTime, domain.KindUrgent, burn.Bad)
	for range 3 {
		r.Record(testTime, domain.KindUrgent, burn.Good)
	}
	return burn.Evaluate(r.Snapshot(testTime))
}

// serve starts a node of the cluster and returns its URL. If wrap is not nil, it
// wraps the handler of the API.
func (f *fakeCluster) serve(t *testing.T, wrap func(http.Handler) http.Handler) string {
	h := httpapi.New(httpapi.Config{
		Requests:      f,
		Operations:    f,
		Limits:        settings.Limits{MaxBodyBytes: 1 << 20, MaxDeadline: settings.Duration(time.Minute), MaxInFlight: 8},
		OperatorToken: "secret",
		Burn:          burnreport.Handler(f.burnReport),
	}).Handler()
	if wrap != nil {
		h = wrap(h)
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// dropPOSTResponses returns a handler that processes POST requests but drops
// their responses.
func dropPOSTResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// corruptResponses returns a handler that changes one byte of each response that
// contains the outcome state "ran". The checksum header is not changed.
func corruptResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(bytes.Replace(recorder.Body.Bytes(), []byte("ran"), []byte("ram"), 1))
	})
}

// unreachableNodeURL returns a URL that refuses connections.
func unreachableNodeURL() string {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	return s.URL
}

// syncBuffer is a buffer that can be read while a command writes to it.
type syncBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// invocation is one invocation of the command line.
type invocation struct {
	in       string
	out, err syncBuffer
	// progressInterval is Env.ProgressInterval; zero means no progress lines.
	progressInterval time.Duration
}

// run runs a command line whose words are separated by spaces.
func (r *invocation) run(t *testing.T, nodes []string, line string) int {
	t.Setenv("BASILFERRY_NODES", strings.Join(nodes, ","))
	t.Setenv("BASILFERRY_TOKEN", "secret")
	t.Setenv("BASILFERRY_OPERATOR", "anna")
	env := Env{In: strings.NewReader(r.in), Out: &r.out, Err: &r.err, PollInterval: time.Millisecond, ProgressInterval: cmp.Or(r.progressInterval, time.Hour)}
	return Run(t.Context(), append([]string{"basilferry"}, strings.Fields(line)...), env)
}
