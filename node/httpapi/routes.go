package httpapi

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"
)

// healthPath is the path of the health check.
const healthPath = "/healthz"

// route is one path and method. Client requests count towards the in-flight
// limit. Operator requests need the operator token and do not count, so that
// operators can still control an overloaded node.
type route struct {
	method   string
	path     string
	handler  http.HandlerFunc
	client   bool
	operator bool
}

func (s *Server) routes() []route {
	return []route{
		{method: http.MethodPost, path: "/v1/ids", handler: s.postIDs, client: true},
		{method: http.MethodPost, path: "/v1/requests", handler: s.postRequest, client: true},
		{method: http.MethodGet, path: "/v1/requests/{id}", handler: s.outcomeHandler(s.cfg.Requests.Lookup), client: true},
		{method: http.MethodDelete, path: "/v1/requests/{id}", handler: s.outcomeHandler(s.cfg.Requests.Cancel), client: true},
		{method: http.MethodGet, path: "/v1/explain/{id}", handler: s.getExplain, client: true},
		{method: http.MethodGet, path: "/v1/config", handler: s.getConfig, operator: true},
		{method: http.MethodPost, path: "/v1/config", handler: s.postConfig, operator: true},
		{method: http.MethodGet, path: "/v1/config/history", handler: s.getHistory, operator: true},
		{method: http.MethodGet, path: "/v1/workers", handler: s.getWorkers, operator: true},
		{method: http.MethodGet, path: "/v1/nodes", handler: s.getNodes, operator: true},
		{method: http.MethodGet, path: "/v1/burn", handler: s.bufferedHandler(s.cfg.Burn), operator: true},
		{method: http.MethodGet, path: "/metrics", handler: s.bufferedHandler(s.cfg.Metrics)},
		{method: http.MethodGet, path: healthPath, handler: s.getHealth},
	}
}

// Handler returns the HTTP handler of the API, for use without a listener.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	// With path cleaning, the router responds with a redirect, which clients may
	// follow with another method.
	router.SkipClean(true)
	for _, rt := range s.routes() {
		var h http.Handler = rt.handler
		if rt.operator {
			h = s.withOperatorToken(h)
		}
		if rt.client {
			h = s.withInFlightLimit(h)
		}
		router.Handle(rt.path, s.withMetrics(rt.path, s.withRecovery(h))).Methods(rt.method)
	}
	router.NotFoundHandler = s.withMetrics("none", http.HandlerFunc(s.notFound))
	router.MethodNotAllowedHandler = s.withMetrics("none", s.methodNotAllowed(router))
	return s.withTracking(router)
}

// bufferedHandler wraps a handler of another package, so that its response is also
// sent with length and checksum. A nil handler is answered with KindNotFound.
func (s *Server) bufferedHandler(h http.Handler) http.HandlerFunc {
	if h == nil {
		return s.notFound
	}
	return func(w http.ResponseWriter, r *http.Request) {
		buffered := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		h.ServeHTTP(buffered, r)
		s.writeBody(w, buffered.status, buffered.body.Bytes())
	}
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.writeError(w, unknownPathError(r.URL.Path))
}

func (s *Server) methodNotAllowed(router *mux.Router) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var allowed []string
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			probe := *r
			probe.Method = method
			var match mux.RouteMatch
			if router.Match(&probe, &match) && match.MatchErr == nil {
				allowed = append(allowed, method)
			}
		}
		w.Header().Set("Allow", strings.Join(allowed, ", "))
		s.writeErrorStatus(w, http.StatusMethodNotAllowed, wrongMethodError(r.Method, allowed))
	})
}

// HealthResponse is the response to GET /healthz of a node that can serve
// requests.
type HealthResponse struct {
	Status string `json:"status"`
}

func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() {
		s.writeError(w, nodeStoppingError())
		return
	}
	if s.cfg.Ready != nil {
		if apiErr := s.cfg.Ready(); apiErr != nil {
			s.writeError(w, apiErr)
			return
		}
	}
	s.writeJSON(w, http.StatusOK, HealthResponse{Status: "ok"})
}
