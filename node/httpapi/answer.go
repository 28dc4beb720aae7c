package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/service"
)

// OutcomeResponse is the response about one request. Clients can decode it as a
// domain.Outcome and, if there is an error, also as a domain.Error.
type OutcomeResponse struct {
	domain.Outcome
	RequestID string           `json:"request_id"`
	Kind      domain.ErrorKind `json:"kind,omitempty"`
	Message   string           `json:"message,omitempty"`
	Remedy    string           `json:"remedy,omitempty"`
}

// ChangeResponse is the response to POST /v1/config. If the change was rejected,
// clients can decode it as a domain.Error, and it contains the configuration in
// force.
type ChangeResponse struct {
	service.ChangeResult
	Kind          domain.ErrorKind      `json:"kind,omitempty"`
	Message       string                `json:"message,omitempty"`
	Remedy        string                `json:"remedy,omitempty"`
	Configuration *domain.Configuration `json:"configuration,omitempty"`
}

// writeJSON sends a complete JSON response. Write errors are only counted: the
// client has disconnected, and it can look up its request later.
func (s *Server) writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		body, _ = json.Marshal(internalError(err))
	}
	w.Header().Set("Content-Type", "application/json")
	s.writeBody(w, status, append(body, '\n'))
}

// writeBody sends a complete body of any content type.
func (s *Server) writeBody(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(ChecksumHeader, Checksum(body))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.metrics.lostResponses.Inc(1)
	}
}

// bufferedResponse is an http.ResponseWriter that buffers the response until it
// is complete.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *bufferedResponse) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *bufferedResponse) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *bufferedResponse) Write(data []byte) (int, error) { return a.body.Write(data) }

func (s *Server) writeError(w http.ResponseWriter, err *domain.Error) {
	s.writeErrorStatus(w, err.HTTPStatus(), err)
}

func (s *Server) writeErrorStatus(w http.ResponseWriter, status int, err *domain.Error) {
	if err.RequestID != "" {
		w.Header().Set(IDHeader, err.RequestID)
	}
	s.writeJSON(w, status, err)
}

// writeOutcome sends an outcome. If err is set, it sends the error instead, with
// the request id if that is known.
func (s *Server) writeOutcome(w http.ResponseWriter, knownID domain.RequestID, o domain.Outcome, err error, status int) {
	if o.ID.IsZero() {
		o.ID = knownID
	}
	if err != nil {
		s.writeError(w, withID(domain.AsError(err), o.ID))
		return
	}
	if o.ID.IsZero() {
		s.writeError(w, internalError("the outcome has no request id"))
		return
	}
	o.Err = withID(outcomeError(o), o.ID)
	body := OutcomeResponse{Outcome: o, RequestID: o.ID.String()}
	if o.Err != nil {
		body.Kind, body.Message, body.Remedy = o.Err.Kind, o.Err.Message, o.Err.Remedy
		status = o.Err.HTTPStatus()
	}
	w.Header().Set(IDHeader, body.RequestID)
	s.writeJSON(w, status, body)
}

// outcomeStatus returns the HTTP status for an outcome without an error.
func outcomeStatus(state domain.OutcomeState) int {
	switch state {
	case domain.OutcomeAccepted, domain.OutcomeRunning:
		return http.StatusAccepted
	}
	return http.StatusOK
}

// outcomeError returns the error of an outcome. States that must never look like
// success get a generic error if the outcome has none.
func outcomeError(o domain.Outcome) *domain.Error {
	if o.Err != nil {
		return o.Err
	}
	switch o.State {
	case domain.OutcomeFailed:
		return &domain.Error{Kind: domain.KindTaskFailed, Message: "the task ran and failed", Remedy: "read the task's own log"}
	case domain.OutcomeNotRun:
		return &domain.Error{Kind: domain.KindNotRun, Message: "the task did not run and will not run", Remedy: "send the request again under a new key or id"}
	case domain.OutcomeSucceeded, domain.OutcomeAccepted, domain.OutcomeRunning, domain.OutcomeCancelled:
		return nil
	}
	return &domain.Error{Kind: domain.KindOutcomeUnknown, Message: "it is not known whether the task ran", Remedy: "look the request up with GET /v1/requests/{id}"}
}
