package client

import (
	"context"
	"net/http"
	"strconv"

	"github.com/basilferry/basilferry/core/burn"
	"github.com/basilferry/basilferry/core/configlog"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/httpapi"
	"github.com/basilferry/basilferry/node/service"
)

// MaxHistory is the maximum number of decisions that History can return.
const MaxHistory = 500

func get(path string) call { return call{method: http.MethodGet, path: path, retryable: true} }

// Configuration returns the configuration in force on the node that responds.
func (c *Client) Configuration(ctx context.Context) (domain.Configuration, error) {
	return fetch[domain.Configuration](ctx, c, get("/v1/config"))
}

// History returns the decisions on the latest changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]configlog.Decision, error) {
	got, err := fetch[httpapi.HistoryResponse](ctx, c, get("/v1/config/history?limit="+strconv.Itoa(limit)))
	return got.Decisions, err
}

// EntryNodes returns the status of all entry nodes as known to the node that
// responds.
func (c *Client) EntryNodes(ctx context.Context) ([]service.NodeStatus, error) {
	got, err := fetch[httpapi.NodesResponse](ctx, c, get("/v1/nodes"))
	return got.Nodes, err
}

// Workers returns the workers and the failure domains that did not respond.
func (c *Client) Workers(ctx context.Context) (httpapi.WorkersResponse, error) {
	return fetch[httpapi.WorkersResponse](ctx, c, get("/v1/workers"))
}

// Burn returns the burn-rate report of the node that responds.
func (c *Client) Burn(ctx context.Context) (burn.Report, error) {
	return fetch[burn.Report](ctx, c, get("/v1/burn"))
}
