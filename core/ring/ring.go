package ring

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/basilferry/basilferry/core/domain"
)

// separator separates the parts of a hashed string, so that different parts
// never result in the same string.
const separator = "\x00"

// Ring is the immutable set of all configured shards. It includes the shards of
// failure domains that are down, because the shard that is responsible for a key
// must not depend on which failure domains are live.
type Ring struct {
	shards    []domain.ShardID
	perDomain int
}

// New returns the ring of all configured failure domains. It returns a
// *domain.Error of kind KindBadRequest if there is no domain, if a domain is
// listed twice or if shardsPerDomain is less than 1.
func New(domains []domain.FailureDomain, shardsPerDomain int) (*Ring, error) {
	if len(domains) == 0 || shardsPerDomain < 1 {
		return nil, badTopology("no failure domain is listed, or the number of shards per domain is less than 1")
	}
	r := &Ring{perDomain: shardsPerDomain}
	seen := make(map[domain.FailureDomain]bool, len(domains))
	for _, d := range domains {
		if seen[d] {
			return nil, badTopology(fmt.Sprintf("failure domain %q is listed twice", d))
		}
		seen[d] = true
		r.shards = append(r.shards, r.ShardsOf(d)...)
	}
	return r, nil
}

func badTopology(message string) *domain.Error {
	return &domain.Error{
		Kind:    domain.KindBadRequest,
		Message: message,
		Remedy:  "list each failure domain once in cluster.domains and set cluster.shards_per_domain to at least 1",
	}
}

// ShardsOf returns the shards of one failure domain, ordered by index.
func (r *Ring) ShardsOf(d domain.FailureDomain) []domain.ShardID {
	shards := make([]domain.ShardID, r.perDomain)
	for i := range shards {
		shards[i] = domain.ShardID{Domain: d, Index: i}
	}
	return shards
}

// Contains reports whether the shard is configured.
func (r *Ring) Contains(id domain.ShardID) bool {
	for _, s := range r.shards {
		if s == id {
			return true
		}
	}
	return false
}

// RequestIDForKey returns the request id for a client's idempotency key. The
// shard is chosen from all configured shards. The epoch is zero, and the sequence
// number is the hash of the key.
func (r *Ring) RequestIDForKey(key string) domain.RequestID {
	best := r.shards[0]
	var bestWeight uint64
	for i, s := range r.shards {
		w := weight("key", key, s.String())
		if i == 0 || ranksBefore(w, s.String(), bestWeight, best.String()) {
			best, bestWeight = s, w
		}
	}
	return domain.RequestID{Shard: best, Seq: xxhash.Sum64String(key)}
}

// ShardOfWorker returns the shard of the failure domain that the worker belongs
// to.
func (r *Ring) ShardOfWorker(d domain.FailureDomain, id domain.WorkerID) domain.ShardID {
	best := 0
	var bestWeight uint64
	for i := range r.perDomain {
		w := weight("worker", string(id), strconv.Itoa(i))
		if i == 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return domain.ShardID{Domain: d, Index: best}
}

// PreferredOwner returns which of the live nodes of the shard's failure domain
// should own the shard. ok is false if there is none. The order of live does not
// matter.
func PreferredOwner(id domain.ShardID, live []domain.NodeID) (best domain.NodeID, ok bool) {
	if len(live) == 0 {
		return "", false
	}
	return RankedOwners(id, live)[0], true
}

// RankedOwners returns the live nodes in the order of preference as owner of the
// shard, the preferred one first. The order of live does not matter.
func RankedOwners(id domain.ShardID, live []domain.NodeID) []domain.NodeID {
	weights := make(map[domain.NodeID]uint64, len(live))
	for _, n := range live {
		weights[n] = weight("shard", id.String(), string(n))
	}
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b domain.NodeID) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ranked
}

// ranksBefore reports whether a candidate is preferred to another one: it has
// the larger weight or, if the weights are equal, the smaller name.
func ranksBefore(w uint64, name string, otherWeight uint64, otherName string) bool {
	if w != otherWeight {
		return w > otherWeight
	}
	return name < otherName
}

// weight returns the hash by which a candidate is ranked for a key. use separates
// the hashes of keys, workers and shards.
func weight(use, key, candidate string) uint64 {
	return xxhash.Sum64String(use + separator + key + separator + candidate)
}
