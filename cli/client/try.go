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

// call describes one API call.
type call struct {
	method string
	path   string
	header http.Header
	// body is sent as JSON; nil means no body.
	body any
	// retryable is true if the call can be resent although a node may already
	// have received it.
	retryable bool
	// timeout is the maximum duration of the call to one node; zero means the
	// timeout of the client.
	timeout time.Duration
	// retryWindow is the time from the start of the call after which it is not
	// sent to another node; zero means no limit.
	retryWindow time.Duration
	// requestID is the id of the request that the response must refer to; zero
	// means that this is not checked.
	requestID domain.RequestID
}

// response is a complete response whose checksum is correct.
type response struct {
	status int
	body   []byte
}

// nodeResult is the result of a call to one node.
type nodeResult struct {
	node     string
	response response
	// connected is true if a connection was established, so that the node may
	// have received the call.
	connected bool
	// refused is true if the node replied that it has not started or changed
	// anything.
	refused bool
	err     error
}

// do calls one node after the other until one returns a usable response. An error
// of kind KindUnavailable means that nothing was started or changed. An error of
// kind KindOutcomeUnknown means that the call may have taken effect.
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
		result := c.callNode(ctx, node, cl, data)
		if result.err == nil {
			return result.response, nil
		}
		failed = append(failed, result)
		if ctx.Err() != nil || (result.connected && !cl.retryable) {
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
		return nil, &domain.Error{Kind: domain.KindBadRequest, Message: "the body cannot be encoded as JSON: " + err.Error(), Remedy: "correct the values"}
	}
	return data, nil
}

// callNode calls one node. It treats an error response of kind KindUnavailable as
// a failed call: the node has changed nothing, and another node may be able to
// serve the call.
func (c *Client) callNode(ctx context.Context, node string, cl call, data []byte) nodeResult {
	timeout := cl.timeout
	if timeout == 0 {
		timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := nodeResult{node: node}
	var connected atomic.Bool
	result.response, result.err = c.roundTrip(withConnTrace(ctx, &connected), node, cl, data)
	result.connected = connected.Load()
	if result.err != nil {
		return result
	}
	if refusal := unavailableError(result.response); refusal != nil {
		result.err, result.refused = refusal, true
	}
	return result
}

// withConnTrace returns a context for a request of the HTTP client. The client
// sets connected to true once it has a connection for the request.
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

// checkRequestID returns an error if the response refers to another request.
func checkRequestID(want domain.RequestID, header http.Header) error {
	got := header.Get(httpapi.IDHeader)
	if want.IsZero() || got == "" || got == want.String() {
		return nil
	}
	return &domain.Error{
		Kind:    domain.KindOutcomeUnknown,
		Message: fmt.Sprintf("the response refers to request %s, not %s", got, want),
		Remedy:  "look up the request with basilferry get",
	}
}

// unavailableError returns the error in the response of a node that could not
// serve the call and has changed nothing. It returns nil for any other response,
// also for one that contains an outcome.
func unavailableError(resp response) *domain.Error {
	if resp.status != http.StatusServiceUnavailable {
		return nil
	}
	var body struct {
		domain.Error
		State domain.OutcomeState `json:"state"`
	}
	if json.Unmarshal(resp.body, &body) != nil || body.State != "" || body.Kind != domain.KindUnavailable {
		return nil
	}
	return &body.Error
}

// noResponseError returns the error of a call to which no node returned a usable
// response.
func noResponseError(cl call, failed []nodeResult) *domain.Error {
	lost := false
	causes := make([]string, len(failed))
	for i, result := range failed {
		lost = lost || (result.connected && !result.refused)
		causes[i] = result.node + ": " + errorText(result.err)
	}
	tried := strings.Join(causes, "; ")
	if lost && cl.method != http.MethodGet {
		return &domain.Error{
			Kind:    domain.KindOutcomeUnknown,
			Message: "the call was sent but its response was lost (" + tried + ")",
			Remedy:  "check the result before you send the call again",
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
		Message: "no entry node responds (" + tried + ")",
		Remedy:  "check the addresses given with --node or BASILFERRY_NODES, or add more nodes",
	}
}

// errorText returns a short text for the error of a failed call. It drops the
// method and URL that net/http puts before a transport error.
func errorText(err error) string {
	var typed *domain.Error
	if errors.As(err, &typed) {
		return typed.Message
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "no response in time"
	}
	text := err.Error()
	if at := strings.Index(text, `": `); at >= 0 {
		text = text[at+len(`": `):]
	}
	return text
}
