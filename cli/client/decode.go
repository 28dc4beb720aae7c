package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/basilferry/basilferry/core/domain"
)

// fetch calls and decodes a successful answer; any other one is returned as its
// error.
func fetch[T any](ctx context.Context, c *Client, cl call) (T, error) {
	var value T
	a, err := c.do(ctx, cl)
	if err != nil {
		return value, err
	}
	if a.status >= http.StatusMultipleChoices {
		return value, responseError(a)
	}
	return value, decode(a, &value)
}

func decode(a response, value any) error {
	if err := json.Unmarshal(a.body, value); err != nil {
		return unreadableResponse(a)
	}
	return nil
}

// responseError returns the error that an answer carries.
func responseError(a response) *domain.Error {
	var typed domain.Error
	if json.Unmarshal(a.body, &typed) != nil || typed.Kind == "" {
		return unreadableResponse(a)
	}
	return &typed
}

func unreadableResponse(a response) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindInternal,
		Message: fmt.Sprintf("the node sent an answer with status %d that cannot be read", a.status),
		Remedy:  "check that the address is that of a basilferry node of this release",
	}
}
