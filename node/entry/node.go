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
	"github.com/basilferry/basilferry/node/guard"
	"github.com/basilferry/basilferry/node/intake"
	"github.com/basilferry/basilferry/node/steady"
	"github.com/basilferry/basilferry/node/storelog"
)

// Platform contains the node's clients of the platform and the decoders of its
// records.
type Platform struct {
	dispatcher.Platform
	// Operator is the partition with the operator's records. It is read through
	// OperatorStore, so that other reads cannot delay a new configuration.
	Operator      platform.Partition
	OperatorStore platform.Store
	// DecodeOperatorRecord decodes a record of Operator.
	DecodeOperatorRecord func(platform.KeyedRecord) (platform.OperatorChange, error)
	// Ingress returns the handler of client requests. The function isStopping reports
	// whether the process is shutting down.
	Ingress func(jobs *intake.Intake, isStopping func() bool) http.Handler
}

const (
	// requestsPause is the time between two reads of the requests partition on a node
	// that is not the owner. It batches the records, because each read is charged
	// for. A dead owner is detected up to this much later.
	requestsPause = 250 * time.Millisecond
	// statesPause is the same for the states partition. A client's request for the
	// state of an unfinished job ends the pause, so that the response is current.
	statesPause = 800 * time.Millisecond
	// pulsePause is the same for the owner's signs of life.
	pulsePause = 300 * time.Millisecond
	// ownerPause is the same for the requests partition on the owner, which schedules
	// the requests that it reads.
	ownerPause = 0
	// minBulkLinkMbps is the link from which on a node follows the states of all jobs,
	// so that it can become the owner without loading them first. They would fill a
	// smaller link.
	minBulkLinkMbps = 100
	// configPause is the time between two reads of the operator's partition, which
	// batches its records.
	configPause = 20 * time.Millisecond
	// configReadWait is how long a read of that partition waits for a record. A hanging
	// read must leave time for another one until the configuration has to be in force.
	configReadWait = 400 * time.Millisecond
	// leaseMargin is subtracted from the lease. The owner sends the end of the lease on
	// the worker's clock, which it only estimates from an earlier reading, and the
	// lease must not be longer than the worker grants.
	leaseMargin = 200 * time.Millisecond
	// heartbeatWait is how long a worker may delay its answer to a heartbeat while it
	// waits for an attempt to finish.
	heartbeatWait = time.Second
	// maxClaimDelay is the longest claim delay because of a small CPU share, and
	// maxClaimJitter the longest additional delay, which differs between nodes of the
	// same size. The delays make it likely that one node claims at a time, and that
	// it has a large CPU share.
	maxClaimDelay  = 300 * time.Millisecond
	maxClaimJitter = 120 * time.Millisecond
	// unsuitedDelay is the additional claim delay of a node that is much smaller than
	// the latest owner, or whose failure domain is evacuated. It covers the time in which
	// the other nodes read that the owner is silent, at different times because of
	// requestsPause, and claim.
	unsuitedDelay = 700 * time.Millisecond
	// headerTimeout applies to all listeners, idleTimeout to that for client requests.
	// The operator's configuration can contain other values, but they have no effect,
	// because the listeners are opened before the configuration is read.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// startTimeout limits the start of the node.
	startTimeout = 10 * time.Second
)

// SettingsFile is the path of the settings file, which a reload reads again.
type SettingsFile string

// New returns the application of one entry node.
func New(s Settings, settingsFile SettingsFile, p Platform, out io.Writer) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Grace()),
		fx.Supply(s, settingsFile, p),
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
	guard        *guard.Guard
	view         *jobview.View
	routes       *intake.Routes

	requests, states *storelog.Follower
	// pulse follows the owner's signs of life on a node that does not follow the states.
	pulse *storelog.Follower
	// statesRun is held while states runs for an ownership term.
	statesRun sync.Mutex
	operator  *storelog.Follower
	configAge *configAge
	// evacuations is used by the goroutine of operator only.
	evacuations evacuations
	committer   *storelog.Committer
	dispatcher  *dispatcher.Dispatcher
	intake      *intake.Intake

	stopping     atomic.Bool
	isOwner      atomic.Bool
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
	n.guard = guard.New(p.Logger, func(count int64) { p.Metrics.Count("unexpected_error_confined", count) })
	incarnation := uint64(time.Now().UnixNano())
	n.requests = storelog.NewFollower(storelog.FollowerConfig{
		Store: p.Platform.Store, Partition: p.Platform.Requests, Clock: p.Clock, Logger: decisionlog.Component(p.Logger, "follow"),
		Reset: p.View.StartReload, Apply: n.applyRequest, OnCaughtUp: func(int64) { p.View.FinishReload() },
		Pause: n.requestsPause, Guard: n.guard,
	})
	n.states = n.newFollower(p.Platform.States, n.applyState, func() time.Duration { return statesPause })
	n.pulse = n.newFollower(p.Platform.Pulse, func(r platform.KeyedRecord) { n.dispatcher.ApplyState(r) }, func() time.Duration { return pulsePause })
	n.operator = storelog.NewFollower(storelog.FollowerConfig{
		Store: p.Platform.OperatorStore, Partition: p.Platform.Operator, Clock: p.Clock, Wait: configReadWait,
		Logger: decisionlog.Component(p.Logger, "config"), Apply: n.applyOperator,
		Reset: n.evacuations.startReload, OnCaughtUp: func(end int64) {
			n.endUnlistedEvacuations(end)
			n.dispatcher.MarkOperatorRead()
		},
		Pause: func() time.Duration { return configPause }, OnRead: n.countConfigRead, Guard: n.guard,
	})
	n.configAge = newConfigAge(n.operator.LastSent)
	n.committer = storelog.NewCommitter(p.Platform.Store, p.Platform.Requests,
		fmt.Sprintf("%s-%x", p.Settings.Node.Name, incarnation), p.Clock, decisionlog.Component(p.Logger, "commit"), n.guard)
	n.committer.LimitCalls(p.Settings.Store.CallBytes)
	n.dispatcher = dispatcher.New(n.dispatcherConfig(incarnation))
	n.intake = intake.New(intake.Config{
		Limits: n.storeLimits(), Routes: p.Routes, View: p.View, Requests: n.requests, Required: n.requiredFollowers(), Newest: n.newestStates, Committer: n.committer,
		OnCommit: func(r platform.KeyedRecord) { n.dispatcher.ApplyRequest(r) }, Clock: p.Clock,
		ConfigKnown: n.configAge.known, MaxConfigAge: p.Settings.MaxConfigAge(), Count: p.Metrics.Count,
		Logger: decisionlog.Component(p.Logger, "intake"), OnTurnedAway: p.Metrics.CountTurnedAway,
	})
	return n
}

// requestsPause returns the pause between two reads of the requests.
func (n *Node) requestsPause() time.Duration {
	if n.isOwner.Load() {
		return ownerPause
	}
	return requestsPause
}

// newFollower returns a follower of one of basilferry's own partitions. It pauses
// between two reads.
func (n *Node) newFollower(p platform.Partition, apply func(platform.KeyedRecord), pause func() time.Duration) *storelog.Follower {
	return storelog.NewFollower(storelog.FollowerConfig{
		Store: n.platform.Store, Partition: p, Clock: n.clock, Logger: decisionlog.Component(n.logger, "follow"), Apply: apply, Pause: pause, Guard: n.guard,
	})
}

// followsStates reports whether this node follows the states of all jobs also while it
// is not the owner. Other nodes learn from the requests partition what clients ask for.
func (n *Node) followsStates() bool { return n.settings.Machine.LinkMbps >= minBulkLinkMbps }

func (n *Node) requiredFollowers() []*storelog.Follower {
	if n.followsStates() {
		return []*storelog.Follower{n.requests, n.states}
	}
	return []*storelog.Follower{n.requests}
}

// newestStates returns the follower that reads the newest states of jobs. The owner
// has them already.
func (n *Node) newestStates() *storelog.Follower {
	switch {
	case n.isOwner.Load():
		return nil
	case n.followsStates():
		return n.states
	}
	return n.requests
}

// followStatesInTerm follows the states while this node is the owner.
func (n *Node) followStatesInTerm(ctx context.Context) {
	n.statesRun.Lock()
	defer n.statesRun.Unlock()
	n.states.Run(ctx)
}

func (n *Node) dispatcherConfig(incarnation uint64) dispatcher.Config {
	s := n.settings
	followStates := n.followStatesInTerm
	if n.followsStates() {
		followStates = nil
	}
	onPlatform := n.platform.Platform
	onPlatform.Limits = n.storeLimits()
	return dispatcher.Config{
		FollowStates: followStates, Domain: s.Node.Domain,
		Platform: onPlatform,
		Ownership: ownership.Settings{
			Node: s.Node.Name, Incarnation: incarnation,
			OwnerTimeout: s.Ownership.SilenceMS.Duration(), RenewInterval: s.Ownership.RenewMS.Duration(),
			ResignCooldown: s.Ownership.RestMS.Duration(), ClaimDelay: claimDelay(s),
			CPUShare: s.Machine.CPUShare, UnsuitedDelay: unsuitedDelay,
		},
		Scheduler: scheduler.Settings{
			Lease:         min(s.Workers.LeaseMS, s.Workers.LeaseMaxMS).Duration() - leaseMargin,
			LeaseLimit:    s.Workers.LeaseMaxMS.Duration(),
			HeartbeatWait: heartbeatWait, Retention: s.Retention(), MaxOffline: s.Ownership.OfflineMS.Duration(),
			OwnerTimeout: s.Ownership.SilenceMS.Duration(),
		},
		Clock: n.clock, Logger: decisionlog.Component(n.logger, "schedule"), View: n.view,
		RequestsFollower: n.requests, StatesFollower: n.states, Metrics: n.metrics, Guard: n.guard,
		OnOwnershipChange: n.isOwner.Store,
	}
}

// storeLimits returns the sizes that the store accepts.
func (n *Node) storeLimits() platform.StoreLimits {
	return platform.StoreLimits{Record: n.settings.Store.RecordBytes, Call: n.settings.Store.CallBytes}
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
	n.intake.ObserveRequest(r)
	n.dispatcher.ApplyRequest(r)
}

func (n *Node) applyState(r platform.KeyedRecord) {
	n.applyToView(r)
	n.dispatcher.ApplyState(r)
}

func (n *Node) applyToView(r platform.KeyedRecord) {
	if err := n.view.Apply(r); err != nil {
		n.logger.Error("record cannot be applied to the read model and is ignored", "err", err)
	}
}

// countConfigRead keeps the metrics of the reads of the operator's partition.
func (n *Node) countConfigRead(stats storelog.ReadStats) {
	if stats.Err != nil {
		n.metrics.Count("config_read_failed", 1)
		return
	}
	n.metrics.Observe("config_transfer", stats.Transfer.Duration)
	n.metrics.Observe("config_apply", stats.Apply)
	n.metrics.Gauge("config_version", float64(n.routes.Version()))
}

func (n *Node) applyOperator(r platform.KeyedRecord) {
	wasRead := false
	// Deferred, because the guard confines a panic and the follower then goes on.
	defer func() {
		if !wasRead {
			n.configAge.setUnreadable(r.Offset)
		}
	}()
	change, err := n.platform.DecodeOperatorRecord(r)
	wasRead = err == nil && change.Config == nil
	switch {
	case err != nil:
		n.logger.Error("operator record cannot be decoded and is ignored", "key", r.Key, "offset", r.Offset, "err", err)
	case change.Config != nil:
		isNew := n.routes.Set(change.Config)
		wasRead = true
		if n.routes.Version() == change.Config.Version {
			n.configAge.setInForce(r.Offset)
		}
		if isNew {
			n.dispatcher.SetConfig(change.Config)
			n.logger.Info("configuration in force", "part", "config", "version", change.Config.Version,
				"offset", r.Offset, "routes", len(change.Config.Routes))
			n.logAccounts(change.Config, n.routes.KeyConflicts())
		}
	case change.Evacuate != "":
		n.evacuate(change, r.Offset)
	}
}

func (n *Node) evacuate(change platform.OperatorChange, offset int64) {
	n.evacuations.apply(change)
	n.dispatcher.Evacuate(change)
	n.logger.Info("evacuation changed", "part", "config", "failure_domain", change.Evacuate, "out", !change.Removed, "offset", offset)
}

// endUnlistedEvacuations ends the evacuations that the newest records no longer contain.
// The partition has been read up to the offset end.
func (n *Node) endUnlistedEvacuations(end int64) {
	for _, d := range n.evacuations.finishReload() {
		n.evacuate(platform.OperatorChange{Evacuate: d, Removed: true}, end)
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
	runs := []func(context.Context){n.sink.Run, n.requests.Run, n.operator.Run, n.committer.Run, n.dispatcher.Run, n.reloadOnHangup}
	if n.followsStates() {
		runs = append(runs, n.states.Run)
	} else {
		runs = append(runs, n.pulse.Run)
	}
	for _, run := range runs {
		n.goroutines.Go(func() { n.runGuarded(ctx, run) })
	}
	n.logger.Info("start", "part", "node", "failure_domain", n.settings.Node.Domain, "requests", n.settings.Listen.Requests)
	return nil
}

// componentRestartDelay is the pause before a component that has ended unexpectedly is
// run again.
const componentRestartDelay = 100 * time.Millisecond

// runGuarded runs a component until ctx ends, again if it panics.
func (n *Node) runGuarded(ctx context.Context, run func(context.Context)) {
	for ctx.Err() == nil && n.guard.Do("component", func() { run(ctx) }) != nil {
		select {
		case <-time.After(componentRestartDelay):
		case <-ctx.Done():
		}
	}
}

// startListeners opens the listeners synchronously, so that the start fails if an
// address cannot be used.
func (n *Node) startListeners() error {
	limits := n.routes.Limits()
	requestServer := &http.Server{
		Handler:           n.countOpenRequests(n.platform.Ingress(n.intake, n.stopping.Load)),
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, headerTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, idleTimeout),
		ErrorLog:          slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
	readinessRouter := mux.NewRouter()
	readinessRouter.HandleFunc("/ready", n.handleReady).Methods(http.MethodGet)
	if err := n.listen(requestServer, n.settings.Listen.Requests); err != nil {
		return err
	}
	if err := n.listen(&http.Server{Handler: readinessRouter, ReadHeaderTimeout: headerTimeout}, n.settings.Listen.Readiness); err != nil {
		return err
	}
	if n.settings.Listen.MetricsPort == 0 {
		return nil
	}
	metricsRouter := mux.NewRouter()
	metricsRouter.Handle("/metrics", n.metrics.reporter).Methods(http.MethodGet)
	address := net.JoinHostPort(n.settings.Node.IP, fmt.Sprint(n.settings.Listen.MetricsPort))
	return n.listen(&http.Server{Handler: metricsRouter, ReadHeaderTimeout: headerTimeout}, address)
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

// countOpenRequests counts the requests in progress, for a planned stop.
func (n *Node) countOpenRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.openRequests.Add(1)
		defer n.openRequests.Add(-1)
		if n.guard.Do("request", func() { next.ServeHTTP(w, r) }, "method", r.Method, "path", r.URL.Path) != nil {
			// Whether the request took effect is unknown. The client sends it again
			// after a broken connection.
			panic(http.ErrAbortHandler)
		}
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
	// shutdownReserve is the part of the grace period that is kept for closing the
	// listeners and stopping the goroutines.
	shutdownReserve = 1500 * time.Millisecond
	// drainTime is how long a stopping node continues to serve. The load balancer
	// stops sending requests after two failed readiness checks, one second apart.
	drainTime = 2500 * time.Millisecond
	// drainPollInterval is the interval at which the number of open requests is
	// checked.
	drainPollInterval = 50 * time.Millisecond
)

// stop performs a planned stop. The node reports that it is not ready and resigns
// ownership. It serves until the load balancer has had time to notice, no request is
// open and the ownership is released, or until the grace period is nearly over. Then it
// closes its listeners.
func (n *Node) stop(ctx context.Context) error {
	n.logger.Info("stop", "part", "node", "open", n.openRequests.Load())
	n.stopping.Store(true)
	start := n.clock.Now()
	deadline := start + n.settings.Grace() - shutdownReserve
	n.dispatcher.ResignForShutdown((deadline - start) / 2)
	for n.clock.Now() < deadline && ctx.Err() == nil {
		if n.clock.Now() > start+drainTime && n.openRequests.Load() == 0 && !n.isOwner.Load() {
			break
		}
		time.Sleep(drainPollInterval)
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownReserve/3)
	defer cancel()
	for _, server := range n.servers {
		if err := server.Shutdown(shutdownCtx); err != nil {
			n.logger.Warn("requests still open at shutdown; closing their connections", "err", err)
			if err := server.Close(); err != nil {
				n.logger.Warn("listener cannot be closed", "err", err)
			}
		}
	}
	n.logger.Info("stopped", "part", "node", "after_ms", (n.clock.Now() - start).Milliseconds())
	n.cancel()
	n.goroutines.Wait()
	return n.metrics.close()
}
