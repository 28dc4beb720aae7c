package capacity

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/policy"
	"github.com/basilferry/basilferry/node/configsync"
	"github.com/basilferry/basilferry/node/logclient"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/standin/logservice"
)

// newQuotaState returns a configuration state with n quotas, and the writer
// that made the changes.
func newQuotaState(n int) (*configlog.State, *quotaWriter, error) {
	w := &quotaWriter{teams: n}
	s := configlog.New(initialConfig())
	return s, w, w.applyChanges(s, n)
}

func initialConfig() domain.Configuration {
	return domain.Configuration{Preset: policy.DefaultPresets()[0]}
}

// quotaWriter makes quota changes. The records that it encodes form a sequence:
// each change is based on the version that the previous one made.
type quotaWriter struct {
	teams       int
	offset      platform.Offset
	changeCount int
}

func (w *quotaWriter) nextChange(base domain.Version) configlog.Change {
	w.changeCount++
	team := domain.Team(fmt.Sprintf("team-%04d", w.changeCount%w.teams))
	limit := domain.Resources{CPUMilli: 1_000_000, MemoryMiB: 4_000_000}
	return configlog.Change{
		Base: base, Operator: "operator@example", Reason: "monthly review of the limits",
		Quota: &domain.Quota{Team: team, Weight: 1 + float64(w.changeCount%10), Limit: limit},
	}
}

func (w *quotaWriter) applyChanges(s *configlog.State, changes int) error {
	records, err := w.records(changes)
	if err != nil {
		return err
	}
	for _, rec := range records {
		if d := s.Apply(rec); !d.Accepted {
			return fmt.Errorf("change %d was rejected: %v", rec.Offset, d.Err)
		}
	}
	return nil
}

// records returns the next changes as log records.
func (w *quotaWriter) records(changes int) ([]platform.Record, error) {
	var records []platform.Record
	for range changes {
		rec, err := configlog.EncodeChange(fmt.Sprintf("change-%08d", w.offset), w.nextChange(domain.Version(w.offset)))
		if err != nil {
			return nil, err
		}
		w.offset++
		rec.Offset, rec.AppendedAt = w.offset, time.Unix(0, 0)
		records = append(records, rec)
	}
	return records, nil
}

// measureApply returns the processor time of applying one change to a state with
// size quotas.
func measureApply(size float64, _ Options) (float64, error) {
	s, w, err := newQuotaState(int(size))
	if err != nil {
		return 0, err
	}
	const changes = 1000
	records, err := w.records(changes)
	if err != nil {
		return 0, err
	}
	return cpuMicros(func() {
		for _, rec := range records {
			s.Apply(rec)
		}
	}) / changes, nil
}

// measureConfigMemory returns the heap of a state with size quotas, its history
// and the decisions that it keeps to recognize repeated records.
func measureConfigMemory(size float64, _ Options) (float64, error) {
	var err error
	bytes := heapGrowth(func() any {
		s, w, e := newQuotaState(int(size))
		if e != nil {
			err = e
			return nil
		}
		const changes = 5000
		err = w.applyChanges(s, changes)
		return s
	})
	return bytes, err
}

// configHarness is a number of nodes that follow the configuration stream over
// HTTP.
type configHarness struct {
	byteCounter byteCounter
	stop        func()
	clients     []*logclient.Client
	nodes       []*configsync.Sync
	// logWriter appends to the log directly, without a connection, so that its
	// calls are not counted.
	logWriter *configsync.Sync
}

func newConfigHarness(nodes int) (*configHarness, error) {
	h := &configHarness{}
	l := logservice.New(logservice.Options{})
	base, stop, err := serveLog(&h.byteCounter, l)
	if err != nil {
		return nil, err
	}
	h.stop = stop
	for i := range nodes {
		client := logclient.New(base)
		h.clients = append(h.clients, client)
		h.nodes = append(h.nodes, h.newSync(i, client))
	}
	h.logWriter = h.newSync(nodes, l)
	for _, n := range append(h.nodes, h.logWriter) {
		n.Start(context.Background())
		for !n.LogUp() {
			time.Sleep(time.Millisecond)
		}
	}
	return h, nil
}

func (h *configHarness) newSync(i int, l platform.Log) *configsync.Sync {
	return configsync.New(configsync.Config{
		Node: domain.NodeID(fmt.Sprintf("n%03d", i)), Log: l,
		State:   configlog.New(initialConfig()),
		Encoder: configsync.Encoder{Change: configlog.EncodeChange, Snapshot: configlog.EncodeSnapshot},
		Peers:   func() []domain.NodeID { return nil },
		Fetch: func(context.Context, domain.NodeID, domain.Version) (peer.ConfigReply, error) {
			return peer.ConfigReply{}, context.Canceled
		},
		SnapshotDelay: time.Hour,
		Logger:        log.New(io.Discard),
	})
}

func (h *configHarness) close() {
	h.logWriter.Stop()
	for _, n := range h.nodes {
		n.Stop()
	}
	for _, c := range h.clients {
		c.Close()
	}
	h.stop()
}

// anyNodeBehind reports whether the version is not yet in force on some node.
func (h *configHarness) anyNodeBehind(v domain.Version) bool {
	for _, n := range h.nodes {
		if n.Current().Version < v {
			return true
		}
	}
	return false
}

// inForceTimeout is the required maximum time until a change is in force
// everywhere, at the expected load in two years (docs/design.md section 1.4).
const inForceTimeout = 11 * time.Second

// measureInForce makes several changes and returns the longest time in
// milliseconds until one was in force on all nodes.
func measureInForce(size float64, _ Options) (float64, error) {
	h, err := newConfigHarness(int(size))
	if err != nil {
		return 0, err
	}
	defer h.close()
	w := &quotaWriter{teams: 10}
	longest := time.Duration(0)
	for range 5 {
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
		d, err := h.logWriter.Propose(ctx, w.nextChange(h.logWriter.Current().Version))
		if err != nil {
			cancel()
			return 0, err
		}
		for h.anyNodeBehind(d.Version) && sleepContext(ctx, time.Millisecond) {
		}
		cancel()
		longest = max(longest, time.Since(start))
	}
	return float64(longest) / float64(time.Millisecond), nil
}

// measureConfigStream measures one node that reads configuration changes made
// at a rate of size per second.
func measureConfigStream(size float64, o Options) (resourceUse, error) {
	h, err := newConfigHarness(1)
	if err != nil {
		return resourceUse{}, err
	}
	defer h.close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w := &quotaWriter{teams: 1000}
		var mu sync.Mutex
		runPoissonArrivals(ctx, size, func() {
			// Each change is based on the version that the previous one made.
			mu.Lock()
			defer mu.Unlock()
			_, _ = h.logWriter.Propose(ctx, w.nextChange(h.logWriter.Current().Version))
		})
	}()
	s := h.byteCounter.measureUse(o)
	cancel()
	<-done
	return s, nil
}

// measureRelay returns the time in milliseconds until a version that only one
// node has is known to all nodes through pings alone: the longest time over up
// to 12 nodes that start with the version. Time is virtual; a ping takes one
// step.
func measureRelay(size float64, _ Options) (float64, error) {
	h := newRelayHarness(int(size))
	longest := time.Duration(0)
	for start := range min(len(h.nodes), 12) {
		longest = max(longest, h.timeToReachAll(start))
	}
	return float64(longest) / float64(time.Millisecond), nil
}

// relayStep is the step of the virtual time of relayHarness.
const relayStep = 50 * time.Millisecond

// relayNodesPerDomain is the number of nodes per failure domain in
// relayHarness.
const relayNodesPerDomain = 3

// relayHarness simulates the pings between the membership states of all nodes
// in virtual time.
type relayHarness struct {
	nodes  []membership.Node
	states []*membership.State
	index  map[domain.NodeID]int
	now    membership.Instant
}

func newRelayHarness(domains int) *relayHarness {
	h := &relayHarness{index: map[domain.NodeID]int{}}
	var names []domain.FailureDomain
	for d := range domains {
		name := domain.FailureDomain(fmt.Sprintf("d%02d", d))
		names = append(names, name)
		for n := range relayNodesPerDomain {
			id := domain.NodeID(fmt.Sprintf("%s-n%d", name, n))
			h.index[id] = len(h.nodes)
			h.nodes = append(h.nodes, membership.Node{ID: id, Domain: name})
		}
	}
	for _, n := range h.nodes {
		c := membership.Config{Self: n.ID, Domains: names, Nodes: h.nodes}
		h.states = append(h.states, membership.New(c, 0))
	}
	return h
}

// ownedShards returns the shards that node i owns: the first two nodes of a
// domain own one shard each.
func (h *relayHarness) ownedShards(i int) []membership.ShardReport {
	if i%relayNodesPerDomain == relayNodesPerDomain-1 {
		return nil
	}
	s := domain.ShardID{Domain: h.nodes[i].Domain, Index: i % relayNodesPerDomain}
	return []membership.ShardReport{{Shard: s, Epoch: 1, Ready: true, FreeSlots: 100}}
}

// timeToReachAll advances the virtual time until all nodes know a version that
// only one node knows at first, and returns how long that takes. It gives up
// after one minute.
func (h *relayHarness) timeToReachAll(from int) time.Duration {
	knows := make([]bool, len(h.nodes))
	knows[from] = true
	start := h.now
	for known := 1; known < len(knows) && h.now-start < time.Minute; {
		h.now += relayStep
		learned := h.sendDuePings(knows)
		for _, i := range learned {
			if !knows[i] {
				knows[i] = true
				known++
			}
		}
	}
	return h.now - start
}

// sendDuePings sends the pings that are due and returns the nodes that learn
// the version from them. Both ends of a ping report their version.
func (h *relayHarness) sendDuePings(knows []bool) []int {
	var learned []int
	for i := range h.nodes {
		// The nodes send their pings at different times within a second.
		phase := relayStep * time.Duration(i*7%20)
		for _, j := range h.duePingTargets(i, h.now+phase) {
			h.states[i].Step(h.now, membership.Answered{From: h.nodes[j].ID, OwnedShards: h.ownedShards(j)})
			if knows[j] {
				learned = append(learned, i)
			}
			if knows[i] {
				learned = append(learned, j)
			}
		}
	}
	return learned
}

// duePingTargets returns the nodes that node i pings now. phased is the virtual
// time plus the phase of the node.
func (h *relayHarness) duePingTargets(i int, phased time.Duration) []int {
	var duePingTargets []int
	if phased%peer.OwnDomainPingInterval == 0 {
		for _, id := range h.states[i].LocalPeers() {
			duePingTargets = append(duePingTargets, h.index[id])
		}
	}
	if phased%membership.RemotePingInterval == 0 {
		for _, id := range h.states[i].RemotePeers(h.now) {
			duePingTargets = append(duePingTargets, h.index[id])
		}
	}
	return duePingTargets
}

// measureMembership returns the processor time of one second of membership on
// one node: answered pings, log reads, and the view that the shard state
// machines use.
func measureMembership(size float64, _ Options) (float64, error) {
	h := newRelayHarness(int(size) / relayNodesPerDomain)
	h.timeToReachAll(0)
	const seconds = 10
	s := h.states[0]
	return cpuMicros(func() {
		for end := h.now + seconds*time.Second; h.now < end; {
			h.now += relayStep
			for _, j := range h.duePingTargets(0, h.now) {
				s.Step(h.now, membership.Answered{From: h.nodes[j].ID, OwnedShards: h.ownedShards(j)})
			}
			s.Step(h.now, membership.LogRead{OK: true, SentAt: h.now})
			s.ReachableShards(h.now)
			s.Isolated(h.now)
		}
	}) / seconds, nil
}

func configQuantities() []Quantity {
	const day = 24 * time.Hour
	perSecond := TwoYearTarget.ConfigChangesPerDay / day.Seconds()
	quotas := []float64{100, 300, 1000}
	teams := func(Topology) float64 { return TwoYearTarget.Teams }
	nodes := Topology.Nodes
	rate := func(Topology) float64 { return perSecond }
	stream := newSharedRuns(measureConfigStream)
	apply := Quantity{Name: "config/apply-cpu", Mechanism: "core/configlog Apply", Size: "quotas", Unit: "us/change", Resource: CPU, Sizes: quotas, QuickSizes: quickSizes, Measure: measureApply, At: teams, Multiplier: rate}
	memory := Quantity{Name: "config/memory", Mechanism: "core/configlog State with its history", Size: "quotas", Unit: "B", Resource: Memory, Sizes: quotas, QuickSizes: quickSizes, Measure: measureConfigMemory, At: teams}
	bytes := Quantity{Name: "config/stream-bytes", Mechanism: "node/configsync follow over node/logclient", Size: "changes/s", Unit: "B/s", Resource: Network, Sizes: []float64{4, 16, 64}, QuickSizes: []float64{4, 8, 16}, Measure: stream.quantity(bytesOf), At: rate}
	cpu := bytes
	cpu.Name, cpu.Unit, cpu.Resource, cpu.Measure = "config/stream-cpu", "us/s, both ends", CPU, stream.quantity(cpuOf)
	inForce := Quantity{Name: "config/in-force-log", Mechanism: "node/configsync follow", Size: "nodes", Unit: "ms", Resource: Other, Sizes: []float64{15, 30, 60}, QuickSizes: []float64{2, 4, 8}, Measure: measureInForce, At: nodes}
	relay := Quantity{Name: "config/in-force-relay", Mechanism: "node/peer pings alone, virtual time", Size: "domains", Unit: "ms", Resource: Other, Sizes: []float64{5, 10, 20}, QuickSizes: []float64{3, 4, 5}, Measure: measureRelay, At: func(Topology) float64 { return TwoYearTarget.Domains }}
	members := Quantity{Name: "membership/cpu", Mechanism: "core/membership, 3 nodes a domain", Size: "nodes", Unit: "us/s", Resource: CPU, Sizes: []float64{15, 30, 60}, QuickSizes: []float64{6, 9, 15}, Measure: measureMembership, At: nodes}
	quantities := []Quantity{apply, memory, bytes, cpu, inForce, relay, members}
	for i := range quantities {
		quantities[i].Role = "every node"
	}
	return quantities
}
