// Package vmclient is the HTTP client of the platform's VM list.
package vmclient

import (
	"context"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
	"github.com/basilferry/basilferry/core/platform/wire"
	"github.com/basilferry/basilferry/node/internal/platformhttp"
)

// Client implements platform.VMList. Use New.
type Client struct {
	calls *platformhttp.Client
}

var _ platform.VMList = (*Client)(nil)

// New returns a client of the VM list at base, "http://ip:port".
func New(base string) *Client { return &Client{calls: platformhttp.New(base)} }

// List implements platform.VMList. Errors unwrap to *domain.Error.
func (c *Client) List(ctx context.Context, d domain.FailureDomain) ([]platform.VM, error) {
	var reply wire.ListReply
	err := c.calls.Call(ctx, wire.PathListVMs, "", wire.ListRequest{Domain: d}, &reply)
	return reply.VMs, err
}

// Close closes idle connections.
func (c *Client) Close() { c.calls.Close() }
