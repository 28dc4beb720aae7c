package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/basilferry/basilferry/core/domain"
)

// fetch makes a call and decodes a successful response. It returns the error that
// any other response contains.
func fetch[T any](ctx context.Context, c *Client, cl call) (T, error) {
	var value T
	resp, err := c.do(ctx, cl)
	if err != nil {
		return value, err
	}
	if resp.status >= http.StatusMultipleChoices {
		return value, responseError(resp)
	}
	return value, decode(resp, &value)
}

func decode(resp response, value any) error {
	if err := json.Unmarshal(resp.body, value); err != nil {
		return unreadableResponseError(resp)
	}
	return nil
}

// responseError returns the error that a response contains.
func responseError(resp response) *domain.Error {
	var typed domain.Error
	if json.Unmarshal(resp.body, &typed) != nil || typed.Kind == "" {
		return unreadableResponseError(resp)
	}
	return &typed
}

func unreadableResponseError(resp response) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindInternal,
		Message: fmt.Sprintf("the node sent a response with status %d that cannot be decoded", resp.status),
		Remedy:  "check that the address is that of a basilferry node of this release",
	}
}
