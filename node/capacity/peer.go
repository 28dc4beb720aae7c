package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer"
)

// peerToken is the shared secret with which the two nodes authenticate.
const peerToken = "capacity"

// peerHandler answers pings and forwarded requests immediately.
type peerHandler struct {
	peer.Handler
	ping   peer.PingReply
	answer []byte
}

// Ping implements peer.Handler.
func (h *peerHandler) Ping(peer.PingArgs) (peer.PingReply, error) { return h.ping, nil }

// Forward implements peer.Handler.
func (h *peerHandler) Forward(args peer.ForwardArgs) (peer.OutcomeReply, error) {
	return peer.NewOutcomeReply(domain.Outcome{ID: args.Task.ID, State: domain.OutcomeSucceeded, Answer: h.answer, Attempt: 1}), nil
}

// peerHarness is a connection between two nodes.
type peerHarness struct {
	byteCounter byteCounter
	server      *peer.Server
	client      *peer.Client
	goroutines  sync.WaitGroup
}

func newPeerHarness(handler *peerHandler) (*peerHarness, error) {
	h := &peerHarness{}
	l, err := h.byteCounter.listen()
	if err != nil {
		return nil, err
	}
	h.server, err = peer.NewServer(handler, peerToken)
	if err != nil {
		return nil, err
	}
	h.goroutines.Go(func() { _ = h.server.Serve(l) })
	h.client = peer.NewClient(l.Addr().String(), peerToken)
	return h, nil
}

func (h *peerHarness) close() {
	h.client.Close()
	h.server.Close()
	h.goroutines.Wait()
}

// samplePing returns the ping of a node that owns the given number of shards.
func samplePing(shards int) peer.PingArgs {
	args := peer.PingArgs{From: "d01-n1", Domain: "d01", ConfigVersion: 1 << 24}
	for i := range shards {
		args.Owned = append(args.Owned, peer.OwnedShard{
			Shard: domain.ShardID{Domain: "d01", Index: i}, Epoch: 1 << 24, Ready: true, FreeSlots: 400,
		})
	}
	return args
}

// measurePing returns the cost of one ping with its reply between two nodes that
// own size shards each.
func measurePing(size float64, _ Options) (resourceUse, error) {
	args := samplePing(int(size))
	h, err := newPeerHarness(&peerHandler{ping: args})
	if err != nil {
		return resourceUse{}, err
	}
	defer h.close()
	// The first ping also carries the handshake and the type descriptions.
	if _, err := h.client.Ping(context.Background(), args); err != nil {
		return resourceUse{}, err
	}
	const pings = 500
	before := h.byteCounter.bytes.Load()
	micros := cpuMicros(func() {
		for range pings {
			if _, e := h.client.Ping(context.Background(), args); e != nil {
				err = e
			}
		}
	})
	return resourceUse{micros: micros / pings, bytes: float64(h.byteCounter.bytes.Load()-before) / pings}, err
}

// measureForward measures requests that are forwarded at a rate of size per
// second.
func measureForward(size float64, o Options) (resourceUse, error) {
	h, err := newPeerHarness(&peerHandler{answer: make([]byte, payloadBytes)})
	if err != nil {
		return resourceUse{}, err
	}
	defer h.close()
	ctx, cancel := context.WithCancel(context.Background())
	h.goroutines.Go(func() {
		runPoissonArrivals(ctx, size, func() {
			task := sampleTask(domain.RequestID{Shard: domain.ShardID{Domain: "d01"}, Epoch: 1, Seq: 1}, domain.KindUrgent)
			_, _ = h.client.Forward(ctx, peer.ForwardArgs{Shard: task.ID.Shard, Task: task, Budget: time.Second})
		})
	})
	defer cancel()
	return h.byteCounter.measureUse(o), nil
}

// pingsPerSecond returns the number of pings that a node sends per second. It
// answers about as many.
func pingsPerSecond(t Topology) float64 {
	perSecond := float64(time.Second / peer.OwnDomainPingInterval)
	return perSecond*(t.NodesPerDomain-1) + peer.OtherDomainPingTargets*float64(time.Second/peer.OtherDomainPingInterval)
}

// forwardsPerSecond returns the number of requests that a node forwards per
// second if clients spread their requests evenly over all nodes: those whose
// shard another node owns. It receives as many forwarded requests.
func forwardsPerSecond(t Topology) float64 {
	return TwoYearTarget.StartsPerSecond / t.Nodes() * (1 - 1/t.NodesPerDomain)
}

func peerQuantities() []Quantity {
	pings, forwards := newSharedRuns(measurePing), newSharedRuns(measureForward)
	ping := Quantity{Role: "every node", Mechanism: "node/peer Pinger, a ping with its reply", Size: "owned shards in the ping", Sizes: []float64{0, 1, 2, 4}, QuickSizes: []float64{0, 1, 2}}
	ping.At = Topology.MaxOwnedShards
	ping.Multiplier = func(t Topology) float64 { return 2 * pingsPerSecond(t) }
	bytes, cpu := ping, ping
	bytes.Name, bytes.Unit, bytes.Resource, bytes.Measure = "ping/bytes", "B/ping", Network, pings.quantity(bytesOf)
	cpu.Name, cpu.Unit, cpu.Resource, cpu.Measure = "ping/cpu", "us/ping, both ends", CPU, pings.quantity(cpuOf)
	// This counts one end of each ping that the node sends and one of each ping
	// that it answers.
	cpu.Multiplier = pingsPerSecond
	forward := Quantity{Role: "entry path", Mechanism: "node/peer Forward, payload and answer of 1 KiB", Size: "forwarded requests/s", Sizes: []float64{100, 400, 1600}, QuickSizes: []float64{20, 50, 100}, SlopeOnly: true}
	forward.At = forwardsPerSecond
	forwardBytes, forwardCPU := forward, forward
	forwardBytes.Name, forwardBytes.Unit, forwardBytes.Resource, forwardBytes.Measure = "forward/bytes", "B/s", Network, forwards.quantity(bytesOf)
	// A node forwards about as many requests as other nodes forward to it.
	forwardBytes.Multiplier = func(Topology) float64 { return 2 }
	forwardCPU.Name, forwardCPU.Unit, forwardCPU.Resource, forwardCPU.Measure = "forward/cpu", "us/s, both ends", CPU, forwards.quantity(cpuOf)
	return []Quantity{bytes, cpu, forwardBytes, forwardCPU}
}
