package client

import (
	"context"
	"net/http"
	"net/url"
	"reflect"
	"time"

	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
	"github.com/basilferry/basilferry/node/service"
)

// settleInterval is the time between two looks for a change whose answer was
// lost.
const settleInterval = 250 * time.Millisecond

// Change makes a configuration change and lets the node wait up to wait for the
// other nodes. A rejected change is returned with its decision and the
// configuration in force, not as an error. If the answer is lost, the history
// tells what became of the change; it is never sent again after it may have
// arrived.
func (c *Client) Change(ctx context.Context, change configlog.Change, wait time.Duration) (httpapi.ChangeBody, error) {
	var body httpapi.ChangeBody
	a, err := c.do(ctx, call{
		method:  http.MethodPost,
		path:    "/v1/config?wait=" + url.QueryEscape(wait.String()),
		body:    change,
		timeout: c.timeout + wait,
	})
	if err == nil {
		err = decodeChange(a, &body)
	}
	if domain.KindOf(err) == domain.KindOutcomeUnknown {
		return c.settle(ctx, change, domain.AsError(err))
	}
	return body, err
}

// decodeChange tells a rejected change, which has the configuration in force,
// from another error.
func decodeChange(a answer, body *httpapi.ChangeBody) error {
	if err := decode(a, body); err != nil {
		return err
	}
	if a.status >= http.StatusMultipleChoices && body.Configuration == nil {
		return errorOf(a)
	}
	return nil
}

// settle looks for a change whose answer was lost until it is decided or the
// time-out has passed.
func (c *Client) settle(ctx context.Context, change configlog.Change, lost *domain.Error) (httpapi.ChangeBody, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		if body, ok := c.decided(ctx, change); ok {
			return body, nil
		}
		if !Pause(ctx, settleInterval) {
			return httpapi.ChangeBody{}, &domain.Error{
				Kind:    domain.KindOutcomeUnknown,
				Message: lost.Message + "; the history does not show the change yet",
				Remedy:  "see basilferry config history before you make the change again",
			}
		}
	}
}

// decided reports what one node knows of the change. Exactly one change of each
// version is accepted, so another one that was shows that this one never will
// be. A node that started from a snapshot may know neither.
func (c *Client) decided(ctx context.Context, change configlog.Change) (httpapi.ChangeBody, bool) {
	history, err := c.History(ctx, MaxHistory)
	if err != nil {
		return httpapi.ChangeBody{}, false
	}
	for _, d := range history {
		if !d.Accepted || d.Change.Base != change.Base {
			continue
		}
		if reflect.DeepEqual(d.Change, change) {
			return httpapi.ChangeBody{ChangeResult: service.ChangeResult{Decision: d}}, true
		}
		return c.overtaken(ctx, change)
	}
	return httpapi.ChangeBody{}, false
}

// overtaken returns the rejection of a change with the configuration in force.
func (c *Client) overtaken(ctx context.Context, change configlog.Change) (httpapi.ChangeBody, bool) {
	inForce, err := c.Configuration(ctx)
	rejected := configlog.Decision{
		Change:  change,
		InForce: inForce.Version,
		Err: &domain.Error{
			Kind:    domain.KindVersionConflict,
			Message: "another change to the same version was accepted",
			Remedy:  "read the configuration again and repeat the change on its version",
		},
	}
	body := httpapi.ChangeBody{
		ChangeResult:  service.ChangeResult{Decision: rejected},
		Configuration: &inForce,
	}
	return body, err == nil
}

// Pause waits for d. It reports false if ctx ends first.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
