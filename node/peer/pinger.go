package peer

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// OwnDomainPingInterval is the time between two pings to a node of this
	// node's failure domain.
	OwnDomainPingInterval = 250 * time.Millisecond
	// OtherDomainPingInterval is the time between two pings to a node of another
	// failure domain.
	OtherDomainPingInterval = time.Second
	// OtherDomainPingTargets is the number of nodes of other failure domains that a
	// node pings.
	OtherDomainPingTargets = 2
)

// PingTarget is a node to ping.
type PingTarget struct {
	Node   domain.NodeID
	Client Caller
}

// PingResult is the result of one ping. Reply is valid if and only if Err is nil.
type PingResult struct {
	Node  domain.NodeID
	Reply PingReply
	Err   error
	// RoundTrip is the time from the ping to its reply or failure.
	RoundTrip time.Duration
}

// Pinger pings each other node of its failure domain every OwnDomainPingInterval,
// and OtherDomainPingTargets nodes of other domains every
// OtherDomainPingInterval.
//
// In a domain of n nodes, a node pings n+1 nodes and makes 4(n-1)+2 pings/s.
// It answers about as many. A ping and its reply together take 154 bytes on the
// connection, without TCP/IP headers, if each reports one owned shard;
// TestPingSizeIsBounded fails above 160 bytes. With n = 3, a node makes 10
// pings/s, which take 1.5 KB/s, or 3.1 KB/s with the pings that it answers
// (bytes sent and received together).
type Pinger struct {
	// OwnDomain are the other nodes of this node's failure domain.
	OwnDomain []PingTarget
	// OtherDomains are nodes of other failure domains; only the first
	// OtherDomainPingTargets are pinged.
	OtherDomains []PingTarget
	// Args returns the description of this node that its pings contain.
	Args func() PingArgs
	// OnResult receives each result. It is called concurrently and must return
	// quickly, because the next ping to the node waits for it.
	OnResult func(PingResult)
}

// Run pings until ctx ends.
func (p *Pinger) Run(ctx context.Context) {
	var running sync.WaitGroup
	other := p.OtherDomains[:min(len(p.OtherDomains), OtherDomainPingTargets)]
	p.startAll(ctx, &running, p.OwnDomain, OwnDomainPingInterval)
	p.startAll(ctx, &running, other, OtherDomainPingInterval)
	running.Wait()
}

// startAll starts the pings to the targets and spreads them evenly over the
// interval.
func (p *Pinger) startAll(ctx context.Context, running *sync.WaitGroup, targets []PingTarget, interval time.Duration) {
	for i, t := range targets {
		firstDelay := interval * time.Duration(i) / time.Duration(len(targets))
		running.Go(func() { p.pingRepeatedly(ctx, t, firstDelay, interval) })
	}
}

func (p *Pinger) pingRepeatedly(ctx context.Context, t PingTarget, firstDelay, interval time.Duration) {
	timer := time.NewTimer(firstDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		start := time.Now()
		p.ping(ctx, t)
		timer.Reset(max(0, interval-time.Since(start)))
	}
}

func (p *Pinger) ping(ctx context.Context, t PingTarget) {
	start := time.Now()
	// This is longer than a dial and a ping together, so that the client detects
	// an unanswered ping and closes the connection.
	pingCtx, cancel := context.WithTimeout(ctx, 2*PingTimeout)
	defer cancel()
	reply, err := t.Client.Ping(pingCtx, p.Args())
	if ctx.Err() != nil {
		return
	}
	p.OnResult(PingResult{Node: t.Node, Reply: reply, Err: err, RoundTrip: time.Since(start)})
}
