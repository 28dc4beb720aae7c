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

// Limits of connections.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the arrival of a request with its body.
	readTimeout = 15 * time.Second
	idleTimeout = 60 * time.Second
	// writeMargin is the time to write an answer after the longest call.
	writeMargin = 15 * time.Second
	// DefaultQuietPeriod covers a request that is on its way when the load balancer
	// sees the node leave: callers are 3 ms away.
	DefaultQuietPeriod = 250 * time.Millisecond
	// maxQuietWait bounds the wait for the quiet time. Load balancers check the
	// health about every second.
	maxQuietWait = 3 * time.Second
)

// Config is what a Server needs.
type Config struct {
	Requests   service.Requests
	Operations service.Operations
	Limits     settings.Limits
	// OperatorToken is needed for operator calls; empty for none.
	OperatorToken string
	// Burn serves GET /v1/burn, Metrics serves GET /metrics; a nil handler is
	// answered with KindNotFound.
	Burn    http.Handler
	Metrics http.Handler
	// Ready returns why the node cannot serve yet, nil if it can; optional.
	Ready func() *domain.Error
	// Scope takes the metrics of docs/metrics.md; nil for none.
	Scope tally.Scope
	// Faults takes faults of connections and defects; nil for none.
	Faults *telemetry.Faults
	// QuietPeriod is how long Shutdown waits for a further request before it closes
	// the listeners; zero for DefaultQuietPeriod.
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
	// listeners are those that Serve was called for.
	mu        sync.Mutex
	listeners []*drainingListener
	// activeServes counts calls of Serve that have not returned.
	activeServes sync.WaitGroup
	// activity has a token after a request started or ended.
	activity chan struct{}
}

// New returns a server that is not listening yet.
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
		WriteTimeout:      max(time.Duration(cfg.Limits.MaxDeadline), maxChangeTimeout, callTimeout) + writeMargin,
		ErrorLog:          cfg.Faults.StandardLog("http connection"),
	}
	return s
}

// Serve answers connections until Shutdown; it may be called for several
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

// trackListener lets Shutdown empty the listener's backlog.
func (s *Server) trackListener(l deadlineListener) *drainingListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &drainingListener{deadlineListener: l}
	s.listeners = append(s.listeners, d)
	s.activeServes.Add(1)
	return d
}

// stopListeners closes the listeners after their backlogs are empty.
func (s *Server) stopListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.stop()
	}
	s.activeServes.Wait()
}

// Drain starts a planned stop: the health check fails, so that the load
// balancer sends no further callers, and each answer closes its connection.
// Requests are served as before.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown drains, waits until no request is active and none has come for the
// quiet time, at most maxQuietWait, and closes the listeners last, after their
// backlogs are empty. If ctx ends first it cuts the
// remaining requests off and returns an *Error of kind KindUnavailable.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.waitForQuiet(ctx)
	s.stopListeners()
	if s.http.Shutdown(ctx) == nil {
		return nil
	}
	left := s.active.Load()
	s.http.Close()
	return shutdownTimeout(left)
}

// waitForQuiet waits until the server is quiet, at most maxQuietWait. Callers that
// do not heed the health check would otherwise keep the node from stopping.
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

// requestStarted and ended track active requests for Shutdown.
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
