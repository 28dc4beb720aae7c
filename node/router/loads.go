package router

import (
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer"
)

// loadMaxAge is how long the load that a node told in a ping is used. It is
// the time without a ping after which a node counts as failed.
const loadMaxAge = time.Second

// load is what an owner told of one shard.
type load struct {
	node domain.NodeID
	peer.OwnedShard
	receivedAt time.Time
}

// loadTable keeps what the nodes of the own failure domain tell of their
// shards in pings. It holds one entry for each shard of the domain.
type loadTable struct {
	domain domain.FailureDomain
	shards int

	mutex sync.Mutex
	loads map[domain.ShardID]load
}

func newLoadTable(d domain.FailureDomain, shards int) *loadTable {
	return &loadTable{domain: d, shards: shards, loads: make(map[domain.ShardID]load)}
}

// record takes over what a node tells of itself. An older epoch never
// replaces a newer one.
func (t *loadTable) record(args peer.PingArgs, now time.Time) {
	if args.Domain != t.domain {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, o := range args.Owned {
		if o.Shard.Domain != t.domain || o.Shard.Index < 0 || o.Shard.Index >= t.shards {
			continue
		}
		if o.Epoch >= t.loads[o.Shard].Epoch {
			t.loads[o.Shard] = load{node: args.From, OwnedShard: o, receivedAt: now}
		}
	}
}

// get returns what is known of a shard, if it is not too old.
func (t *loadTable) get(id domain.ShardID, now time.Time) (load, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l, ok := t.loads[id]
	return l, ok && now.Sub(l.receivedAt) <= loadMaxAge
}
