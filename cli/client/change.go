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

// historyPollInterval is the time between two looks for a change whose answer was
// lost.
const historyPollInterval = 250 * time.Millisecond

// Change makes a configuration change and lets the node wait up to wait for the
// other nodes. A rejected change is returned with its decision and the
// configuration in force, not as an error. If the answer is lost, the history
// tells what became of the change; it is never sent again after it may have
// arrived.
func (c *Client) Change(ctx context.Context, change configlog.Change, wait time.Duration) (httpapi.ChangeResponse, error) {
	var body httpapi.ChangeResponse
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
		return c.resolveChange(ctx, change, domain.AsError(err))
	}
	return body, err
}

// decodeChange tells a rejected change, which has the configuration in force,
// from another error.
func decodeChange(a response, body *httpapi.ChangeResponse) error {
	if err := decode(a, body); err != nil {
		return err
	}
	if a.status >= http.StatusMultipleChoices && body.Configuration == nil {
		return responseError(a)
	}
	return nil
}

// resolveChange looks for a change whose answer was lost until it is decided or the
// time-out has passed.
func (c *Client) resolveChange(ctx context.Context, change configlog.Change, lost *domain.Error) (httpapi.ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		if body, ok := c.findDecision(ctx, change); ok {
			return body, nil
		}
		if !Sleep(ctx, historyPollInterval) {
			return httpapi.ChangeResponse{}, &domain.Error{
				Kind:    domain.KindOutcomeUnknown,
				Message: lost.Message + "; the history does not show the change yet",
				Remedy:  "see basilferry config history before you make the change again",
			}
		}
	}
}

// findDecision reports what one node knows of the change. Exactly one change of each
// version is accepted, so another one that was shows that this one never will
// be. A node that started from a snapshot may know neither.
func (c *Client) findDecision(ctx context.Context, change configlog.Change) (httpapi.ChangeResponse, bool) {
	history, err := c.History(ctx, MaxHistory)
	if err != nil {
		return httpapi.ChangeResponse{}, false
	}
	for _, d := range history {
		if !d.Accepted || d.Change.Base != change.Base {
			continue
		}
		if reflect.DeepEqual(d.Change, change) {
			return httpapi.ChangeResponse{ChangeResult: service.ChangeResult{Decision: d}}, true
		}
		return c.conflictRejection(ctx, change)
	}
	return httpapi.ChangeResponse{}, false
}

// conflictRejection returns the rejection of a change with the configuration in force.
func (c *Client) conflictRejection(ctx context.Context, change configlog.Change) (httpapi.ChangeResponse, bool) {
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
	body := httpapi.ChangeResponse{
		ChangeResult:  service.ChangeResult{Decision: rejected},
		Configuration: &inForce,
	}
	return body, err == nil
}

// Sleep waits for d. It reports false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
