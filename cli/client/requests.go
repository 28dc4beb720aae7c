package client

import (
	"context"
	"net/http"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
)

// RequestName identifies a request to the node by an idempotency key or by a
// reserved id, so that the client can resend the request. At most one of them is
// set.
type RequestName struct {
	Key string
	ID  domain.RequestID
}

// CanResend reports whether the request can be resent without running twice.
func (n RequestName) CanResend() bool { return n.Key != "" || !n.ID.IsZero() }

func (n RequestName) header() http.Header {
	header := http.Header{}
	if n.Key != "" {
		header.Set(httpapi.KeyHeader, n.Key)
	}
	if !n.ID.IsZero() {
		header.Set(httpapi.IDHeader, n.ID.String())
	}
	return header
}

// Submit sends a request and returns its outcome. The outcome of an urgent
// request is final. A request without a key or id is sent to a second node only
// if no connection to the first was established. An urgent request is not resent
// after its deadline.
func (c *Client) Submit(ctx context.Context, n RequestName, body httpapi.SubmitBody) (httpapi.OutcomeResponse, error) {
	cl := call{
		method:    http.MethodPost,
		path:      "/v1/requests",
		header:    n.header(),
		body:      body,
		retryable: n.CanResend(),
		requestID: n.ID,
	}
	if body.Kind == domain.KindUrgent && body.DeadlineMS > 0 {
		cl.retryWindow = time.Duration(body.DeadlineMS) * time.Millisecond
		cl.timeout = cl.retryWindow + responseMargin
	}
	return c.callForOutcome(ctx, cl)
}

// Lookup returns the known outcome of a request.
func (c *Client) Lookup(ctx context.Context, id domain.RequestID) (httpapi.OutcomeResponse, error) {
	return c.callForOutcome(ctx, call{method: http.MethodGet, path: "/v1/requests/" + id.String(), retryable: true, requestID: id})
}

// Cancel stops a request and returns its outcome. It is idempotent.
func (c *Client) Cancel(ctx context.Context, id domain.RequestID) (httpapi.OutcomeResponse, error) {
	return c.callForOutcome(ctx, call{method: http.MethodDelete, path: "/v1/requests/" + id.String(), retryable: true, requestID: id})
}

// callForOutcome makes a call and returns the outcome in the response, also if it
// is a failure. It returns an error if there is no outcome.
func (c *Client) callForOutcome(ctx context.Context, cl call) (httpapi.OutcomeResponse, error) {
	var body httpapi.OutcomeResponse
	resp, err := c.do(ctx, cl)
	if err != nil {
		return body, err
	}
	if err := decode(resp, &body); err != nil {
		return body, err
	}
	if body.State == "" {
		return httpapi.OutcomeResponse{}, responseError(resp)
	}
	if !cl.requestID.IsZero() && body.ID != cl.requestID {
		return httpapi.OutcomeResponse{}, unreadableResponseError(resp)
	}
	return body, nil
}

// ReserveIDs reserves n new request ids.
func (c *Client) ReserveIDs(ctx context.Context, n int) ([]domain.RequestID, error) {
	got, err := fetch[httpapi.IDsResponse](ctx, c, call{
		method:    http.MethodPost,
		path:      "/v1/ids",
		body:      httpapi.IDsBody{Count: &n},
		retryable: true,
	})
	return got.IDs, err
}

// Explain returns the reasons for the decisions on a request, oldest first.
func (c *Client) Explain(ctx context.Context, id domain.RequestID) (httpapi.ExplainResponse, error) {
	return fetch[httpapi.ExplainResponse](ctx, c, call{method: http.MethodGet, path: "/v1/explain/" + id.String(), retryable: true, requestID: id})
}
