package app

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/ring"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/configsync"
	"github.com/basilferry/basilferry/node/engine"
	"github.com/basilferry/basilferry/node/httpapi"
	"github.com/basilferry/basilferry/node/peer"
	"github.com/basilferry/basilferry/node/router"
	"github.com/basilferry/basilferry/node/settings"
	"github.com/basilferry/basilferry/node/telemetry"
)

// Limits of the store that explains the scheduling decisions of one node.
const (
	maxExplainEntries = 200_000
	maxExplainBytes   = 32 << 20
)

// snapshotStagger is the time between the snapshots of the configuration by
// consecutive nodes. The first node appends its snapshot, and the others read it and
// need not append their own.
const snapshotStagger = 5 * time.Second

// Platform gives a node access to the services of the platform.
type Platform struct {
	Log  platform.Log
	VMs  platform.VMList
	Dial func(address string) platform.Worker
	// IsNotSent reports whether an error of a worker call proves that the command did
	// not reach the worker.
	IsNotSent func(error) bool
}

// New returns the application of one entry node, which writes its log lines to out.
// fx.App.Start starts it; fx.App.Stop shuts it down gracefully.
func New(s settings.Settings, p Platform, out io.Writer) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(time.Duration(s.Limits.StopTimeout)+closeTimeout),
		fx.Supply(s, p),
		fx.Provide(
			func() (*telemetry.Logs, error) { return newLogs(s, out) },
			newMetrics,
			newRing,
			newMembers,
			newEngine,
			newConfigSync,
			newPool,
			newRouter,
			newBurnRecorder,
			newHTTPServer,
			newPeerServer,
			newNode,
		),
		fx.Invoke(register),
	)
}

func newLogs(s settings.Settings, out io.Writer) (*telemetry.Logs, error) {
	return telemetry.NewLogs(out, s.Log, s.Security.OperatorToken, s.Security.PeerToken)
}

// metrics holds the metrics reporter of the process and the scope of the node.
type metrics struct {
	reporter *telemetry.Reporter
	scope    tally.Scope
	closer   io.Closer
}

func newMetrics(s settings.Settings) metrics {
	reporter := telemetry.NewReporter()
	scope, closer := telemetry.NewScope(reporter)
	tagged := scope.Tagged(map[string]string{"node": string(s.Node.ID), "failure_domain": string(s.Node.Domain)})
	return metrics{reporter: reporter, scope: tagged, closer: closer}
}

func newRing(s settings.Settings) (*ring.Ring, error) {
	return ring.New(s.Cluster.Domains, s.Cluster.ShardsPerDomain)
}

// clock holds the start time of the node. The engine measures time relative to it.
type clock struct{ start time.Time }

func newMembers(s settings.Settings) (*engine.Members, clock) {
	start := time.Now()
	cfg := membership.Config{Self: s.Node.ID, Domains: s.Cluster.Domains}
	addresses := map[domain.NodeID]string{}
	for _, n := range s.Cluster.Nodes {
		cfg.Nodes = append(cfg.Nodes, membership.Node{ID: n.ID, Domain: n.Domain})
		addresses[n.ID] = n.HTTPAddress
	}
	return engine.NewMembers(cfg, addresses, start), clock{start: start}
}

func newEngine(
	s settings.Settings, p Platform, r *ring.Ring, m *engine.Members, c clock, b *burnRecorder, logs *telemetry.Logs,
) (*engine.Engine, *delegatorProxy) {
	proxy := &delegatorProxy{}
	e := engine.New(engine.Config{
		Node:         s.Node.ID,
		Domain:       s.Node.Domain,
		Ring:         r,
		Log:          p.Log,
		Dial:         p.Dial,
		IsNotSent:    p.IsNotSent,
		NewScheduler: shardSchedulerFactory(1 / float64(s.Cluster.ShardsPerDomain)),
		NewReadModel: newJournalView,
		Delegator:    proxy,
		Reasons:      reasonRecorder{node: s.Node.ID, store: explain.NewStore(maxExplainEntries, maxExplainBytes)},
		Logger:       logs.Component("engine"),
		OnLogRead:    m.OnLogRead,
		Measured:     func(ev shard.Measured) { b.observe(ev.Kind, ev.State, ev.Took) },
		Start:        c.start,
	})
	return e, proxy
}

func newConfigSync(s settings.Settings, p Platform, pool *peer.Pool, m *engine.Members, logs *telemetry.Logs) *configsync.Sync {
	index := 0
	for i, n := range s.Cluster.Nodes {
		if n.ID == s.Node.ID {
			index = i
		}
	}
	return configsync.New(configsync.Config{
		Node:          s.Node.ID,
		Log:           p.Log,
		State:         configlog.New(configlog.Initial()),
		Encoder:       configsync.Encoder{Change: configlog.EncodeChange, Snapshot: configlog.EncodeSnapshot},
		Peers:         func() []domain.NodeID { return livePeers(s.Node.ID, m) },
		Fetch:         fetchConfig(pool),
		SnapshotDelay: time.Duration(index) * snapshotStagger,
		Logger:        logs.Component("config"),
	})
}

func livePeers(self domain.NodeID, m *engine.Members) []domain.NodeID {
	var live []domain.NodeID
	for _, n := range m.Status() {
		if n.Live && n.ID != self {
			live = append(live, n.ID)
		}
	}
	return live
}

func fetchConfig(pool *peer.Pool) func(context.Context, domain.NodeID, domain.Version) (peer.ConfigReply, error) {
	return func(ctx context.Context, from domain.NodeID, after domain.Version) (peer.ConfigReply, error) {
		client, err := pool.Client(from)
		if err != nil {
			return peer.ConfigReply{}, err
		}
		return client.Config(ctx, peer.ConfigArgs{After: after})
	}
}

func newPool(s settings.Settings) *peer.Pool {
	addresses := map[domain.NodeID]string{}
	for _, n := range s.Cluster.Nodes {
		if n.ID != s.Node.ID {
			addresses[n.ID] = n.PeerAddress
		}
	}
	return peer.NewPool(addresses, s.Security.PeerToken)
}

func newRouter(
	s settings.Settings, e *engine.Engine, proxy *delegatorProxy, m *engine.Members,
	c *configsync.Sync, r *ring.Ring, pool *peer.Pool,
) *router.Router {
	rt := router.New(router.Options{
		Node:    s.Node,
		Cluster: s.Cluster,
		Limits:  s.Limits,
		Shards:  e,
		Peers:   m,
		Config:  c,
		Ring:    r,
		Clients: pool,
		Records: func(after domain.Version) []platform.Record {
			return c.Reply(peer.ConfigArgs{After: after}).Records
		},
		OnPing:   c.ObservePing,
		Stopping: e.Stopping,
	})
	proxy.inner = rt
	return rt
}

func newPeerServer(s settings.Settings, rt *router.Router) (*peer.Server, error) {
	return peer.NewServer(rt.Handler(), s.Security.PeerToken)
}

func newHTTPServer(s settings.Settings, rt *router.Router, b *burnRecorder, m metrics, logs *telemetry.Logs) *httpapi.Server {
	return httpapi.New(httpapi.Config{
		Requests:      measuredRequests{Requests: rt, burn: b},
		Operations:    rt,
		Limits:        s.Limits,
		OperatorToken: s.Security.OperatorToken,
		Burn:          b.handler(),
		Metrics:       m.reporter,
		Scope:         m.scope,
		Faults:        telemetry.NewFaults(logs.Component("http"), time.Now, telemetry.DefaultFaultInterval),
	})
}

// node holds the components of an entry node that are started and stopped.
type node struct {
	settings settings.Settings
	platform Platform
	logger   *log.Logger
	members  *engine.Members
	engine   *engine.Engine
	config   *configsync.Sync
	router   *router.Router
	pool     *peer.Pool
	peers    *peer.Server
	http     *httpapi.Server
	metrics  metrics
	claimer  *engine.Claimer

	httpListener net.Listener
	peerListener net.Listener
	loops        loops
}

type nodeParams struct {
	fx.In

	Settings settings.Settings
	Platform Platform
	Logs     *telemetry.Logs
	Members  *engine.Members
	Engine   *engine.Engine
	Config   *configsync.Sync
	Router   *router.Router
	Pool     *peer.Pool
	Peers    *peer.Server
	HTTP     *httpapi.Server
	Metrics  metrics
}

func newNode(p nodeParams) *node {
	version := func() domain.Version { return p.Config.Current().Version }
	return &node{
		settings: p.Settings,
		platform: p.Platform,
		logger:   p.Logs.Component("node"),
		members:  p.Members,
		engine:   p.Engine,
		config:   p.Config,
		router:   p.Router,
		pool:     p.Pool,
		peers:    p.Peers,
		http:     p.HTTP,
		metrics:  p.Metrics,
		claimer:  engine.NewClaimer(p.Engine, p.Members, version, p.Logs.Component("engine")),
	}
}

func register(lc fx.Lifecycle, n *node) {
	lc.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}
