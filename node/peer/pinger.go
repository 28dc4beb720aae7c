package peer

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// OwnDomainPingInterval is the time between two pings to a node of the own
	// failure domain.
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

// PingResult is the result of one ping. Err is nil exactly if Reply is valid.
type PingResult struct {
	Node  domain.NodeID
	Reply PingReply
	Err   error
	// RoundTrip is the time from the ping to its reply or failure.
	RoundTrip time.Duration
}

// Pinger pings each node of the own failure domain every OwnDomainPingInterval,
// and OtherDomainPingTargets nodes of other domains every OtherDomainPingInterval.
//
// In a domain of n nodes, a node pings n+1 nodes and makes 4(n-1)+2 pings/s.
// It answers about as many. A ping and its reply take 154 bytes together,
// measured on the connection by TestPingSizeIsBounded with one owned shard told in each
// direction, without TCP/IP headers. With n = 3 that is 10 pings/s and
// 1.5 KB/s for the pings that a node makes, 3.1 KB/s with those that it
// answers, sent and received together.
type Pinger struct {
	// OwnDomain are the other nodes of the own failure domain.
	OwnDomain []PingTarget
	// OtherDomains are nodes of other failure domains; those after the first
	// OtherDomainPingTargets are ignored.
	OtherDomains []PingTarget
	// Args returns what this node tells of itself.
	Args func() PingArgs
	// OnResult receives each result. It is called from several goroutines and
	// must return soon, because the next ping to the node waits for it.
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

// startAll starts the pings to the targets, evenly spread over the interval.
func (p *Pinger) startAll(ctx context.Context, running *sync.WaitGroup, targets []PingTarget, interval time.Duration) {
	for i, t := range targets {
		first := interval * time.Duration(i) / time.Duration(len(targets))
		running.Go(func() { p.pingRepeatedly(ctx, t, first, interval) })
	}
}

func (p *Pinger) pingRepeatedly(ctx context.Context, t PingTarget, first, interval time.Duration) {
	timer := time.NewTimer(first)
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
	// Longer than a dial and a ping together, so that it is the client that
	// notices an unanswered ping and closes the connection.
	limited, cancel := context.WithTimeout(ctx, 2*PingTimeout)
	defer cancel()
	reply, err := t.Client.Ping(limited, p.Args())
	if ctx.Err() != nil {
		return
	}
	p.OnResult(PingResult{Node: t.Node, Reply: reply, Err: err, RoundTrip: time.Since(start)})
}
