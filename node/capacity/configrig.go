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

// quotaState returns a state with n quotas, and the writer that made them.
func quotaState(n int) (*configlog.State, *quotaWriter, error) {
	w := &quotaWriter{teams: n}
	s := configlog.New(initialConfig())
	return s, w, w.apply(s, n)
}

func initialConfig() domain.Configuration {
	return domain.Configuration{Preset: policy.DefaultPresets()[0]}
}

// quotaWriter makes changes of quotas that follow on each other.
type quotaWriter struct {
	teams  int
	offset platform.Offset
	made   int
}

func (w *quotaWriter) change(base domain.Version) configlog.Change {
	w.made++
	team := domain.Team(fmt.Sprintf("team-%04d", w.made%w.teams))
	limit := domain.Resources{CPUMilli: 1_000_000, MemoryMiB: 4_000_000}
	return configlog.Change{
		Base: base, Operator: "operator@example", Reason: "monthly review of the limits",
		Quota: &domain.Quota{Team: team, Weight: 1 + float64(w.made%10), Limit: limit},
	}
}

func (w *quotaWriter) apply(s *configlog.State, changes int) error {
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
		rec, err := configlog.EncodeChange(fmt.Sprintf("change-%08d", w.offset), w.change(domain.Version(w.offset)))
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
	s, w, err := quotaState(int(size))
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
	bytes := heapBytes(func() any {
		s, w, e := quotaState(int(size))
		if e != nil {
			err = e
			return nil
		}
		const changes = 5000
		err = w.apply(s, changes)
		return s
	})
	return bytes, err
}

// configRig is a number of nodes that follow the config stream over HTTP.
type configRig struct {
	counter counter
	stop    func()
	clients []*logclient.Client
	nodes   []*configsync.Sync
	// writer reaches the log without a connection, so that its calls are not
	// counted.
	writer *configsync.Sync
}

func newConfigRig(nodes int) (*configRig, error) {
	g := &configRig{}
	l := logservice.New(logservice.Options{})
	base, stop, err := serveLog(&g.counter, l)
	if err != nil {
		return nil, err
	}
	g.stop = stop
	for i := range nodes {
		client := logclient.New(base)
		g.clients = append(g.clients, client)
		g.nodes = append(g.nodes, g.node(i, client))
	}
	g.writer = g.node(nodes, l)
	for _, n := range append(g.nodes, g.writer) {
		n.Start(context.Background())
		for !n.LogUp() {
			time.Sleep(time.Millisecond)
		}
	}
	return g, nil
}

func (g *configRig) node(i int, l platform.Log) *configsync.Sync {
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

func (g *configRig) close() {
	g.writer.Stop()
	for _, n := range g.nodes {
		n.Stop()
	}
	for _, c := range g.clients {
		c.Close()
	}
	g.stop()
}

// behind reports whether a node has yet to put the version in force.
func (g *configRig) behind(v domain.Version) bool {
	for _, n := range g.nodes {
		if n.Current().Version < v {
			return true
		}
	}
	return false
}

// forceLimit is the bound of the two-year size.
const forceLimit = 11 * time.Second

// measureInForce returns the longest time in milliseconds until a change is in
// force on all nodes.
func measureInForce(size float64, _ Options) (float64, error) {
	g, err := newConfigRig(int(size))
	if err != nil {
		return 0, err
	}
	defer g.close()
	w := &quotaWriter{teams: 10}
	longest := time.Duration(0)
	for range 5 {
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), forceLimit)
		d, err := g.writer.Propose(ctx, w.change(g.writer.Current().Version))
		if err != nil {
			cancel()
			return 0, err
		}
		for g.behind(d.Version) && pause(ctx, time.Millisecond) {
		}
		cancel()
		longest = max(longest, time.Since(start))
	}
	return float64(longest) / float64(time.Millisecond), nil
}

// measureConfigStream lets one node read changes at a rate.
func measureConfigStream(size float64, o Options) (spent, error) {
	g, err := newConfigRig(1)
	if err != nil {
		return spent{}, err
	}
	defer g.close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w := &quotaWriter{teams: 1000}
		var mu sync.Mutex
		arrivals(ctx, size, func() {
			// A change needs the version that the one before it made.
			mu.Lock()
			defer mu.Unlock()
			_, _ = g.writer.Propose(ctx, w.change(g.writer.Current().Version))
		})
	}()
	s := g.counter.over(o)
	cancel()
	<-done
	return s, nil
}

// measureRelay returns the longest time in milliseconds, over the starting
// nodes, until a version that one node has is known to all by pings alone. Time
// is virtual; a ping takes one step.
func measureRelay(size float64, _ Options) (float64, error) {
	g := newRelayRig(int(size))
	longest := time.Duration(0)
	for start := range min(len(g.nodes), 12) {
		longest = max(longest, g.spread(start))
	}
	return float64(longest) / float64(time.Millisecond), nil
}

// relayStep is the resolution of the virtual time.
const relayStep = 50 * time.Millisecond

// relayNodes is the number of nodes of a domain in the relay rig.
const relayNodes = 3

type relayRig struct {
	nodes  []membership.Node
	states []*membership.State
	index  map[domain.NodeID]int
	now    membership.Instant
}

func newRelayRig(domains int) *relayRig {
	g := &relayRig{index: map[domain.NodeID]int{}}
	var names []domain.FailureDomain
	for d := range domains {
		name := domain.FailureDomain(fmt.Sprintf("d%02d", d))
		names = append(names, name)
		for n := range relayNodes {
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

// holdings are what a node owns: the first two of a domain own a shard each.
func (g *relayRig) holdings(i int) []membership.ShardReport {
	if i%relayNodes == relayNodes-1 {
		return nil
	}
	s := domain.ShardID{Domain: g.nodes[i].Domain, Index: i % relayNodes}
	return []membership.ShardReport{{Shard: s, Epoch: 1, Ready: true, FreeSlots: 100}}
}

// spread lets time pass until all nodes know what one node knows.
func (g *relayRig) spread(from int) time.Duration {
	knows := make([]bool, len(g.nodes))
	knows[from] = true
	start := g.now
	for known := 1; known < len(knows) && g.now-start < time.Minute; {
		g.now += relayStep
		learned := g.pings(knows)
		for _, i := range learned {
			if !knows[i] {
				knows[i] = true
				known++
			}
		}
	}
	return g.now - start
}

// pings makes the pings that are due and returns the nodes that hear news. Both
// ends of a ping tell their version.
func (g *relayRig) pings(knows []bool) []int {
	var learned []int
	for i := range g.nodes {
		phase := relayStep * time.Duration(i*7%20)
		for _, j := range g.targets(i, g.now+phase) {
			g.states[i].Step(g.now, membership.Answered{From: g.nodes[j].ID, OwnedShards: g.holdings(j)})
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

func (g *relayRig) targets(i int, phased time.Duration) []int {
	var targets []int
	if phased%peer.OwnDomainPingInterval == 0 {
		for _, id := range g.states[i].NearPeers() {
			targets = append(targets, g.index[id])
		}
	}
	if phased%membership.FarPingInterval == 0 {
		for _, id := range g.states[i].FarPeers(g.now) {
			targets = append(targets, g.index[id])
		}
	}
	return targets
}

// measureMembership returns the processor time of one second of membership on
// one node: pings, log reads and the view for the machines.
func measureMembership(size float64, _ Options) (float64, error) {
	g := newRelayRig(int(size) / relayNodes)
	g.spread(0)
	const seconds = 10
	s := g.states[0]
	return cpuMicros(func() {
		for end := g.now + seconds*time.Second; g.now < end; {
			g.now += relayStep
			for _, j := range g.targets(0, g.now) {
				s.Step(g.now, membership.Answered{From: g.nodes[j].ID, OwnedShards: g.holdings(j)})
			}
			s.Step(g.now, membership.LogRead{OK: true, SentAt: g.now})
			s.ReachableShards(g.now)
			s.Isolated(g.now)
		}
	}) / seconds, nil
}

func configLines() []Line {
	const day = 24 * time.Hour
	perSecond := TwoYears.ConfigPerDay / day.Seconds()
	quotas := []float64{100, 300, 1000}
	teams := func(Topology) float64 { return TwoYears.Teams }
	nodes := Topology.Nodes
	rate := func(Topology) float64 { return perSecond }
	stream := newMemo(measureConfigStream)
	apply := Line{Name: "config/apply-cpu", Mechanism: "core/configlog Apply", Size: "quotas", Unit: "us/change", Resource: CPU, Sizes: quotas, QuickSizes: quickSizes, Measure: measureApply, At: teams, Times: rate}
	memory := Line{Name: "config/memory", Mechanism: "core/configlog State with its history", Size: "quotas", Unit: "B", Resource: Memory, Sizes: quotas, QuickSizes: quickSizes, Measure: measureConfigMemory, At: teams}
	bytes := Line{Name: "config/stream-bytes", Mechanism: "node/configsync follow over node/logclient", Size: "changes/s", Unit: "B/s", Resource: Network, Sizes: []float64{4, 16, 64}, QuickSizes: []float64{4, 8, 16}, Measure: stream.line(bytesOf), At: rate}
	cpu := bytes
	cpu.Name, cpu.Unit, cpu.Resource, cpu.Measure = "config/stream-cpu", "us/s, both ends", CPU, stream.line(cpuOf)
	force := Line{Name: "config/in-force-log", Mechanism: "node/configsync follow", Size: "nodes", Unit: "ms", Resource: Other, Sizes: []float64{15, 30, 60}, QuickSizes: []float64{2, 4, 8}, Measure: measureInForce, At: nodes}
	relay := Line{Name: "config/in-force-relay", Mechanism: "node/peer pings alone, virtual time", Size: "domains", Unit: "ms", Resource: Other, Sizes: []float64{5, 10, 20}, QuickSizes: []float64{3, 4, 5}, Measure: measureRelay, At: func(Topology) float64 { return TwoYears.Domains }}
	members := Line{Name: "membership/cpu", Mechanism: "core/membership, 3 nodes a domain", Size: "nodes", Unit: "us/s", Resource: CPU, Sizes: []float64{15, 30, 60}, QuickSizes: []float64{6, 9, 15}, Measure: measureMembership, At: nodes}
	lines := []Line{apply, memory, bytes, cpu, force, relay, members}
	for i := range lines {
		lines[i].Role = "every node"
	}
	return lines
}
