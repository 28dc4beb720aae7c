package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
)

// call is one call of the API.
type call struct {
	method string
	path   string
	header http.Header
	// body is sent as JSON; nil for none.
	body any
	// retryable tells that the call may be sent again after it may have arrived.
	retryable bool
	// timeout bounds the call at one node; zero for the client's.
	timeout time.Duration
	// retryWindow bounds the time after which the call is not sent again; zero
	// for no bound.
	retryWindow time.Duration
	// requestID is the request that the answer must name; zero for none.
	requestID domain.RequestID
}

// response is a whole answer that matches its checksum.
type response struct {
	status int
	body   []byte
}

// nodeResult is what became of a call at one node.
type nodeResult struct {
	node     string
	response response
	// connected tells that the connection was made.
	connected bool
	// refused tells that the node said that it has started and changed nothing.
	refused bool
	err     error
}

// do calls one node after the other until one gives a usable answer. An error
// of kind KindUnavailable means that nothing was started or changed, one of kind
// KindOutcomeUnknown that this cannot be shown.
func (c *Client) do(ctx context.Context, cl call) (response, error) {
	data, err := encodeBody(cl.body)
	if err != nil {
		return response{}, err
	}
	start := time.Now()
	var failed []nodeResult
	for _, node := range c.nodes {
		if cl.retryWindow > 0 && len(failed) > 0 && time.Since(start) > cl.retryWindow {
			break
		}
		a := c.callNode(ctx, node, cl, data)
		if a.err == nil {
			return a.response, nil
		}
		failed = append(failed, a)
		if ctx.Err() != nil || (a.connected && !cl.retryable) {
			break
		}
	}
	return response{}, noResponseError(cl, failed)
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, &domain.Error{Kind: domain.KindBadRequest, Message: "the body cannot be written as JSON: " + err.Error(), Remedy: "correct the values"}
	}
	return data, nil
}

// callNode calls one node. An answer of kind KindUnavailable counts as none,
// because another node may do better; the node has changed nothing then.
func (c *Client) callNode(ctx context.Context, node string, cl call, data []byte) nodeResult {
	timeout := cl.timeout
	if timeout == 0 {
		timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a := nodeResult{node: node}
	var connected atomic.Bool
	a.response, a.err = c.roundTrip(withConnTrace(ctx, &connected), node, cl, data)
	a.connected = connected.Load()
	if a.err != nil {
		return a
	}
	if refusal := unavailableError(a.response); refusal != nil {
		a.err, a.refused = refusal, true
	}
	return a
}

// withConnTrace sets sent once a connection is there to write the request to.
func withConnTrace(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}

func (c *Client) roundTrip(ctx context.Context, node string, cl call, data []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, cl.method, node+cl.path, bytes.NewReader(data))
	if err != nil {
		return response{}, err
	}
	for name, values := range cl.header {
		req.Header[name] = values
	}
	if data != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, err
	}
	if err := httpapi.Verify(resp.Header, body); err != nil {
		return response{}, err
	}
	return response{status: resp.StatusCode, body: body}, checkRequestID(cl.requestID, resp.Header)
}

// checkRequestID refuses an answer about another request.
func checkRequestID(want domain.RequestID, header http.Header) error {
	got := header.Get(httpapi.IDHeader)
	if want.IsZero() || got == "" || got == want.String() {
		return nil
	}
	return &domain.Error{
		Kind:    domain.KindOutcomeUnknown,
		Message: fmt.Sprintf("the answer is about request %s, not %s", got, want),
		Remedy:  "look the request up with basilferry get",
	}
}

// unavailableError returns the error of a node that could not serve the call and has
// changed nothing. An outcome is not such an error.
func unavailableError(a response) *domain.Error {
	if a.status != http.StatusServiceUnavailable {
		return nil
	}
	var body struct {
		domain.Error
		State domain.OutcomeState `json:"state"`
	}
	if json.Unmarshal(a.body, &body) != nil || body.State != "" || body.Kind != domain.KindUnavailable {
		return nil
	}
	return &body.Error
}

// noResponseError returns the error of a call that no node answered.
func noResponseError(cl call, failed []nodeResult) *domain.Error {
	lost := false
	causes := make([]string, len(failed))
	for i, a := range failed {
		lost = lost || (a.connected && !a.refused)
		causes[i] = a.node + ": " + errorText(a.err)
	}
	tried := strings.Join(causes, "; ")
	if lost && cl.method != http.MethodGet {
		return &domain.Error{
			Kind:    domain.KindOutcomeUnknown,
			Message: "the call was sent but its answer was lost (" + tried + ")",
			Remedy:  "ask for the result before you send it again",
		}
	}
	if len(failed) == 1 {
		var typed *domain.Error
		if errors.As(failed[0].err, &typed) && typed.Kind == domain.KindUnavailable {
			return typed
		}
	}
	return &domain.Error{
		Kind:    domain.KindUnavailable,
		Message: "no node answers (" + tried + ")",
		Remedy:  "check the addresses given with --node or BASILFERRY_NODES, or name more nodes",
	}
}

// errorText shortens the text of a transport error.
func errorText(err error) string {
	var typed *domain.Error
	if errors.As(err, &typed) {
		return typed.Message
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer in time"
	}
	text := err.Error()
	if at := strings.Index(text, `": `); at >= 0 {
		text = text[at+len(`": `):]
	}
	return text
}
