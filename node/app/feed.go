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
	// configRefreshInterval is how often the machines' view of configuration and
	// isolation is refreshed; it is part of the 3 s for a take-out.
	configRefreshInterval = 100 * time.Millisecond
)

// runPeriodically calls f at once and then in the given interval until ctx ends.
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

// pushConfig gives the configuration in force to the engine when it changes.
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

// effectiveConfig is the configuration in force with the provisional take-outs.
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

// pingOwnDomain pings the other nodes of the own failure domain.
func (n *node) pingOwnDomain(ctx context.Context) {
	pinger := peer.Pinger{Args: n.router.PingArgs, OnResult: n.handlePing}
	for _, id := range n.members.NearPeers() {
		client, err := n.pool.Client(id)
		if err != nil {
			n.logger.Error("peer has no client", "peer", id, "err", err)
			continue
		}
		pinger.OwnDomain = append(pinger.OwnDomain, peer.PingTarget{Node: id, Client: client})
	}
	pinger.Run(ctx)
}

// pingOtherDomains pings the nodes of other failure domains that the membership names,
// which change with the ownership of shards.
func (n *node) pingOtherDomains(ctx context.Context) {
	runPeriodically(ctx, membership.FarPingInterval, func(ctx context.Context) {
		for _, id := range n.members.FarPeers() {
			n.pingNode(ctx, id)
		}
	})
}

func (n *node) pingNode(ctx context.Context, id domain.NodeID) {
	client, err := n.pool.Client(id)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membership.FarPingInterval/2)
	defer cancel()
	start := time.Now()
	reply, err := client.Ping(ctx, n.router.PingArgs())
	n.handlePing(peer.PingResult{Node: id, Reply: reply, Err: err, RoundTrip: time.Since(start)})
}

// handlePing takes the result of a ping.
func (n *node) handlePing(r peer.PingResult) {
	if r.Err != nil {
		return
	}
	n.members.Answered(r.Reply)
	n.router.RecordPing(r.Reply)
	n.config.RecordPing(r.Reply)
}
