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

// newQuotaState returns a state with n quotas, and the writer that made them.
func newQuotaState(n int) (*configlog.State, *quotaWriter, error) {
	w := &quotaWriter{teams: n}
	s := configlog.New(initialConfig())
	return s, w, w.applyChanges(s, n)
}

func initialConfig() domain.Configuration {
	return domain.Configuration{Preset: policy.DefaultPresets()[0]}
}

// quotaWriter makes changes of quotas that follow on each other.
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

// records returns the next changes, each based on the one before.
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

// measureApply returns the processor time of one change.
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

// measureConfigMemory measures a state with its history and repeated ids.
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

// configHarness is a number of nodes that follow the config stream over HTTP.
type configHarness struct {
	byteCounter byteCounter
	stop        func()
	clients     []*logclient.Client
	nodes       []*configsync.Sync
	// logWriter reaches the log without a connection, so that its calls are not
	// counted.
	logWriter *configsync.Sync
}

func newConfigHarness(nodes int) (*configHarness, error) {
	g := &configHarness{}
	l := logservice.New(logservice.Options{})
	base, stop, err := serveLog(&g.byteCounter, l)
	if err != nil {
		return nil, err
	}
	g.stop = stop
	for i := range nodes {
		client := logclient.New(base)
		g.clients = append(g.clients, client)
		g.nodes = append(g.nodes, g.newSync(i, client))
	}
	g.logWriter = g.newSync(nodes, l)
	for _, n := range append(g.nodes, g.logWriter) {
		n.Start(context.Background())
		for !n.LogUp() {
			time.Sleep(time.Millisecond)
		}
	}
	return g, nil
}

func (g *configHarness) newSync(i int, l platform.Log) *configsync.Sync {
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

func (g *configHarness) close() {
	g.logWriter.Stop()
	for _, n := range g.nodes {
		n.Stop()
	}
	for _, c := range g.clients {
		c.Close()
	}
	g.stop()
}

// anyNodeBehind reports whether a node has yet to put the version in force.
func (g *configHarness) anyNodeBehind(v domain.Version) bool {
	for _, n := range g.nodes {
		if n.Current().Version < v {
			return true
		}
	}
	return false
}

// inForceTimeout is the bound of the two-year size.
const inForceTimeout = 11 * time.Second

// measureInForce returns the longest time in milliseconds until a change is in
// force on all nodes.
func measureInForce(size float64, _ Options) (float64, error) {
	g, err := newConfigHarness(int(size))
	if err != nil {
		return 0, err
	}
	defer g.close()
	w := &quotaWriter{teams: 10}
	longest := time.Duration(0)
	for range 5 {
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
		d, err := g.logWriter.Propose(ctx, w.nextChange(g.logWriter.Current().Version))
		if err != nil {
			cancel()
			return 0, err
		}
		for g.anyNodeBehind(d.Version) && sleepContext(ctx, time.Millisecond) {
		}
		cancel()
		longest = max(longest, time.Since(start))
	}
	return float64(longest) / float64(time.Millisecond), nil
}

// measureConfigStream lets one node read changes at a rate.
func measureConfigStream(size float64, o Options) (resourceUse, error) {
	g, err := newConfigHarness(1)
	if err != nil {
		return resourceUse{}, err
	}
	defer g.close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w := &quotaWriter{teams: 1000}
		var mu sync.Mutex
		runPoissonArrivals(ctx, size, func() {
			// A change needs the version that the one before it made.
			mu.Lock()
			defer mu.Unlock()
			_, _ = g.logWriter.Propose(ctx, w.nextChange(g.logWriter.Current().Version))
		})
	}()
	s := g.byteCounter.measureUse(o)
	cancel()
	<-done
	return s, nil
}

// measureRelay returns the longest time in milliseconds, over the starting
// nodes, until a version that one node has is known to all by pings alone. Time
// is virtual; a ping takes one step.
func measureRelay(size float64, _ Options) (float64, error) {
	g := newRelayHarness(int(size))
	longest := time.Duration(0)
	for start := range min(len(g.nodes), 12) {
		longest = max(longest, g.timeToReachAll(start))
	}
	return float64(longest) / float64(time.Millisecond), nil
}

// relayStep is the resolution of the virtual time.
const relayStep = 50 * time.Millisecond

// relayNodesPerDomain is the number of nodes of a domain in the relay rig.
const relayNodesPerDomain = 3

type relayHarness struct {
	nodes  []membership.Node
	states []*membership.State
	index  map[domain.NodeID]int
	now    membership.Instant
}

func newRelayHarness(domains int) *relayHarness {
	g := &relayHarness{index: map[domain.NodeID]int{}}
	var names []domain.FailureDomain
	for d := range domains {
		name := domain.FailureDomain(fmt.Sprintf("d%02d", d))
		names = append(names, name)
		for n := range relayNodesPerDomain {
			id := domain.NodeID(fmt.Sprintf("%s-n%d", name, n))
			g.index[id] = len(g.nodes)
			g.nodes = append(g.nodes, membership.Node{ID: id, Domain: name})
		}
	}
	for _, n := range g.nodes {
		c := membership.Config{Self: n.ID, Domains: names, Nodes: g.nodes}
		g.states = append(g.states, membership.New(c, 0))
	}
	return g
}

// ownedShards are what a node owns: the first two of a domain own a shard each.
func (g *relayHarness) ownedShards(i int) []membership.ShardReport {
	if i%relayNodesPerDomain == relayNodesPerDomain-1 {
		return nil
	}
	s := domain.ShardID{Domain: g.nodes[i].Domain, Index: i % relayNodesPerDomain}
	return []membership.ShardReport{{Shard: s, Epoch: 1, Ready: true, FreeSlots: 100}}
}

// timeToReachAll lets time pass until all nodes know what one node knows.
func (g *relayHarness) timeToReachAll(from int) time.Duration {
	knows := make([]bool, len(g.nodes))
	knows[from] = true
	start := g.now
	for known := 1; known < len(knows) && g.now-start < time.Minute; {
		g.now += relayStep
		learned := g.sendDuePings(knows)
		for _, i := range learned {
			if !knows[i] {
				knows[i] = true
				known++
			}
		}
	}
	return g.now - start
}

// sendDuePings makes the pings that are due and returns the nodes that hear news. Both
// ends of a ping tell their version.
func (g *relayHarness) sendDuePings(knows []bool) []int {
	var learned []int
	for i := range g.nodes {
		phase := relayStep * time.Duration(i*7%20)
		for _, j := range g.duePingTargets(i, g.now+phase) {
			g.states[i].Step(g.now, membership.Answered{From: g.nodes[j].ID, OwnedShards: g.ownedShards(j)})
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

func (g *relayHarness) duePingTargets(i int, phased time.Duration) []int {
	var duePingTargets []int
	if phased%peer.OwnDomainPingInterval == 0 {
		for _, id := range g.states[i].LocalPeers() {
			duePingTargets = append(duePingTargets, g.index[id])
		}
	}
	if phased%membership.FarPingInterval == 0 {
		for _, id := range g.states[i].RemotePeers(g.now) {
			duePingTargets = append(duePingTargets, g.index[id])
		}
	}
	return duePingTargets
}

// measureMembership returns the processor time of one second of membership on
// one node: pings, log reads and the view for the machines.
func measureMembership(size float64, _ Options) (float64, error) {
	g := newRelayHarness(int(size) / relayNodesPerDomain)
	g.timeToReachAll(0)
	const seconds = 10
	s := g.states[0]
	return cpuMicros(func() {
		for end := g.now + seconds*time.Second; g.now < end; {
			g.now += relayStep
			for _, j := range g.duePingTargets(0, g.now) {
				s.Step(g.now, membership.Answered{From: g.nodes[j].ID, OwnedShards: g.ownedShards(j)})
			}
			s.Step(g.now, membership.LogRead{OK: true, SentAt: g.now})
			s.ReachableShards(g.now)
			s.Isolated(g.now)
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
	force := Quantity{Name: "config/in-force-log", Mechanism: "node/configsync follow", Size: "nodes", Unit: "ms", Resource: Other, Sizes: []float64{15, 30, 60}, QuickSizes: []float64{2, 4, 8}, Measure: measureInForce, At: nodes}
	relay := Quantity{Name: "config/in-force-relay", Mechanism: "node/peer pings alone, virtual time", Size: "domains", Unit: "ms", Resource: Other, Sizes: []float64{5, 10, 20}, QuickSizes: []float64{3, 4, 5}, Measure: measureRelay, At: func(Topology) float64 { return TwoYearTarget.Domains }}
	members := Quantity{Name: "membership/cpu", Mechanism: "core/membership, 3 nodes a domain", Size: "nodes", Unit: "us/s", Resource: CPU, Sizes: []float64{15, 30, 60}, QuickSizes: []float64{6, 9, 15}, Measure: measureMembership, At: nodes}
	lines := []Quantity{apply, memory, bytes, cpu, force, relay, members}
	for i := range lines {
		lines[i].Role = "every node"
	}
	return lines
}
