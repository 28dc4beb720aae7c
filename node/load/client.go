package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
)

// answerTimeoutMargin is added to the deadline of a request to get the timeout of
// the call. A call without a deadline has this timeout.
const answerTimeoutMargin = 2 * time.Second

// APIClient sends requests to entry nodes. It is safe for concurrent use.
type APIClient struct {
	httpClient *http.Client
}

// NewAPIClient returns a client that keeps up to maxIdlePerNode idle connections to
// each node.
func NewAPIClient(maxIdlePerNode int) *APIClient {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerNode, MaxConnsPerHost: 0}
	return &APIClient{httpClient: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *APIClient) Close() { c.httpClient.CloseIdleConnections() }

// Submit sends a task to the node at baseURL ("http://ip:port") with an idempotency
// key; an empty key is not sent. It returns the outcome, or an error if the answer
// is incomplete or contains no outcome.
func (c *APIClient) Submit(ctx context.Context, baseURL, key string, task domain.Task) (domain.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, task.Deadline+answerTimeoutMargin)
	defer cancel()
	payload := string(task.Payload)
	body, err := json.Marshal(httpapi.SubmitBody{
		Kind:       task.Kind,
		Class:      task.Class,
		Team:       task.Team,
		DeadlineMS: task.Deadline.Milliseconds(),
		Resources:  task.Resources,
		Idempotent: task.Idempotent,
		Payload:    &payload,
	})
	if err != nil {
		return domain.Outcome{}, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v1/requests", bytes.NewReader(body))
	if err != nil {
		return domain.Outcome{}, fmt.Errorf("make request: %w", err)
	}
	if key != "" {
		req.Header.Set(httpapi.KeyHeader, key)
	}
	return c.fetchOutcome(req)
}

// Get returns the outcome of a request as the node at baseURL knows it.
func (c *APIClient) Get(ctx context.Context, baseURL string, id domain.RequestID) (domain.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeoutMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/v1/requests/"+id.String(), nil)
	if err != nil {
		return domain.Outcome{}, fmt.Errorf("make request: %w", err)
	}
	return c.fetchOutcome(req)
}

func (c *APIClient) fetchOutcome(req *http.Request) (domain.Outcome, error) {
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return domain.Outcome{}, fmt.Errorf("no answer: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return domain.Outcome{}, fmt.Errorf("answer is incomplete: %w", err)
	}
	if err := httpapi.Verify(resp.Header, data); err != nil {
		return domain.Outcome{}, err
	}
	return decodeOutcome(data)
}

// decodeOutcome decodes an outcome, or returns the error that was sent instead.
func decodeOutcome(data []byte) (domain.Outcome, error) {
	var o domain.Outcome
	if err := json.Unmarshal(data, &o); err == nil && o.State != "" {
		return o, nil
	}
	var apiErr domain.Error
	if err := json.Unmarshal(data, &apiErr); err != nil {
		return domain.Outcome{}, fmt.Errorf("decode answer: %w", err)
	}
	return domain.Outcome{}, &apiErr
}

// CheckReady returns nil if the node at baseURL can reserve request ids.
func (c *APIClient) CheckReady(ctx context.Context, baseURL string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v1/ids", nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}
