package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/service"
)

const (
	// defaultChangeWait is how long POST /v1/config waits for all nodes if the
	// query does not set wait. A take-out is in force on all reachable nodes within
	// 3 s; another change can take up to 11 s in a cluster of the target size
	// (docs/design.md).
	defaultChangeWait = 3 * time.Second
	maxChangeWait     = 30 * time.Second

	defaultHistoryLimit = 50
	maxHistoryLimit     = 500
)

// HistoryResponse is the response to GET /v1/config/history, newest decision
// first.
type HistoryResponse struct {
	Decisions []configlog.Decision `json:"decisions"`
}

// NodesResponse is the response to GET /v1/nodes.
type NodesResponse struct {
	Nodes []service.NodeStatus `json:"nodes"`
}

// WorkersResponse is the response to GET /v1/workers. Missing lists the failure
// domains that did not respond.
type WorkersResponse struct {
	Workers []service.WorkerStatus `json:"workers"`
	Missing []domain.FailureDomain `json:"missing,omitempty"`
}

func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, http.StatusOK, s.cfg.Operations.Configuration())
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > maxHistoryLimit {
			s.writeError(w, badRequestError(fmt.Sprintf("limit %q is out of range", text), fmt.Sprintf("set limit to 1 to %d", maxHistoryLimit)))
			return
		}
		limit = parsed
	}
	decisions := append([]configlog.Decision{}, s.cfg.Operations.History(limit)...)
	s.writeJSON(w, http.StatusOK, HistoryResponse{Decisions: decisions})
}

func (s *Server) postConfig(w http.ResponseWriter, r *http.Request) {
	wait, apiErr := readWait(r)
	if apiErr != nil {
		s.writeError(w, apiErr)
		return
	}
	change, apiErr := s.readChange(w, r)
	if apiErr != nil {
		s.writeError(w, apiErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout+wait)
	defer cancel()
	result, err := s.cfg.Operations.Change(ctx, change, wait)
	if err != nil {
		s.writeError(w, domain.AsError(err))
		return
	}
	s.writeChange(w, result)
}

func readWait(r *http.Request) (time.Duration, *domain.Error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return defaultChangeWait, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxChangeWait {
		return 0, badRequestError(fmt.Sprintf("wait %q is out of range", text), "set wait to a duration from 0s to "+maxChangeWait.String())
	}
	return wait, nil
}

func (s *Server) readChange(w http.ResponseWriter, r *http.Request) (configlog.Change, *domain.Error) {
	var change configlog.Change
	data, apiErr := s.readBody(w, r)
	if apiErr != nil {
		return change, apiErr
	}
	if apiErr := decodeStrict(data, &change); apiErr != nil {
		return change, apiErr
	}
	if !hasBase(data) {
		return change, badRequestError("the change has no base version", "set base to the version from GET /v1/config")
	}
	if err := configlog.ValidateChange(change); err != nil {
		return change, domain.AsError(err)
	}
	return change, nil
}

// hasBase reports whether the body sets base. This distinguishes a change based
// on version 0 from one without base.
func hasBase(data []byte) bool {
	var fields struct {
		Base json.RawMessage `json:"base"`
	}
	err := json.Unmarshal(data, &fields)
	return err == nil && len(fields.Base) > 0 && !bytes.Equal(fields.Base, []byte("null"))
}

// writeChange responds with status 200 if the change is in force on every node,
// and with 202 if nodes are missing or the change is provisional. A rejected
// change gets the status of its error.
func (s *Server) writeChange(w http.ResponseWriter, result service.ChangeResult) {
	body := ChangeResponse{ChangeResult: result}
	status := http.StatusOK
	if result.Provisional || len(result.Missing) > 0 {
		status = http.StatusAccepted
	}
	if err := result.Decision.Err; err != nil {
		body.Kind, body.Message, body.Remedy = err.Kind, err.Message, err.Remedy
		inForce := s.cfg.Operations.Configuration()
		body.Configuration = &inForce
		status = err.HTTPStatus()
	}
	s.writeJSON(w, status, body)
}

func (s *Server) getNodes(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	nodes, err := s.cfg.Operations.Nodes(ctx)
	if err != nil {
		s.writeError(w, domain.AsError(err))
		return
	}
	s.writeJSON(w, http.StatusOK, NodesResponse{Nodes: append([]service.NodeStatus{}, nodes...)})
}

func (s *Server) getWorkers(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	workers, missing, err := s.cfg.Operations.Workers(ctx)
	if err != nil {
		s.writeError(w, domain.AsError(err))
		return
	}
	s.writeJSON(w, http.StatusOK, WorkersResponse{Workers: append([]service.WorkerStatus{}, workers...), Missing: missing})
}
