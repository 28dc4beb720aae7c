package e2e

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	healthInterval = 500 * time.Millisecond
	// frequentCheckInterval is the interval of the checks of several load
	// balancers taken together.
	frequentCheckInterval = 100 * time.Millisecond
	// healthTimeout is the time after which a node that does not answer counts
	// as unhealthy.
	healthTimeout = time.Second
)

// healthChecks checks the health of the nodes periodically, as a load balancer
// does.
type healthChecks struct {
	unhealthy map[*entryNode]*atomic.Bool
	client    *http.Client
}

// startHealthChecks checks the nodes until the test ends.
func startHealthChecks(c *cluster, interval time.Duration) *healthChecks {
	h := &healthChecks{
		unhealthy: map[*entryNode]*atomic.Bool{},
		client:    &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, n := range c.nodes {
		h.unhealthy[n] = &atomic.Bool{}
	}
	for _, n := range c.nodes {
		go h.checkPeriodically(c.t.Context(), n, interval)
	}
	return h
}

func (h *healthChecks) checkPeriodically(ctx context.Context, n *entryNode, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		h.unhealthy[n].Store(!h.check(n))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (h *healthChecks) check(n *entryNode) bool {
	resp, err := h.client.Get(n.baseURL() + "/healthz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *healthChecks) isHealthy(n *entryNode) bool { return !h.unhealthy[n].Load() }
