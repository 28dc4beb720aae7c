package httpapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/service"
	"github.com/basilferry/basilferry/node/settings"
	"github.com/basilferry/basilferry/node/telemetry"
)

// Connection limits.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time to read a request with its body.
	readTimeout = 15 * time.Second
	idleTimeout = 60 * time.Second
	// writeMargin is the time to write a response after the longest service call.
	writeMargin = 15 * time.Second
	// DefaultQuietPeriod covers requests that are in transit when the load
	// balancer sees that the node is leaving. The network latency to clients is
	// about 3 ms.
	DefaultQuietPeriod = 250 * time.Millisecond
	// maxQuietWait bounds the wait for a quiet period. Load balancers check the
	// health about every second.
	maxQuietWait = 3 * time.Second
)

// Config has the dependencies and settings of a Server.
type Config struct {
	Requests   service.Requests
	Operations service.Operations
	Limits     settings.Limits
	// OperatorToken is required for operator requests. If it is empty, operators
	// need no token.
	OperatorToken string
	// Burn serves GET /v1/burn, Metrics serves GET /metrics. If a handler is nil,
	// the response is an error of kind KindNotFound.
	Burn    http.Handler
	Metrics http.Handler
	// Ready returns why the node cannot serve requests yet, or nil if it can.
	// Optional.
	Ready func() *domain.Error
	// Scope receives the metrics listed in docs/metrics.md; nil for none.
	Scope tally.Scope
	// Faults logs connection errors and panics, rate limited; nil for none.
	Faults *telemetry.Faults
	// QuietPeriod is the time without requests after which Shutdown closes the
	// listeners; zero for DefaultQuietPeriod.
	QuietPeriod time.Duration
}

// Server is the HTTP API of one node.
type Server struct {
	cfg           Config
	http          *http.Server
	metrics       *metrics
	inFlightSlots chan struct{}
	active        atomic.Int64
	draining      atomic.Bool
	// mu protects listeners, which holds the listeners that were passed to Serve
	// and have a deadline for Accept.
	mu        sync.Mutex
	listeners []*drainingListener
	// activeServes counts the calls to Serve for these listeners that have not
	// returned.
	activeServes sync.WaitGroup
	// activity receives a value when a request starts or finishes.
	activity chan struct{}
}

// New returns a server that does not accept connections yet.
func New(cfg Config) *Server {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.QuietPeriod == 0 {
		cfg.QuietPeriod = DefaultQuietPeriod
	}
	s := &Server{
		cfg:           cfg,
		metrics:       newMetrics(cfg.Scope),
		inFlightSlots: make(chan struct{}, cfg.Limits.MaxInFlight),
		activity:      make(chan struct{}, 1),
	}
	s.http = &http.Server{
		Handler:           s.Handler(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      max(time.Duration(cfg.Limits.MaxDeadline), maxChangeWait, callTimeout) + writeMargin,
		ErrorLog:          cfg.Faults.StandardLog("http connection"),
	}
	return s
}

// Serve serves connections of l until Shutdown. It may be called for several
// listeners.
func (s *Server) Serve(l net.Listener) error {
	if bounded, ok := l.(deadlineListener); ok {
		l = s.trackListener(bounded)
		defer s.activeServes.Done()
	}
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "the HTTP listener failed: " + err.Error(),
		Remedy:  "check the address and the limits of the process",
	}
}

// trackListener registers l, so that Shutdown can empty its backlog.
func (s *Server) trackListener(l deadlineListener) *drainingListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &drainingListener{deadlineListener: l}
	s.listeners = append(s.listeners, d)
	s.activeServes.Add(1)
	return d
}

// stopListeners closes each listener once its backlog is empty, and returns when
// all are closed.
func (s *Server) stopListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.stop()
	}
	s.activeServes.Wait()
}

// Drain starts a graceful shutdown. The health check fails from now on, so that
// the load balancer sends no new connections, and each connection is closed
// after its response. Requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown calls Drain, waits until no request is active and none has arrived
// for the quiet period, but at most maxQuietWait, and then closes the listeners
// once their backlogs are empty. If ctx ends before the active requests finish,
// it closes their connections and returns a *domain.Error of kind
// KindUnavailable.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.waitForQuiet(ctx)
	s.stopListeners()
	if s.http.Shutdown(ctx) == nil {
		return nil
	}
	activeRequests := s.active.Load()
	s.http.Close()
	return shutdownTimeoutError(activeRequests)
}

// waitForQuiet waits until no request is active and none has arrived for the quiet
// period, or until ctx is done, but at most maxQuietWait. Without the limit,
// clients that ignore the health check could keep the node from stopping.
func (s *Server) waitForQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxQuietWait)
	defer cancel()
	timer := time.NewTimer(s.cfg.QuietPeriod)
	defer timer.Stop()
	for {
		select {
		case <-s.activity:
			timer.Reset(s.cfg.QuietPeriod)
		case <-timer.C:
			if s.active.Load() == 0 {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// requestStarted and requestFinished count active requests for Shutdown and the
// in-flight metric.
func (s *Server) requestStarted() {
	s.metrics.inFlight.Update(float64(s.active.Add(1)))
	s.signalActivity()
}

func (s *Server) requestFinished() {
	s.metrics.inFlight.Update(float64(s.active.Add(-1)))
	s.signalActivity()
}

func (s *Server) signalActivity() {
	select {
	case s.activity <- struct{}{}:
	default:
	}
}
