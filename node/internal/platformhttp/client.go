// Package platformhttp is the HTTP transport of the platform clients. It
// multiplexes calls on one cleartext HTTP/2 connection, detects a dead
// connection with HTTP/2 pings, and verifies that each answer is intact and
// belongs to its request.
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
// frame, the connection is closed: its calls fail, and the next call dials a new
// one.
const (
	DialTimeout    = 500 * time.Millisecond
	IdleBeforePing = 500 * time.Millisecond
	PingTimeout    = 500 * time.Millisecond
	// IdleTimeout is how long a connection without calls stays open.
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
		// Without this limit, each call that starts during the first dial
		// dials its own connection. Connections that are closed or accept no
		// more calls do not count towards the limit.
		MaxConnsPerHost: 1,
		HTTP2: &http.HTTP2Config{
			// Calls above the connection's limit of concurrent requests wait.
			// The limit is 100 until the server's settings arrive; without this
			// option, a burst before that opens a second connection.
			StrictMaxConcurrentRequests: true,
			SendPingTimeout:             IdleBeforePing,
			PingTimeout:                 PingTimeout,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call posts in as JSON to path and decodes the answer into out. requestID is
// the id of the request that the call concerns, or empty. Every error is or
// unwraps to a *domain.Error. It is the error in the answer, a
// *wire.MismatchError if the answer is damaged or belongs to another call, an
// error of kind KindUnavailable for any transport error (see IsNotSent), or an
// error of another kind if in cannot be encoded or is too large.
func (c *Client) Call(ctx context.Context, path, requestID string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &domain.Error{Kind: domain.KindInternal, Message: err.Error(), Remedy: "report this as a defect", RequestID: requestID}
	}
	if len(body) > wire.MaxRequestBytes {
		return tooLargeError(len(body), requestID)
	}
	id := wire.Identity{Call: strconv.FormatUint(c.calls.Add(1), 10), Request: requestID}
	status, response, err := c.post(ctx, path, id, body)
	if err != nil {
		return err
	}
	return decode(status, response, requestID, out)
}

func tooLargeError(n int, requestID string) error {
	return &domain.Error{
		Kind:      domain.KindTooLarge,
		Message:   fmt.Sprintf("the message has %d bytes, the limit is %d", n, wire.MaxRequestBytes),
		Remedy:    "send a reference to the data in place of the data",
		RequestID: requestID,
	}
}

// post sends a request and returns the status and the verified body of the
// response.
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
	response, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxReplyBytes+1))
	if err != nil {
		return 0, nil, newTransportError(err, id.Request, false)
	}
	if err := wire.Verify(resp.Header, id, response); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, response, nil
}

func decode(status int, response []byte, requestID string, out any) error {
	if status == http.StatusOK {
		return unmarshal(response, requestID, out)
	}
	domainErr := &domain.Error{}
	if err := unmarshal(response, requestID, domainErr); err != nil {
		return err
	}
	if domainErr.Kind == "" {
		return &wire.MismatchError{Part: wire.PartBody, Want: "an error with a kind", Got: "status " + strconv.Itoa(status), RequestID: requestID}
	}
	return domainErr
}

func unmarshal(response []byte, requestID string, out any) error {
	if err := json.Unmarshal(response, out); err != nil {
		return &wire.MismatchError{Part: wire.PartBody, Want: "JSON of the expected type", Got: err.Error(), RequestID: requestID}
	}
	return nil
}

// transportError is an error for which no answer of the service was received. It
// unwraps to a *domain.Error of kind KindUnavailable and to its cause.
type transportError struct {
	domainErr *domain.Error
	cause     error
	notSent   bool
}

// Error implements error.
func (e *transportError) Error() string { return e.domainErr.Error() }

// Unwrap returns the *domain.Error and the cause.
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

// IsNotSent reports whether err shows that the call never reached the service:
// no connection was obtained for it, because dialing failed or the context ended
// first, so no byte of it was written. For any other error it returns false, and
// the call may have taken effect.
func IsNotSent(err error) bool {
	var failure *transportError
	return errors.As(err, &failure) && failure.notSent
}
