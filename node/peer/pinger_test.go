package peer

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

// pingBytesLimit is slightly above the size of a ping and its reply that the
// comment of Pinger states.
const pingBytesLimit = 160

// examplePingArgs returns the description of a node that owns one shard.
func examplePingArgs() PingArgs {
	return PingArgs{
		From:          "larissa-2",
		Domain:        "larissa",
		ConfigVersion: 123456,
		Owned: []OwnedShard{
			{Shard: domain.ShardID{Domain: "larissa", Index: 1}, Epoch: 123456, Ready: true, FreeSlots: 400},
		},
	}
}

// Guards against pings that are larger than the comment of Pinger states.
func TestPingSizeIsBounded(t *testing.T) {
	_, address := startServer(t, &fakeHandler{ping: func(PingArgs) (PingReply, error) { return examplePingArgs(), nil }})
	relay := startRelay(t, address)
	c := newTestClient(t, relay.Address())
	ctx := testContext(t)
	ping := func() int64 {
		before := relay.Bytes()
		_, err := c.Ping(ctx, examplePingArgs())
		assert.NilError(t, err)
		return relay.Bytes() - before
	}
	const pings = 100
	first := ping()
	var later int64
	for range pings {
		later += ping()
	}
	t.Logf("first ping with the hello: %d bytes, later: %.1f bytes", first, float64(later)/pings)
	assert.Assert(t, later <= pings*pingBytesLimit)
}

// fakePingCaller answers each ping with a fixed reply and err.
type fakePingCaller struct {
	Caller
	err error
}

func (c *fakePingCaller) Ping(context.Context, PingArgs) (PingReply, error) {
	return PingReply{From: "answer"}, c.err
}

// Guards against a node that is never pinged, against pings to more nodes of
// other failure domains than allowed, and against failures that are not
// reported.
func TestPingerPingsItsTargets(t *testing.T) {
	ctx, cancel := context.WithCancel(testContext(t))
	failing := newNotSentError("unreachable")
	var mutex sync.Mutex
	results := make(map[domain.NodeID]int)
	p := &Pinger{
		OwnDomain:    []PingTarget{{"own-1", &fakePingCaller{}}, {"own-2", &fakePingCaller{err: failing}}},
		OtherDomains: []PingTarget{{"far-1", &fakePingCaller{}}, {"far-2", &fakePingCaller{}}, {"far-3", &fakePingCaller{}}},
		Args:         examplePingArgs,
		OnResult: func(r PingResult) {
			mutex.Lock()
			defer mutex.Unlock()
			assert.Check(t, IsNotSent(r.Err) == (r.Node == "own-2"))
			assert.Check(t, r.Reply.From == "answer")
			results[r.Node]++
			if results["far-1"] >= 2 && results["far-2"] >= 2 {
				cancel()
			}
		},
	}
	p.Run(ctx)
	for _, node := range []domain.NodeID{"own-1", "own-2", "far-1", "far-2"} {
		assert.Assert(t, results[node] >= 2, "%s was pinged %d times", node, results[node])
	}
	assert.Equal(t, results["far-3"], 0)
}
