// Package platformhttp is the HTTP transport of the platform clients: many
// calls on one cleartext HTTP/2 connection, pings as heartbeat, and a check of
// each answer against its request.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform/wire"
)

// Time limits of a connection. After IdleBeforePing + PingTimeout without a
// frame the connection is closed; its calls fail and the next call dials again.
const (
	DialTimeout    = 500 * time.Millisecond
	IdleBeforePing = 500 * time.Millisecond
	PingTimeout    = 500 * time.Millisecond
	// IdleTimeout closes connections to services that are called no more.
	IdleTimeout = time.Minute
)

// Client calls one service. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Uint64
}

// New returns a client of the service at base, "http://ip:port".
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: newTransport()}}
}

func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: DialTimeout}
	return &http.Transport{
		DialContext:     dialer.DialContext,
		Protocols:       protocols,
		IdleConnTimeout: IdleTimeout,
		// Without it, calls that come during the first dial each dial a
		// connection of their own. A connection that is closed or takes no
		// more calls does not count.
		MaxConnsPerHost: 1,
		HTTP2: &http.HTTP2Config{
			// Calls over the limit of the connection wait. The limit is 100
			// until the server's settings arrive; without this option a burst
			// during that time opens a second connection.
			StrictMaxConcurrentRequests: true,
			SendPingTimeout:             IdleBeforePing,
			PingTimeout:                 PingTimeout,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call posts in as JSON to path and decodes the answer into out. requestID is
// the request that the call is about, or empty. Errors unwrap to
// *domain.Error: the one in the answer, a *wire.MismatchError, or one of kind
// KindUnavailable for any error of the transport (see NotSent).
func (c *Client) Call(ctx context.Context, path, requestID string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &domain.Error{Kind: domain.KindInternal, Message: err.Error(), Remedy: "report this as a defect", RequestID: requestID}
	}
	if len(body) > wire.MaxRequestBytes {
		return tooLarge(len(body), requestID)
	}
	id := wire.Identity{Call: strconv.FormatUint(c.calls.Add(1), 10), Request: requestID}
	status, answer, err := c.post(ctx, path, id, body)
	if err != nil {
		return err
	}
	return decode(status, answer, requestID, out)
}

func tooLarge(n int, requestID string) error {
	return &domain.Error{
		Kind:      domain.KindTooLarge,
		Message:   fmt.Sprintf("the message has %d bytes, the limit is %d", n, wire.MaxRequestBytes),
		Remedy:    "send a reference to the data in place of the data",
		RequestID: requestID,
	}
}

// post returns the status and the verified body of the answer.
func (c *Client) post(ctx context.Context, path string, id wire.Identity, body []byte) (int, []byte, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, newTransportError(err, id.Request, true)
	}
	req.Header.Set("Content-Type", "application/json")
	wire.SetIntegrityHeaders(req.Header, id, body)
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, newTransportError(err, id.Request, !connected.Load())
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxReplyBytes+1))
	if err != nil {
		return 0, nil, newTransportError(err, id.Request, false)
	}
	if err := wire.Verify(resp.Header, id, answer); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, answer, nil
}

func decode(status int, answer []byte, requestID string, out any) error {
	if status == http.StatusOK {
		return unmarshal(answer, requestID, out)
	}
	typed := &domain.Error{}
	if err := unmarshal(answer, requestID, typed); err != nil {
		return err
	}
	if typed.Kind == "" {
		return &wire.MismatchError{Part: wire.PartBody, Want: "an error with a kind", Got: "status " + strconv.Itoa(status), RequestID: requestID}
	}
	return typed
}

func unmarshal(answer []byte, requestID string, out any) error {
	if err := json.Unmarshal(answer, out); err != nil {
		return &wire.MismatchError{Part: wire.PartBody, Want: "JSON of the contract", Got: err.Error(), RequestID: requestID}
	}
	return nil
}

// transportError is an error below the contract. It unwraps to a
// *domain.Error of kind KindUnavailable and to its cause.
type transportError struct {
	domainErr *domain.Error
	cause     error
	notSent   bool
}

// Error implements error.
func (e *transportError) Error() string { return e.domainErr.Error() }

// Unwrap lets errors.As find the *domain.Error and the cause.
func (e *transportError) Unwrap() []error { return []error{e.domainErr, e.cause} }

func newTransportError(cause error, requestID string, notSent bool) error {
	remedy := "look the request up by its id; the call may have taken effect"
	if notSent {
		remedy = "send the call again; it never reached the service"
	}
	return &transportError{
		domainErr: &domain.Error{
			Kind:      domain.KindUnavailable,
			Message:   cause.Error(),
			Remedy:    remedy,
			RequestID: requestID,
		},
		cause:   cause,
		notSent: notSent,
	}
}

// NotSent reports whether err shows that the call never reached the service:
// no connection was obtained for it, because dialling failed or the context
// ended before, so no byte of it was written. For any other error it returns
// false, and the call may have taken effect.
func NotSent(err error) bool {
	var failure *transportError
	return errors.As(err, &failure) && failure.notSent
}
