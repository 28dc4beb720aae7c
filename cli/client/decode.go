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
		return value, errorOf(a)
	}
	return value, decode(a, &value)
}

func decode(a answer, value any) error {
	if err := json.Unmarshal(a.body, value); err != nil {
		return strange(a)
	}
	return nil
}

// errorOf returns the error that an answer carries.
func errorOf(a answer) *domain.Error {
	var typed domain.Error
	if json.Unmarshal(a.body, &typed) != nil || typed.Kind == "" {
		return strange(a)
	}
	return &typed
}

func strange(a answer) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindInternal,
		Message: fmt.Sprintf("the node sent an answer with status %d that cannot be read", a.status),
		Remedy:  "check that the address is that of a basilferry node of this release",
	}
}
