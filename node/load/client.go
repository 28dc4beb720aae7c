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

// answerTimeoutMargin is how long a caller waits beyond the deadline of its request.
const answerTimeoutMargin = 2 * time.Second

// APIClient sends requests to entry nodes. It is safe for concurrent use.
type APIClient struct {
	httpClient *http.Client
}

// NewAPIClient returns a caller that keeps up to idle connections to each node.
func NewAPIClient(idle int) *APIClient {
	transport := &http.Transport{MaxIdleConnsPerHost: idle, MaxConnsPerHost: 0}
	return &APIClient{httpClient: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *APIClient) Close() { c.httpClient.CloseIdleConnections() }

// Submit sends a task to the node at base ("http://ip:port") under a key, or
// without one if it is empty. It returns the outcome, or an error if the answer
// is not whole or reports no outcome.
func (c *APIClient) Submit(ctx context.Context, base, key string, task domain.Task) (domain.Outcome, error) {
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/requests", bytes.NewReader(body))
	if err != nil {
		return domain.Outcome{}, fmt.Errorf("make request: %w", err)
	}
	if key != "" {
		req.Header.Set(httpapi.KeyHeader, key)
	}
	return c.fetchOutcome(req)
}

// Get asks the node at base what is known of a request.
func (c *APIClient) Get(ctx context.Context, base string, id domain.RequestID) (domain.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeoutMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/requests/"+id.String(), nil)
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
		return domain.Outcome{}, fmt.Errorf("answer is cut off: %w", err)
	}
	if err := httpapi.Verify(resp.Header, data); err != nil {
		return domain.Outcome{}, err
	}
	return decodeOutcome(data)
}

// decodeOutcome reads an outcome, or the error that stands in its place.
func decodeOutcome(data []byte) (domain.Outcome, error) {
	var o domain.Outcome
	if err := json.Unmarshal(data, &o); err == nil && o.State != "" {
		return o, nil
	}
	var fault domain.Error
	if err := json.Unmarshal(data, &fault); err != nil {
		return domain.Outcome{}, fmt.Errorf("decode answer: %w", err)
	}
	return domain.Outcome{}, &fault
}

// CheckReady returns nil if the node at base gives out request ids.
func (c *APIClient) CheckReady(ctx context.Context, base string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/ids", nil)
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
