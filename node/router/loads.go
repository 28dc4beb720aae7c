package router

import (
	"sync"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/peer"
)

// loadMaxAge is how long the load that a ping reported is used. It equals
// membership.PeerTimeout, after which a node of the same failure domain that does
// not answer counts as failed.
const loadMaxAge = time.Second

// load is the state of one shard as its owner reported it.
type load struct {
	node domain.NodeID
	peer.OwnedShard
	receivedAt time.Time
}

// loadTable stores the shard states that pings from nodes of this node's failure
// domain report. It has at most one entry for each shard of the domain.
type loadTable struct {
	domain domain.FailureDomain
	shards int

	mutex sync.Mutex
	loads map[domain.ShardID]load
}

func newLoadTable(d domain.FailureDomain, shards int) *loadTable {
	return &loadTable{domain: d, shards: shards, loads: make(map[domain.ShardID]load)}
}

// record stores the shard states in a ping. An older epoch never replaces a
// newer one.
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

// get returns the last report about a shard, and false if there is none or it
// is older than loadMaxAge.
func (t *loadTable) get(id domain.ShardID, now time.Time) (load, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l, ok := t.loads[id]
	return l, ok && now.Sub(l.receivedAt) <= loadMaxAge
}
