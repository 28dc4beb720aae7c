package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/jobview"
	"github.com/basilferry/basilferry/core/ownership"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/scheduler"
	"github.com/basilferry/basilferry/node/decisionlog"
	"github.com/basilferry/basilferry/node/dispatcher"
	"github.com/basilferry/basilferry/node/intake"
	"github.com/basilferry/basilferry/node/steady"
	"github.com/basilferry/basilferry/node/storelog"
)

// Platform is how a node reaches the platform and how it reads its messages.
type Platform struct {
	dispatcher.Platform
	// Operator holds the operator's records.
	Operator platform.Partition
	// DecodeOperatorRecord reads a record of Operator.
	DecodeOperatorRecord func(platform.KeyedRecord) (platform.OperatorChange, error)
	// Ingress returns the handler of callers' requests.
	Ingress func(jobs *intake.Intake, closing func() bool) http.Handler
}

const (
	// requestsPause groups the requests that a node that does not schedule reads:
	// each read is priced. A dead owner is noticed that much later.
	requestsPause = 250 * time.Millisecond
	// statesPause is the same for the states of jobs. A caller's question about a
	// job that is not over ends it, so that the answer is not older.
	statesPause = 800 * time.Millisecond
	// ownerPause is the same for the requests that the owner waits for.
	ownerPause = 0
	// configPause groups the operator's records.
	configPause = 20 * time.Millisecond
	// leaseMargin is taken off the lease, so that the times sent stay within
	// what a worker grants although its clock is read late.
	leaseMargin = 200 * time.Millisecond
	// heartbeatWait is how long a worker waits for an end before it answers.
	heartbeatWait = time.Second
	// maxClaimDelay delays claims of small nodes, and maxClaimJitter those of equal
	// ones, so that one claim is made at a time and by a node with a large share.
	maxClaimDelay  = 300 * time.Millisecond
	maxClaimJitter = 120 * time.Millisecond
	// headerTimeout and idleTimeout apply until a configuration gives others.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// startTimeout bounds the start of the listeners.
	startTimeout = 10 * time.Second
)

// SettingsFile is where the settings file is, for a reload.
type SettingsFile string

// New returns the application of one entry node.
func New(s Settings, path SettingsFile, p Platform, out io.Writer) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Grace()),
		fx.Supply(s, path, p),
		fx.Provide(
			steady.New,
			func() *decisionlog.Sink { return decisionlog.NewSink(out) },
			newLogger,
			newMetrics,
			jobview.New,
			func() *intake.Routes { return &intake.Routes{} },
			newNode,
		),
		fx.Invoke(func(lc fx.Lifecycle, n *Node) {
			lc.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
		}),
	)
}

func newLogger(s Settings, sink *decisionlog.Sink) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		return nil, settingsError("log.level "+s.Log.Level+" is unknown", "use debug, info, warn or error")
	}
	return decisionlog.New(sink, level, s.Node.Name), nil
}

// Node is one running entry node.
type Node struct {
	settings     Settings
	settingsFile string
	platform     Platform
	clock        *steady.Clock
	sink         *decisionlog.Sink
	logger       *slog.Logger
	metrics      *metrics
	view         *jobview.View
	routes       *intake.Routes

	requests, states *storelog.Follower
	operator         *storelog.Follower
	committer        *storelog.Committer
	dispatcher       *dispatcher.Dispatcher
	intake           *intake.Intake

	stopping     atomic.Bool
	owning       atomic.Bool
	openRequests atomic.Int64
	servers      []*http.Server
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
}

type nodeParams struct {
	fx.In

	Settings     Settings
	SettingsFile SettingsFile
	Platform     Platform
	Clock        *steady.Clock
	Sink         *decisionlog.Sink
	Logger       *slog.Logger
	Metrics      *metrics
	View         *jobview.View
	Routes       *intake.Routes
}

func newNode(p nodeParams) *Node {
	n := &Node{
		settings: p.Settings, settingsFile: string(p.SettingsFile), platform: p.Platform, clock: p.Clock, sink: p.Sink, logger: p.Logger,
		metrics: p.Metrics, view: p.View, routes: p.Routes,
	}
	boot := uint64(time.Now().UnixNano())
	n.requests = n.newFollower(p.Platform.Requests, n.applyRequest, requestsPause)
	n.states = n.newFollower(p.Platform.States, n.applyState, statesPause)
	n.operator = storelog.NewFollower(storelog.FollowerConfig{
		Store: p.Platform.Store, Partition: p.Platform.Operator, Clock: p.Clock,
		Logger: decisionlog.Component(p.Logger, "config"), Apply: n.applyOperator,
		Pause: func() time.Duration { return configPause },
	})
	n.committer = storelog.NewCommitter(p.Platform.Store, p.Platform.Requests,
		fmt.Sprintf("%s-%x", p.Settings.Node.Name, boot), p.Clock, decisionlog.Component(p.Logger, "commit"))
	n.dispatcher = dispatcher.New(n.dispatcherConfig(boot))
	n.intake = intake.New(intake.Config{
		Routes: p.Routes, View: p.View, Requests: n.requests, States: n.states, Committer: n.committer,
		OnCommit: func(r platform.KeyedRecord) { n.dispatcher.ApplyRequest(r) }, Clock: p.Clock,
		Logger: decisionlog.Component(p.Logger, "intake"),
	})
	return n
}

// newFollower returns the follower of one of the product's partitions. It pauses
// between two reads, but not on the owner, which callers wait for.
func (n *Node) newFollower(p platform.Partition, apply func(platform.KeyedRecord), pause time.Duration) *storelog.Follower {
	return storelog.NewFollower(storelog.FollowerConfig{
		Store: n.platform.Store, Partition: p, Clock: n.clock, Logger: decisionlog.Component(n.logger, "follow"), Apply: apply,
		Pause: func() time.Duration {
			if n.owning.Load() {
				return ownerPause
			}
			return pause
		},
	})
}

func (n *Node) dispatcherConfig(boot uint64) dispatcher.Config {
	s := n.settings
	return dispatcher.Config{
		Platform: n.platform.Platform,
		Ownership: ownership.Settings{
			Node: s.Node.Name, Incarnation: boot,
			OwnerTimeout: s.Ownership.SilenceMS.Duration(), RenewInterval: s.Ownership.RenewMS.Duration(),
			ResignCooldown: s.Ownership.RestMS.Duration(), ClaimDelay: claimDelay(s),
		},
		Scheduler: scheduler.Settings{
			Lease:         min(s.Workers.LeaseMS, s.Workers.LeaseMaxMS).Duration() - leaseMargin,
			HeartbeatWait: heartbeatWait, Keep: s.Keep(), MaxOffline: s.Ownership.OfflineMS.Duration(),
		},
		Clock: n.clock, Logger: decisionlog.Component(n.logger, "schedule"), View: n.view,
		RequestsFollower: n.requests, StatesFollower: n.states, Metrics: n.metrics,
		OnOwnershipChange: n.owning.Store,
	}
}

func claimDelay(s Settings) time.Duration {
	hash := fnv.New32a()
	// Writes to a hash never fail.
	_, _ = hash.Write([]byte(s.Node.Name))
	jitter := time.Duration(hash.Sum32()%1000) * maxClaimJitter / 1000
	return time.Duration((1-min(1, s.Machine.CPUShare))*float64(maxClaimDelay)) + jitter
}

func (n *Node) applyRequest(r platform.KeyedRecord) {
	n.applyToView(r)
	n.dispatcher.ApplyRequest(r)
}

func (n *Node) applyState(r platform.KeyedRecord) {
	n.applyToView(r)
	n.dispatcher.ApplyState(r)
}

func (n *Node) applyToView(r platform.KeyedRecord) {
	if err := n.view.Apply(r); err != nil {
		n.logger.Error("record ignored", "err", err)
	}
}

func (n *Node) applyOperator(r platform.KeyedRecord) {
	change, err := n.platform.DecodeOperatorRecord(r)
	switch {
	case err != nil:
		n.logger.Error("operator record ignored", "key", r.Key, "offset", r.Offset, "err", err)
	case change.Config != nil:
		if n.routes.Set(change.Config) {
			n.dispatcher.SetConfig(change.Config)
			n.logger.Info("configuration in force", "part", "config", "version", change.Config.Version,
				"offset", r.Offset, "routes", len(change.Config.Routes))
		}
	case change.Evacuate != "":
		n.dispatcher.Evacuate(change)
		n.logger.Info("evacuation changed", "part", "config", "failure_domain", change.Evacuate, "out", !change.Removed, "offset", r.Offset)
	}
}

func (n *Node) start(context.Context) error {
	n.applyRuntimeLimits(n.settings)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.startListeners(); err != nil {
		cancel()
		return err
	}
	for _, run := range []func(context.Context){
		n.sink.Run, n.requests.Run, n.states.Run, n.operator.Run, n.committer.Run, n.dispatcher.Run, n.reloadOnHangup,
	} {
		n.goroutines.Go(func() { run(ctx) })
	}
	n.logger.Info("start", "part", "node", "failure_domain", n.settings.Node.Domain, "requests", n.settings.Listen.Requests)
	return nil
}

// startListeners opens the listeners, so that a wrong address is an error of the start.
func (n *Node) startListeners() error {
	limits := n.routes.Limits()
	callers := &http.Server{
		Handler:           n.countOpenRequests(n.platform.Ingress(n.intake, n.stopping.Load)),
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, headerTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, idleTimeout),
		ErrorLog:          slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
	readiness := mux.NewRouter()
	readiness.HandleFunc("/ready", n.handleReady).Methods(http.MethodGet)
	if err := n.listen(callers, n.settings.Listen.Requests); err != nil {
		return err
	}
	if err := n.listen(&http.Server{Handler: readiness, ReadHeaderTimeout: headerTimeout}, n.settings.Listen.Readiness); err != nil {
		return err
	}
	if n.settings.Listen.MetricsPort == 0 {
		return nil
	}
	pages := mux.NewRouter()
	pages.Handle("/metrics", n.metrics.reporter).Methods(http.MethodGet)
	address := net.JoinHostPort(n.settings.Node.IP, fmt.Sprint(n.settings.Listen.MetricsPort))
	return n.listen(&http.Server{Handler: pages, ReadHeaderTimeout: headerTimeout}, address)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

func (n *Node) listen(server *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return &domain.Error{
			Kind: domain.KindUnavailable, Message: fmt.Sprintf("cannot listen on %s: %v", address, err),
			Remedy: "free the address or set another one in the settings",
		}
	}
	n.servers = append(n.servers, server)
	n.goroutines.Go(func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			n.logger.Error("listener failed", "address", address, "err", err)
		}
	})
	return nil
}

// countOpenRequests counts the requests that are open, for a planned stop.
func (n *Node) countOpenRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.openRequests.Add(1)
		defer n.openRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || !n.intake.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

const (
	// shutdownReserve is kept of the grace for closing.
	shutdownReserve = 1500 * time.Millisecond
	// drainTime is how long a stopping node goes on serving: the balancer
	// notices after two misses, one second apart.
	drainTime = 2500 * time.Millisecond
	// drainPollInterval is the interval of looks at the open requests.
	drainPollInterval = 50 * time.Millisecond
)

// stop is a planned stop: the node says that it is not ready, gives up the
// ownership, serves until the balancer has noticed and no request is open, and
// then ends.
func (n *Node) stop(ctx context.Context) error {
	n.logger.Info("stop", "part", "node", "open", n.openRequests.Load())
	n.stopping.Store(true)
	n.dispatcher.ResignForShutdown()
	began := n.clock.Now()
	last := began + n.settings.Grace() - shutdownReserve
	for n.clock.Now() < last && ctx.Err() == nil {
		if n.clock.Now() > began+drainTime && n.openRequests.Load() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	closing, cancel := context.WithTimeout(context.Background(), shutdownReserve/3)
	defer cancel()
	for _, server := range n.servers {
		if err := server.Shutdown(closing); err != nil {
			n.logger.Warn("connections cut off", "err", err)
			if err := server.Close(); err != nil {
				n.logger.Warn("listener not closed", "err", err)
			}
		}
	}
	n.logger.Info("stopped", "part", "node", "after_ms", (n.clock.Now() - began).Milliseconds())
	n.cancel()
	n.goroutines.Wait()
	return n.metrics.close()
}
