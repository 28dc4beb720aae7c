package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/explain"
)

// Bounds for the number of ids in one POST /v1/ids, as in service.Requests.
const (
	minIDs = 1
	maxIDs = 1000
)

const (
	// callTimeout bounds service calls that have no deadline of their own.
	callTimeout = 10 * time.Second
	// outcomeMargin is how long after the deadline of an urgent request the
	// service may take to report its outcome.
	outcomeMargin = 500 * time.Millisecond
)

// IDsBody is the body of POST /v1/ids.
type IDsBody struct {
	// Count is the number of ids to reserve, 1 if absent.
	Count *int `json:"count,omitempty"`
}

// IDsResponse is the response to POST /v1/ids.
type IDsResponse struct {
	IDs []domain.RequestID `json:"ids"`
}

// ExplainResponse is the response to GET /v1/explain/{id}, oldest entry first.
type ExplainResponse struct {
	ID      domain.RequestID `json:"id"`
	Entries []explain.Entry  `json:"entries"`
}

func (s *Server) postIDs(w http.ResponseWriter, r *http.Request) {
	count, apiErr := s.readCount(w, r)
	if apiErr != nil {
		s.writeError(w, apiErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	ids, err := s.cfg.Requests.ReserveIDs(ctx, count)
	if err != nil {
		s.writeError(w, domain.AsError(err))
		return
	}
	s.writeJSON(w, http.StatusOK, IDsResponse{IDs: ids})
}

// readCount returns the requested number of ids; an empty body requests one.
func (s *Server) readCount(w http.ResponseWriter, r *http.Request) (int, *domain.Error) {
	data, apiErr := s.readBody(w, r)
	if apiErr != nil || len(data) == 0 {
		return minIDs, apiErr
	}
	var body IDsBody
	if apiErr := decodeStrict(data, &body); apiErr != nil {
		return 0, apiErr
	}
	if body.Count == nil {
		return minIDs, nil
	}
	if *body.Count < minIDs || *body.Count > maxIDs {
		return 0, badRequestError(fmt.Sprintf("count is %d", *body.Count), fmt.Sprintf("set count to %d to %d", minIDs, maxIDs))
	}
	return *body.Count, nil
}

func (s *Server) postRequest(w http.ResponseWriter, r *http.Request) {
	name, apiErr := parseRequestName(r.Header)
	if apiErr != nil {
		s.writeError(w, apiErr)
		return
	}
	knownID := name.id
	if name.key != "" {
		knownID = s.cfg.Requests.RequestIDForKey(name.key)
	}
	data, apiErr := s.readBody(w, r)
	if apiErr != nil {
		s.writeError(w, withID(apiErr, knownID))
		return
	}
	var body SubmitBody
	if apiErr := decodeStrict(data, &body); apiErr != nil {
		s.writeError(w, withID(apiErr, knownID))
		return
	}
	req, apiErr := body.submitRequest(name, time.Duration(s.cfg.Limits.MaxDeadline))
	if apiErr != nil {
		s.writeError(w, withID(apiErr, knownID))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout(req.Task))
	defer cancel()
	o, err := s.cfg.Requests.Submit(ctx, req)
	status := outcomeStatus(o.State)
	if o.State == domain.OutcomeCancelled {
		// A repeat of a cancelled request must not look as if the task ran.
		status = http.StatusConflict
	}
	s.writeOutcome(w, knownID, o, err, status)
}

func submitTimeout(t domain.Task) time.Duration {
	if t.Kind == domain.KindUrgent {
		return t.Deadline + outcomeMargin
	}
	return callTimeout
}

// outcomeHandler returns a handler that passes the request id of the path to call
// and responds with the outcome.
func (s *Server) outcomeHandler(call func(context.Context, domain.RequestID) (domain.Outcome, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, apiErr := parseID(mux.Vars(r)["id"])
		if apiErr != nil {
			s.writeError(w, apiErr)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		o, err := call(ctx, id)
		s.writeOutcome(w, id, o, err, outcomeStatus(o.State))
	}
}

func (s *Server) getExplain(w http.ResponseWriter, r *http.Request) {
	id, apiErr := parseID(mux.Vars(r)["id"])
	if apiErr != nil {
		s.writeError(w, apiErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	entries, err := s.cfg.Requests.Explain(ctx, id)
	if err != nil {
		s.writeError(w, withID(domain.AsError(err), id))
		return
	}
	s.writeJSON(w, http.StatusOK, ExplainResponse{ID: id, Entries: append([]explain.Entry{}, entries...)})
}
