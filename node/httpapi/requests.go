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

// Bounds of one POST /v1/ids, as in service.Requests.
const (
	minIDs = 1
	maxIDs = 1000
)

const (
	// callTimeout bounds calls that have no deadline of their own.
	callTimeout = 10 * time.Second
	// outcomeMargin is the time that the service has to report the outcome of
	// an urgent request after its deadline.
	outcomeMargin = 500 * time.Millisecond
)

// IDsBody is the body of POST /v1/ids.
type IDsBody struct {
	// Count is the number of ids, 1 if absent.
	Count *int `json:"count,omitempty"`
}

// IDsResponse is the answer to POST /v1/ids.
type IDsResponse struct {
	IDs []domain.RequestID `json:"ids"`
}

// ExplainResponse is the answer to GET /v1/explain/{id}, oldest entry first.
type ExplainResponse struct {
	ID      domain.RequestID `json:"id"`
	Entries []explain.Entry  `json:"entries"`
}

func (s *Server) postIDs(w http.ResponseWriter, r *http.Request) {
	count, fault := s.readCount(w, r)
	if fault != nil {
		s.writeError(w, fault)
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

// readCount returns how many ids are asked for; an empty body asks for one.
func (s *Server) readCount(w http.ResponseWriter, r *http.Request) (int, *domain.Error) {
	data, fault := s.readBody(w, r)
	if fault != nil || len(data) == 0 {
		return minIDs, fault
	}
	var body IDsBody
	if fault := decodeStrict(data, &body); fault != nil {
		return 0, fault
	}
	if body.Count == nil {
		return minIDs, nil
	}
	if *body.Count < minIDs || *body.Count > maxIDs {
		return 0, badRequest(fmt.Sprintf("count is %d", *body.Count), fmt.Sprintf("set count to %d to %d", minIDs, maxIDs))
	}
	return *body.Count, nil
}

func (s *Server) postRequest(w http.ResponseWriter, r *http.Request) {
	n, fault := parseRequestName(r.Header)
	if fault != nil {
		s.writeError(w, fault)
		return
	}
	known := n.id
	if n.key != "" {
		known = s.cfg.Requests.KeyID(n.key)
	}
	data, fault := s.readBody(w, r)
	if fault != nil {
		s.writeError(w, withID(fault, known))
		return
	}
	var body SubmitBody
	if fault := decodeStrict(data, &body); fault != nil {
		s.writeError(w, withID(fault, known))
		return
	}
	req, fault := body.submitRequest(n, time.Duration(s.cfg.Limits.MaxDeadline))
	if fault != nil {
		s.writeError(w, withID(fault, known))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout(req.Task))
	defer cancel()
	o, err := s.cfg.Requests.Submit(ctx, req)
	status := outcomeStatus(o.State)
	if o.State == domain.OutcomeCancelled {
		// A repeat of a cancelled request must not look as if it ran.
		status = http.StatusConflict
	}
	s.writeOutcome(w, known, o, err, status)
}

func submitTimeout(t domain.Task) time.Duration {
	if t.Kind == domain.KindUrgent {
		return t.Deadline + outcomeMargin
	}
	return callTimeout
}

// outcomeHandler serves a call about one request id.
func (s *Server) outcomeHandler(call func(context.Context, domain.RequestID) (domain.Outcome, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, fault := parseID(mux.Vars(r)["id"])
		if fault != nil {
			s.writeError(w, fault)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		o, err := call(ctx, id)
		s.writeOutcome(w, id, o, err, outcomeStatus(o.State))
	}
}

func (s *Server) getExplain(w http.ResponseWriter, r *http.Request) {
	id, fault := parseID(mux.Vars(r)["id"])
	if fault != nil {
		s.writeError(w, fault)
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
