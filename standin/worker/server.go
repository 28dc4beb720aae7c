package worker

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/platform/wire"
	"github.com/basilferry/basilferry/standin/internal/fault"
	"github.com/basilferry/basilferry/standin/internal/httpserve"
	"github.com/gorilla/mux"
)

// PathHistory is the path that serves Worker.History as JSON, with GET.
const PathHistory = "/history"

// Control is the body of POST /control, which injects faults. Absent fields
// change nothing.
type Control struct {
	// Calls is "pass", "refuse" or "hang".
	Calls *Mode `json:"calls,omitempty"`
	// Connections is "pass", "refuse" or "hang". Unless it is "pass", POST /control
	// can be reached only on the control listener until the mode changes back after
	// ConnectionsMillis; 0 means that it does not change back by itself.
	Connections       *Mode `json:"connections,omitempty"`
	ConnectionsMillis int64 `json:"connections_ms,omitempty"`
	// SilenceEstablished blocks the existing connections permanently: they stay
	// open but transfer no data.
	SilenceEstablished bool   `json:"silence_established,omitempty"`
	DelayMillis        *int64 `json:"delay_ms,omitempty"`
	FailAll            *bool  `json:"fail_all,omitempty"`
	Leaving            *bool  `json:"leaving,omitempty"`
	SwapNext           *int   `json:"cross_next,omitempty"`
	Paused             *bool  `json:"paused,omitempty"`
	Restart            bool   `json:"restart,omitempty"`
}

// Server serves a worker over HTTP. Use NewServer.
type Server struct {
	worker *Worker
	ln     *fault.Listener
}

// NewServer returns a server that serves w on ln.
func NewServer(w *Worker, ln net.Listener) *Server {
	return &Server{worker: w, ln: fault.NewListener(ln)}
}

// Address returns the address of the listener.
func (s *Server) Address() net.Addr { return s.ln.Addr() }

// Serve serves w on ln until ctx ends and then closes ln. POST /control injects
// faults, and GET /history returns the history of attempts.
func Serve(ctx context.Context, ln net.Listener, w *Worker) error {
	return NewServer(w, ln).Serve(ctx)
}

// Serve serves until ctx ends and closes the listener.
func (s *Server) Serve(ctx context.Context) error {
	return httpserve.Serve(ctx, s.ln, s.handler())
}

// ServeControl serves only /control and /history on ln until ctx ends. Connection
// faults do not affect ln.
func (s *Server) ServeControl(ctx context.Context, ln net.Listener) error {
	r := mux.NewRouter()
	s.addControl(r)
	return httpserve.Serve(ctx, ln, r)
}

// SetConnectionMode sets whether connections pass, are refused, or stay open
// without transferring data. If limit is positive, the mode becomes ModePass
// again after that time.
func (s *Server) SetConnectionMode(m Mode, limit time.Duration) { s.ln.SetMode(m, limit) }

// SilenceEstablished blocks the existing connections permanently: they stay open
// but transfer no data. New connections work.
func (s *Server) SilenceEstablished() { s.ln.SilenceEstablished() }

// Apply applies c. If a mode in c is not valid, it changes nothing and returns an
// error.
func (s *Server) Apply(c Control) error {
	for _, m := range []*Mode{c.Calls, c.Connections} {
		if m != nil && !m.Valid() {
			return newError(domain.KindBadRequest, domain.RequestID{}, "a mode is not pass, refuse or hang", "correct the field and send the request again")
		}
	}
	s.applyWorker(c)
	if c.SilenceEstablished {
		s.SilenceEstablished()
	}
	if c.Connections != nil {
		s.SetConnectionMode(*c.Connections, time.Duration(c.ConnectionsMillis)*time.Millisecond)
	}
	return nil
}

func (s *Server) applyWorker(c Control) {
	w := s.worker
	if c.Calls != nil {
		w.SetCallMode(*c.Calls)
	}
	if c.DelayMillis != nil {
		w.SetDelay(time.Duration(*c.DelayMillis) * time.Millisecond)
	}
	if c.FailAll != nil {
		w.SetFailAll(*c.FailAll)
	}
	if c.Leaving != nil {
		w.SetLeaving(*c.Leaving)
	}
	if c.SwapNext != nil {
		w.SwapNext(*c.SwapNext)
	}
	if c.Paused != nil && *c.Paused {
		w.Pause()
	}
	if c.Paused != nil && !*c.Paused {
		w.Resume()
	}
	if c.Restart {
		w.Restart()
	}
}

func (s *Server) handler() http.Handler {
	r := mux.NewRouter()
	w := s.worker
	post := func(path string, h http.Handler) { r.Handle(path, h).Methods(http.MethodPost) }
	post(wire.PathAttach, httpserve.JSONHandler(w.Attach, nil))
	post(wire.PathRenew, httpserve.JSONHandler(w.Renew, nil))
	post(wire.PathStart, httpserve.JSONHandler(w.Start, statusID))
	post(wire.PathRun, httpserve.JSONHandler(w.Run, statusID))
	post(wire.PathStop, httpserve.JSONHandler(w.Stop, statusID))
	post(wire.PathThrottle, httpserve.JSONHandler(w.serveThrottle, nil))
	post(wire.PathLookup, httpserve.JSONHandler(w.serveLookup, statusID))
	s.addControl(r)
	return r
}

func (s *Server) addControl(r *mux.Router) {
	r.Handle(wire.PathControl, httpserve.JSONHandler(s.serveControl, nil)).Methods(http.MethodPost)
	r.HandleFunc(PathHistory, s.serveHistory).Methods(http.MethodGet)
}

// statusID returns the id of the request that the status is about.
func statusID(s platform.TaskStatus) string { return s.Task.ID.String() }

func (w *Worker) serveThrottle(ctx context.Context, req platform.ThrottleRequest) (wire.Empty, error) {
	return wire.Empty{}, w.Throttle(ctx, req)
}

func (w *Worker) serveLookup(ctx context.Context, req wire.LookupRequest) (platform.TaskStatus, error) {
	return w.Lookup(ctx, req.ID)
}

func (s *Server) serveControl(_ context.Context, c Control) (wire.Empty, error) {
	return wire.Empty{}, s.Apply(c)
}

func (s *Server) serveHistory(rw http.ResponseWriter, r *http.Request) {
	httpserve.WriteReply(rw, wire.IdentityFromHeaders(r.Header), s.worker.History(), nil)
}
