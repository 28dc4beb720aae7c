// Package workerclient is the HTTP client of one worker.
package workerclient

import (
	"context"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/platform/wire"
	"github.com/basilferry/basilferry/node/internal/platformhttp"
)

// Client implements platform.Worker. Calls share one HTTP/2 connection. If
// nothing arrives on it for 1 s, not even the reply to a ping, it is closed and
// the next call dials a new one. Use New.
//
// Errors unwrap to *domain.Error. An error that the worker returns keeps its
// kind. A transport error has KindUnavailable; if IsNotSent is false for it, the
// call may have taken effect. An answer that is damaged or belongs to another
// call results in a *MismatchError.
type Client struct {
	calls *platformhttp.Client
}

var _ platform.Worker = (*Client)(nil)

// MismatchError is the error for an answer that is damaged or belongs to another
// call. The call may have taken effect.
type MismatchError = wire.MismatchError

// IsNotSent reports whether err shows that the call never reached the worker: no
// connection was obtained for it, so no byte of it was written. For any other
// error it returns false, and the call may have taken effect, unless the kind of
// an error that the worker returned excludes that (see platform.Worker).
func IsNotSent(err error) bool { return platformhttp.IsNotSent(err) }

// New returns a client of the worker at address, "ip:port".
func New(address string) *Client {
	return &Client{calls: platformhttp.New("http://" + address)}
}

// Close closes idle connections.
func (c *Client) Close() { c.calls.Close() }

// Attach implements platform.Worker.
func (c *Client) Attach(ctx context.Context, req platform.AttachRequest) (platform.AttachReply, error) {
	var reply platform.AttachReply
	err := c.calls.Call(ctx, wire.PathAttach, "", req, &reply)
	return reply, err
}

// Renew implements platform.Worker.
func (c *Client) Renew(ctx context.Context, req platform.RenewRequest) (platform.RenewReply, error) {
	var reply platform.RenewReply
	err := c.calls.Call(ctx, wire.PathRenew, "", req, &reply)
	return reply, err
}

// Start implements platform.Worker.
func (c *Client) Start(ctx context.Context, req platform.StartRequest) (platform.TaskStatus, error) {
	return c.status(ctx, wire.PathStart, req.Task.ID, req)
}

// Run implements platform.Worker.
func (c *Client) Run(ctx context.Context, req platform.StartRequest) (platform.TaskStatus, error) {
	return c.status(ctx, wire.PathRun, req.Task.ID, req)
}

// Stop implements platform.Worker.
func (c *Client) Stop(ctx context.Context, req platform.StopRequest) (platform.TaskStatus, error) {
	return c.status(ctx, wire.PathStop, req.ID, req)
}

// Throttle implements platform.Worker.
func (c *Client) Throttle(ctx context.Context, req platform.ThrottleRequest) error {
	var reply wire.Empty
	return c.calls.Call(ctx, wire.PathThrottle, req.ID.String(), req, &reply)
}

// Lookup implements platform.Worker.
func (c *Client) Lookup(ctx context.Context, id domain.RequestID) (platform.TaskStatus, error) {
	return c.status(ctx, wire.PathLookup, id, wire.LookupRequest{ID: id})
}

// status makes a call that returns the status of the task with the id.
func (c *Client) status(ctx context.Context, path string, id domain.RequestID, req any) (platform.TaskStatus, error) {
	var reply platform.TaskStatus
	if err := c.calls.Call(ctx, path, id.String(), req, &reply); err != nil {
		return platform.TaskStatus{}, err
	}
	if reply.Task.ID != id {
		return platform.TaskStatus{}, &MismatchError{
			Part:      wire.PartRequestID,
			Want:      id.String(),
			Got:       reply.Task.ID.String(),
			RequestID: id.String(),
		}
	}
	return reply, nil
}
