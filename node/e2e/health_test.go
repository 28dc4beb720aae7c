package e2e

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	healthInterval = 500 * time.Millisecond
	// manyChecks is the interval of the checks of several load balancers
	// together.
	manyChecks = 100 * time.Millisecond
	// healthTimeout takes a node out of the rotation that does not answer.
	healthTimeout = time.Second
)

// health checks the nodes as the platform's load balancer does.
type health struct {
	failed map[*entryNode]*atomic.Bool
	client *http.Client
}

// watchHealth checks the nodes until the test ends.
func watchHealth(c *cluster, interval time.Duration) *health {
	h := &health{
		failed: map[*entryNode]*atomic.Bool{},
		client: &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, n := range c.nodes {
		h.failed[n] = &atomic.Bool{}
	}
	for _, n := range c.nodes {
		go h.watch(c.t.Context(), n, interval)
	}
	return h
}

func (h *health) watch(ctx context.Context, n *entryNode, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		h.failed[n].Store(!h.check(n))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (h *health) check(n *entryNode) bool {
	resp, err := h.client.Get(n.base() + "/healthz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *health) ok(n *entryNode) bool { return !h.failed[n].Load() }
