package app

import (
	"context"
	"reflect"
	"slices"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/membership"
	"github.com/basilferry/basilferry/core/shard"
	"github.com/basilferry/basilferry/node/peer"
)

const (
	// configRefreshInterval is how often the node checks whether the engine needs
	// a new configuration. It counts towards the 3 s within which a take-out must
	// be in force.
	configRefreshInterval = 100 * time.Millisecond
)

// runPeriodically calls f immediately and then at the given interval until ctx is
// done.
func runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// pushConfig passes the effective configuration to the engine whenever it changes.
func (n *node) pushConfig(ctx context.Context) {
	var last shard.Configured
	first := true
	runPeriodically(ctx, configRefreshInterval, func(context.Context) {
		c := n.effectiveConfig()
		if !first && reflect.DeepEqual(c, last) {
			return
		}
		first, last = false, c
		n.engine.Configure(c)
	})
}

// effectiveConfig returns the configuration in force with the provisional
// take-outs added, the isolation of this node, and the shards of other failure
// domains that can be reached and are not taken out.
func (n *node) effectiveConfig() shard.Configured {
	c := n.config.Current()
	c.TakeOuts = slices.Clone(c.TakeOuts)
	for _, d := range n.config.Provisional() {
		if !c.TakenOut(d) {
			c.TakeOuts = append(c.TakeOuts, domain.TakeOut{Domain: d, Since: c.Version})
		}
	}
	var targets []domain.ShardID
	for _, id := range n.members.ReachableShards() {
		if !c.TakenOut(id.Domain) {
			targets = append(targets, id)
		}
	}
	return shard.Configured{Configuration: c, Isolated: n.members.Isolated(), Targets: targets}
}

// pingOwnDomain pings the other nodes of this node's failure domain.
func (n *node) pingOwnDomain(ctx context.Context) {
	pinger := peer.Pinger{Args: n.router.PingArgs, OnResult: n.handlePing}
	for _, id := range n.members.LocalPeers() {
		client, err := n.pool.Client(id)
		if err != nil {
			n.logger.Error("cannot get a client for the peer", "peer", id, "err", err)
			continue
		}
		pinger.OwnDomain = append(pinger.OwnDomain, peer.PingTarget{Node: id, Client: client})
	}
	pinger.Run(ctx)
}

// pingOtherDomains pings nodes of other failure domains, one after another. The
// membership selects them; the selection changes with the ownership of shards.
func (n *node) pingOtherDomains(ctx context.Context) {
	runPeriodically(ctx, membership.RemotePingInterval, func(ctx context.Context) {
		for _, id := range n.members.RemotePeers() {
			n.pingNode(ctx, id)
		}
	})
}

func (n *node) pingNode(ctx context.Context, id domain.NodeID) {
	client, err := n.pool.Client(id)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membership.RemotePingInterval/2)
	defer cancel()
	start := time.Now()
	reply, err := client.Ping(ctx, n.router.PingArgs())
	n.handlePing(peer.PingResult{Node: id, Reply: reply, Err: err, RoundTrip: time.Since(start)})
}

// handlePing passes the reply to a ping to the membership, the router and the
// configuration sync. Failed pings are ignored.
func (n *node) handlePing(r peer.PingResult) {
	if r.Err != nil {
		return
	}
	n.members.Answered(r.Reply)
	n.router.RecordPing(r.Reply)
	n.config.ObservePing(r.Reply)
}
