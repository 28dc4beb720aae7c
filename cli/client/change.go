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

// historyPollInterval is the time between two reads of the history when the
// client looks for a change whose response was lost.
const historyPollInterval = 250 * time.Millisecond

// Change sends a configuration change. The node waits at most wait for the other
// nodes to apply it. A rejected change is not an error: Change returns the
// decision and the configuration in force. If the response is lost, Change looks
// for the result in the configuration history. It never resends a change that
// may have reached a node.
func (c *Client) Change(ctx context.Context, change configlog.Change, wait time.Duration) (httpapi.ChangeResponse, error) {
	var body httpapi.ChangeResponse
	resp, err := c.do(ctx, call{
		method:  http.MethodPost,
		path:    "/v1/config?wait=" + url.QueryEscape(wait.String()),
		body:    change,
		timeout: c.timeout + wait,
	})
	if err == nil {
		err = decodeChange(resp, &body)
	}
	if domain.KindOf(err) == domain.KindOutcomeUnknown {
		return c.resolveChange(ctx, change, domain.AsError(err))
	}
	return body, err
}

// decodeChange decodes the response to a change. The response to a rejected
// change contains the configuration in force; any other unsuccessful response is
// returned as its error.
func decodeChange(resp response, body *httpapi.ChangeResponse) error {
	if err := decode(resp, body); err != nil {
		return err
	}
	if resp.status >= http.StatusMultipleChoices && body.Configuration == nil {
		return responseError(resp)
	}
	return nil
}

// resolveChange reads the history until it shows the decision on a change whose
// response was lost, or until the timeout has passed.
func (c *Client) resolveChange(ctx context.Context, change configlog.Change, lostErr *domain.Error) (httpapi.ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		if body, ok := c.findDecision(ctx, change); ok {
			return body, nil
		}
		if !Sleep(ctx, historyPollInterval) {
			return httpapi.ChangeResponse{}, &domain.Error{
				Kind:    domain.KindOutcomeUnknown,
				Message: lostErr.Message + "; the history does not show the change yet",
				Remedy:  "check basilferry config history before you make the change again",
			}
		}
	}
}

// findDecision looks for the decision on a change in the history of one node. At
// most one change based on each version is accepted. If another change with the
// same base was accepted, this change has been rejected or will be. The history
// of a node that started from a snapshot may contain neither of them.
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

// conflictRejection returns the result of a change that is rejected because
// another change with the same base was accepted. The result contains the
// configuration in force. It returns false if that cannot be read.
func (c *Client) conflictRejection(ctx context.Context, change configlog.Change) (httpapi.ChangeResponse, bool) {
	inForce, err := c.Configuration(ctx)
	rejected := configlog.Decision{
		Change:  change,
		InForce: inForce.Version,
		Err: &domain.Error{
			Kind:    domain.KindVersionConflict,
			Message: "another change based on the same version was accepted",
			Remedy:  "read the configuration again and send the change with its version as base",
		},
	}
	body := httpapi.ChangeResponse{
		ChangeResult:  service.ChangeResult{Decision: rejected},
		Configuration: &inForce,
	}
	return body, err == nil
}

// Sleep waits for d. It returns false if ctx is done first.
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
